package journal_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/chicorystall/chicorystall/pkg/journal/journaltest"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	machineReplicas = 3
	machineSteps    = 120
)

// TestMain fixes the seed and the number of runs, which flags may change.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine drives replicas of one stream through faults and compares them.
type machine struct {
	choose   func(n int) int // in [0,n)
	log      journaltest.Log
	away     bool
	replicas [machineReplicas]*replica
	cut      [machineReplicas]bool // from the other replicas
	reached  [machineReplicas]journal.Offset
	disabled journal.Guard

	history []journal.Entry                     // every entry, also expired ones
	known   map[journal.Offset][]journal.Offset // state seen at each offset
	folded  map[journal.Offset]bool             // changes that any replica has folded
	newest  journal.Offset                      // newest offset of any replica
}

// runMachine returns what the oracle finds first.
func runMachine(choose func(n int) int, disabled journal.Guard) error {
	m := &machine{
		choose:   choose,
		disabled: disabled,
		known:    make(map[journal.Offset][]journal.Offset),
		folded:   make(map[journal.Offset]bool),
	}
	for i := range m.replicas {
		m.start(i)
	}
	actions := []func(){m.change, m.change, m.snapshot, m.step, m.step, m.step, m.step, m.offer, m.expire, m.toggleAway, m.toggleCut, m.restart}
	for range machineSteps {
		actions[choose(len(actions))]()
		m.note()
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// start replaces a replica by a new one that knows nothing.
func (m *machine) start(i int) {
	r := newReplica(&m.log)
	r.Disable(m.disabled)
	r.Due = func(_ time.Duration, entries int) bool { return entries > 0 && m.choose(4) == 0 }
	r.RetryMax = time.Nanosecond
	r.PeerState = handing(func() ([]*replica, bool) { return m.others(i) })
	m.replicas[i] = r
	m.reached[i] = 0
}

// others returns the replicas that one can reach, and whether that is all.
func (m *machine) others(i int) ([]*replica, bool) {
	var others []*replica
	for j, r := range m.replicas {
		if j != i && !m.cut[i] && !m.cut[j] {
			others = append(others, r)
		}
	}
	return others, len(others) == machineReplicas-1
}

func (m *machine) change() {
	m.log.Answer(journaltest.Answer(m.choose(3)))
	_, _ = m.log.Client().Append(context.Background(), stream, record(kindChange, 0, nil))
}

// snapshot appends a snapshot that may be old.
func (m *machine) snapshot() {
	r := m.replicas[m.choose(machineReplicas)]
	if r.offset == 0 || r.Status().Stopped != nil {
		return
	}
	data, _ := r.Snapshot()
	_, _ = m.log.Client().Append(context.Background(), stream, record(journal.KindSnapshot, r.offset, data))
}

func (m *machine) step() {
	_ = m.replicas[m.choose(machineReplicas)].Step(context.Background())
}

// offer hands a part of what one replica has folded to another one.
func (m *machine) offer() {
	from, to := m.choose(machineReplicas), m.choose(machineReplicas)
	folded := m.replicas[from].folded
	if m.cut[from] || m.cut[to] || len(folded) == 0 {
		return
	}
	_, _ = m.replicas[to].Offer(m.replicas[from].Status(), folded[m.choose(len(folded)):])
}

// expire drops old entries, as long as the newest state survives somewhere.
func (m *machine) expire() {
	first, next := m.log.Bounds(stream)
	upTo := first + journal.Offset(m.choose(int(next-first)+1)) - 1
	if m.survives(upTo+1, -1) {
		m.log.Expire(stream, upTo)
	}
}

func (m *machine) toggleAway() {
	m.away = !m.away
	m.log.SetAway(m.away)
}

func (m *machine) toggleCut() {
	i := m.choose(machineReplicas)
	m.cut[i] = !m.cut[i]
}

// restart loses a replica's memory, as long as the newest state survives.
func (m *machine) restart() {
	i := m.choose(machineReplicas)
	if first, _ := m.log.Bounds(stream); m.survives(first, i) {
		m.start(i)
	}
}

// survives reports whether the newest state can be had when the log begins at
// first and one replica is gone: from the log, or from another replica.
func (m *machine) survives(first journal.Offset, gone int) bool {
	if first == 1 {
		return true
	}
	for _, e := range m.history[first-1:] {
		if _, ok := journal.SnapshotOf(e, 1); ok {
			return true
		}
	}
	for i, r := range m.replicas {
		if i != gone && r.offset > 0 && (r.offset >= m.newest || r.offset+1 >= first) {
			return true
		}
	}
	return false
}

// note keeps a copy of each new entry.
func (m *machine) note() {
	m.log.SetAway(false)
	defer m.log.SetAway(m.away)
	page, err := m.log.Client().Read(context.Background(), stream, journal.Offset(len(m.history)+1), 1000, 0)
	if err == nil {
		m.history = append(m.history, page.Entries...)
	}
}

// check compares the replicas with each other and with what they had folded.
func (m *machine) check() error {
	for i, r := range m.replicas {
		if r.offset < m.reached[i] {
			return fmt.Errorf("replica %d went from offset %d back to %d", i, m.reached[i], r.offset)
		}
		m.reached[i] = r.offset
		m.newest = max(m.newest, r.offset)
		seen, ok := m.known[r.offset]
		if ok && !slices.Equal(seen, r.changes) {
			return fmt.Errorf("states at offset %d are %v and %v", r.offset, seen, r.changes)
		}
		m.known[r.offset] = r.changes
		for _, at := range r.changes {
			m.folded[at] = true
		}
		for at := range m.folded {
			if at <= r.offset && !slices.Contains(r.changes, at) {
				return fmt.Errorf("replica %d at offset %d lost the change at %d", i, r.offset, at)
			}
		}
	}
	return nil
}

func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := runMachine(choose, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestReplicaGuards shows that without each guard the oracle finds a fault.
func TestReplicaGuards(t *testing.T) {
	for name, guard := range map[string]journal.Guard{
		"newest offset wins":                  journal.GuardNewest,
		"snapshot stands for all before it":   journal.GuardSnapshot,
		"lost entries need every peer's word": journal.GuardComplete,
	} {
		t.Run(name, func(t *testing.T) {
			fault := firstFault(guard)
			NewWithT(t).Expect(fault).To(HaveOccurred())
			t.Log(fault)
		})
	}
	t.Run("all guards", func(t *testing.T) {
		NewWithT(t).Expect(firstFault(0)).NotTo(HaveOccurred())
	})
}

// firstFault runs the machine with seed after seed until the oracle objects.
func firstFault(disabled journal.Guard) error {
	const seeds = 300
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		if err := runMachine(random.IntN, disabled); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}
