package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chicorystall/chicorystall/internal/oracle"
	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

func ExampleOwner() {
	members := []string{"entry-1", "entry-2", "entry-3"}
	fmt.Println(Owner("groups", members))
	fmt.Println(Rank("groups", members)[0])
	// Output:
	// entry-2
	// entry-2
}

func TestOwnerMovesOnlyDutiesOfRemovedMember(t *testing.T) {
	g := NewWithT(t)
	members := []string{"a", "b", "c", "d"}
	count := make(map[string]int)
	for i := range 4000 {
		duty := fmt.Sprint("duty", i)
		owner := Owner(duty, members)
		count[owner]++
		if owner != "d" {
			g.Expect(Owner(duty, members[:3])).To(Equal(owner))
		}
	}
	for _, m := range members {
		g.Expect(count[m]).To(BeNumerically("~", 1000, 150), m)
	}
}

// simulation has a log, a clock and several holders of one duty.
type simulation struct {
	now     time.Time
	ids     int
	log     []journal.Entry
	holders []*Holder
	states  []placement.State // state that each holder has applied
	alive   [][]string        // members that each holder considers live
	delayed []placement.Record
}

func newSimulation(n int, disabled guard) *simulation {
	sim := &simulation{now: time.Unix(0, 0)}
	newID := func() string {
		sim.ids++
		return fmt.Sprint("r", sim.ids)
	}
	var names []string
	for i := range n {
		p := placement.Process{Name: fmt.Sprint("e", i), BootID: fmt.Sprint("b", i)}
		names = append(names, p.Name)
		sim.append(placement.Record{ID: newID(), Body: placement.EntryJoin{Process: p}})
		sim.holders = append(sim.holders, &Holder{
			Duty:     "groups",
			Self:     p,
			Duration: 10 * time.Second,
			Now:      func() time.Time { return sim.now },
			NewID:    newID,
			disabled: disabled,
		})
	}
	sim.states = make([]placement.State, n)
	for i := range n {
		sim.read(i, n)
		sim.alive = append(sim.alive, names[i:i+1])
	}
	return sim
}

func (sim *simulation) append(r placement.Record) {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	sim.log = append(sim.log, journal.Entry{Offset: journal.Offset(len(sim.log) + 1), Data: data})
}

// read makes a holder apply at most limit further entries of the log.
func (sim *simulation) read(i, limit int) {
	from := int(sim.states[i].Offset())
	for _, e := range sim.log[from:min(len(sim.log), from+limit)] {
		sim.states[i], _ = sim.states[i].Apply(e)
	}
}

func (sim *simulation) countHeld() int {
	n := 0
	for _, h := range sim.holders {
		if _, ok := h.Held(); ok {
			n++
		}
	}
	return n
}

// machine returns a property for rapid: it runs random reads, steps, delayed appends
// and pauses, and fails if two holders hold the duty at the same time.
func machine(disabled guard) func(*rapid.T) {
	return func(t *rapid.T) {
		const holders = 2
		sim := newSimulation(holders, disabled)
		pick := rapid.IntRange(0, holders-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if n := sim.countHeld(); n > 1 {
					t.Fatalf("%d holders hold the duty at the same time", n)
				}
			},
			"advance": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 10}).Draw(t, "s")) * time.Second)
			},
			"believe": func(t *rapid.T) {
				i := pick.Draw(t, "holder")
				sim.alive[i] = []string{sim.holders[pick.Draw(t, "owner")].Self.Name}
			},
			"step": func(t *rapid.T) {
				i := pick.Draw(t, "holder")
				sim.read(i, rapid.SampledFrom([]int{0, 1, 100}).Draw(t, "entries"))
				r, ok := sim.holders[i].Step(sim.states[i], sim.alive[i])
				switch {
				case !ok:
				case rapid.Bool().Draw(t, "late"):
					sim.delayed = append(sim.delayed, r)
				default:
					sim.append(r)
				}
			},
			"arrive": func(t *rapid.T) {
				if len(sim.delayed) > 0 {
					sim.append(sim.delayed[0])
					sim.delayed = sim.delayed[1:]
				}
			},
		})
	}
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, machine(0))
}

func TestHolderGuards(t *testing.T) {
	for name, g := range map[string]guard{"count from append": guardCountFromAppend, "wait for expiry": guardWaitForExpiry} {
		t.Run(name, func(t *testing.T) {
			oracle.WantViolation(t, machine(g))
		})
	}
}

// A holder renews its lease, releases it before it has read the renewal, so that the
// log refuses the release, and then wants the lease again. The renewal counts from
// its own append; else two holders would hold the duty.
func TestRenewalBeforeRelease(t *testing.T) {
	for disabled, want := range map[guard]int{0: 1, guardKeepPending: 2} {
		sim := newSimulation(2, disabled)
		both := []int{0, 1}
		step := func(seconds int, holder int, alive string, reads ...int) {
			sim.now = time.Unix(int64(seconds), 0)
			for _, i := range reads {
				sim.read(i, 100)
			}
			sim.alive[holder] = []string{alive}
			if r, ok := sim.holders[holder].Step(sim.states[holder], sim.alive[holder]); ok {
				sim.append(r)
			}
		}
		step(0, 0, "e0", both...)
		step(0, 1, "e0", both...)
		step(5, 0, "e0", 0)
		step(5, 1, "e0", 1)
		step(5, 0, "e1")
		step(9, 0, "e0")
		step(9, 0, "e0", 0)
		step(15, 1, "e1", 1)
		step(15, 1, "e1", 1)
		NewWithT(t).Expect(sim.countHeld()).To(Equal(want), "disabled guards: %d", disabled)
	}
}

func TestActWhenLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sim := newSimulation(1, 0)
		h := sim.holders[0]
		h.Now = nil
		act := func() error {
			return h.Act(t.Context(), func(_ context.Context, fence journal.Offset) error {
				g.Expect(fence).To(BeEquivalentTo(2))
				return nil
			})
		}
		g.Expect(act()).To(MatchError(ErrLapsed))
		r, ok := h.Step(sim.states[0], sim.alive[0])
		g.Expect(ok).To(BeTrue())
		sim.append(r)
		sim.read(0, 9)
		_, again := h.Step(sim.states[0], sim.alive[0])
		g.Expect(again).To(BeFalse())
		g.Expect(act()).To(Succeed())
		time.Sleep(9*time.Second + time.Millisecond)
		g.Expect(act()).To(MatchError(ErrLapsed))
		h.disabled = guardCheckExpiry
		g.Expect(act()).To(Succeed())
	})
}
