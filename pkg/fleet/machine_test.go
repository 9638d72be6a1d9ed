package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/chicorystall/chicorystall/pkg/journal"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	machineReplicas = 3
	machineSteps    = 150
)

// TestMain fixes the seed and the number of runs, which flags may change.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine has operators race on one stream that replicas fold at their own
// pace. The oracle knows only what was observed.
type machine struct {
	choose   func(n int) int // in [0,n)
	disabled guardSet
	stream   []journal.Entry
	sent     []journal.Record
	replicas [machineReplicas]State
	reader   State          // of an operator who reads the whole stream
	gate     journal.Offset // of the first entry with a newer format

	known    map[journal.Offset]string // state at each offset
	winners  map[string]string         // record that won each version of each item
	verdicts map[string]bool           // whether each record was accepted
	newest   journal.Offset            // newest accepted change
}

// runMachine returns what the oracle finds first.
func runMachine(choose func(n int) int, disabled guardSet) error {
	m := &machine{
		choose:   choose,
		disabled: disabled,
		known:    make(map[journal.Offset]string),
		winners:  make(map[string]string),
		verdicts: make(map[string]bool),
	}
	m.reader.disabled = disabled
	for i := range m.replicas {
		m.replicas[i].disabled = disabled
	}
	m.send(PutFleet(machineFleet()), State{})
	actions := []func() error{m.change, m.change, m.change, m.copy, m.snapshot, m.restart, m.newer, m.fold, m.fold, m.fold, m.fold, m.fold, m.fold}
	for range machineSteps {
		if err := actions[choose(len(actions))](); err != nil {
			return err
		}
	}
	return nil
}

// machineFleet is a small fleet with a spare backend server and two presets.
func machineFleet() Config {
	c, findings := Parse("fleet.toml", []byte(smallFleet))
	if len(findings) > 0 {
		panic(findings)
	}
	spare, _ := c.BackendServer("w2")
	spare.Name, spare.Address = "w3", "127.0.1.3:9000"
	return c.WithBackendServer(spare)
}

// send appends the record of a change that presumes the state.
func (m *machine) send(c Change, s State) {
	r, err := s.Record(fmt.Sprint("record-", len(m.sent)), fmt.Sprint("operator-", m.choose(3)), c)
	if err != nil {
		panic(err)
	}
	m.sent = append(m.sent, r)
	m.append(r)
}

func (m *machine) append(r journal.Record) {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	m.stream = append(m.stream, journal.Entry{Offset: journal.Offset(len(m.stream) + 1), Data: data})
}

// change sends a random change that presumes what some replica shows.
func (m *machine) change() error {
	s := m.replicas[m.choose(machineReplicas)]
	if m.choose(2) == 0 {
		s = m.current()
	}
	if s.Offset() > 0 {
		m.send(m.anyChange(s.Config()), s)
	}
	return nil
}

// current returns the state of an operator who has read the whole stream.
func (m *machine) current() State {
	for m.reader.Behind() == nil && int(m.reader.Offset()) < len(m.stream) {
		m.reader, _ = m.reader.Apply(m.stream[m.reader.Offset()])
	}
	return m.reader
}

// anyChange returns a change of one of few items, so that operators collide.
func (m *machine) anyChange(c Config) Change {
	presets := []string{"ordinary", "peak", "night"}
	groups := [][]string{{"w1", "w2"}, {"w2", "w3"}, {"w3"}}
	account := ClientAccount{Name: "school", Key: "key-school"}
	server, _ := c.BackendServer("w1")
	server.MaxInFlight++
	preset := Preset{Name: presets[m.choose(3)], Routes: []Route{{ClientAccounts: []string{"*"}, Groups: []string{"g1"}}}}
	preset.Default = preset.Name == "ordinary"
	group := Group{Name: fmt.Sprint("g", 1+m.choose(2)), Model: "draft", DataCentre: "dc-a", Members: groups[m.choose(3)]}
	changes := []Change{
		PutPreset(preset), UsePreset(preset.Name), UsePreset(preset.Name), RemovePreset(preset.Name),
		PutGroup(group), RemoveGroup(group.Name), DrainDataCentre("dc-b"), UndrainDataCentre("dc-b"),
		PutBackendServer(server), RemoveBackendServer("w3"), PutClientAccount(account),
		RemoveClientAccount(account.Name), PutFleet(machineFleet()),
	}
	return changes[m.choose(len(changes))]
}

// copy appends an earlier record once more.
func (m *machine) copy() error {
	m.append(m.sent[m.choose(len(m.sent))])
	return nil
}

// snapshot appends the state of a replica, which may be an old one.
func (m *machine) snapshot() error {
	s := m.replicas[m.choose(machineReplicas)]
	if s.Offset() == 0 {
		return nil
	}
	body, err := s.Encode()
	if err != nil {
		return err
	}
	m.append(journal.Record{Format: Format, ID: "snapshot", Kind: journal.KindSnapshot, Presumes: s.Offset(), Body: body})
	return nil
}

// newer appends, rarely and once, a record that a newer release wrote.
func (m *machine) newer() error {
	if m.gate != 0 || len(m.stream) < 20 || m.choose(5) != 0 {
		return nil
	}
	m.append(journal.Record{Format: Format + 1, ID: "newer", Kind: "Later"})
	m.gate = journal.Offset(len(m.stream))
	return nil
}

// restart makes a replica begin anew: at the stream's begin, or at a snapshot.
func (m *machine) restart() error {
	i := m.choose(machineReplicas)
	s := State{disabled: m.disabled}
	if from := m.choose(len(m.stream)); from > 0 {
		s, _ = s.Apply(m.stream[from])
	}
	m.replicas[i] = s
	return m.check(s, Verdict{})
}

// fold folds the next entry at one replica.
func (m *machine) fold() error {
	i := m.choose(machineReplicas)
	next := m.replicas[i].Offset()
	if int(next) == len(m.stream) {
		return nil
	}
	s, v := m.replicas[i].Apply(m.stream[next])
	m.replicas[i] = s
	return m.check(s, v)
}

func TestStatesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := runMachine(choose, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestStateGuards shows that without each guard the oracle finds a fault.
func TestStateGuards(t *testing.T) {
	for name, guard := range map[string]guardSet{
		"a second copy has the first verdict": guardIDs,
		"one winner for each version":         guardPresumes,
		"preset in force stays":               guardInForce,
		"snapshot stands for all before it":   guardSnapshot,
		"newer format stops":                  guardFormat,
	} {
		t.Run(name, func(t *testing.T) {
			fault := firstFault(guard)
			NewWithT(t).Expect(fault).To(HaveOccurred())
			t.Logf("%.100s", fault)
		})
	}
	t.Run("all guards", func(t *testing.T) {
		NewWithT(t).Expect(firstFault(0)).NotTo(HaveOccurred())
	})
}

// firstFault runs the machine with seed after seed until the oracle objects.
func firstFault(disabled guardSet) error {
	const seeds = 40
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		if err := runMachine(random.IntN, disabled); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}
