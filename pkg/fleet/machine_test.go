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

// TestMain sets the default seed and number of runs of rapid, which flags can override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine simulates operators who append conflicting records to one stream, and replicas
// that apply it independently of each other. The oracle, which consists of the check
// methods, compares only observed states and verdicts.
type machine struct {
	choose        func(n int) int // in [0,n)
	disabled      guardSet
	stream        []journal.Entry
	sent          []journal.Record
	replicas      [machineReplicas]State
	latest        State          // state of an operator who has read the whole stream
	newerFormatAt journal.Offset // offset of the first entry with a newer format, 0 if none

	encodedStates   map[journal.Offset]string // encoded state at each offset
	acceptedRecords map[string]string         // ID of the record accepted for each presumed version of each item
	accepted        map[string]bool           // by record ID
	lastAccepted    journal.Offset            // offset of the newest accepted change
}

// runMachine runs random actions and returns the first error of the oracle.
func runMachine(choose func(n int) int, disabled guardSet) error {
	m := &machine{
		choose:          choose,
		disabled:        disabled,
		encodedStates:   make(map[journal.Offset]string),
		acceptedRecords: make(map[string]string),
		accepted:        make(map[string]bool),
	}
	m.latest.disabled = disabled
	for i := range m.replicas {
		m.replicas[i].disabled = disabled
	}
	m.submit(PutFleet(machineFleet()), State{})
	actions := []func() error{m.submitRandomChange, m.submitRandomChange, m.submitRandomChange, m.appendCopy, m.appendSnapshot, m.restartReplica, m.appendNewerFormat, m.applyNext, m.applyNext, m.applyNext, m.applyNext, m.applyNext, m.applyNext}
	for range machineSteps {
		if err := actions[choose(len(actions))](); err != nil {
			return err
		}
	}
	return nil
}

// machineFleet returns a small fleet with a spare backend server and two presets.
func machineFleet() Config {
	c, findings := Parse("fleet.toml", []byte(smallFleet))
	if len(findings) > 0 {
		panic(findings)
	}
	spare, _ := c.BackendServer("w2")
	spare.Name, spare.Address = "w3", "127.0.1.3:9000"
	return c.WithBackendServer(spare)
}

// submit appends the record of a change that presumes the versions of the state.
func (m *machine) submit(c Change, s State) {
	r, err := s.Record(fmt.Sprint("record-", len(m.sent)), fmt.Sprint("operator-", m.choose(3)), c)
	if err != nil {
		panic(err)
	}
	m.sent = append(m.sent, r)
	m.appendRecord(r)
}

func (m *machine) appendRecord(r journal.Record) {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	m.stream = append(m.stream, journal.Entry{Offset: journal.Offset(len(m.stream) + 1), Data: data})
}

// submitRandomChange submits a random change that presumes a random replica's state or
// the newest state.
func (m *machine) submitRandomChange() error {
	s := m.replicas[m.choose(machineReplicas)]
	if m.choose(2) == 0 {
		s = m.readAll()
	}
	if s.Offset() > 0 {
		m.submit(m.randomChange(s.Config()), s)
	}
	return nil
}

// readAll returns the state of an operator who has read the whole stream.
func (m *machine) readAll() State {
	for m.latest.Stopped() == nil && int(m.latest.Offset()) < len(m.stream) {
		m.latest, _ = m.latest.Apply(m.stream[m.latest.Offset()])
	}
	return m.latest
}

// randomChange returns a random change. It chooses from few items, so that changes often
// conflict.
func (m *machine) randomChange(c Config) Change {
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

// appendCopy appends a copy of an earlier record.
func (m *machine) appendCopy() error {
	m.appendRecord(m.sent[m.choose(len(m.sent))])
	return nil
}

// appendSnapshot appends a snapshot of a replica's state, which may be outdated.
func (m *machine) appendSnapshot() error {
	s := m.replicas[m.choose(machineReplicas)]
	if s.Offset() == 0 {
		return nil
	}
	body, err := s.Encode()
	if err != nil {
		return err
	}
	m.appendRecord(journal.Record{Format: Format, ID: "snapshot", Kind: journal.KindSnapshot, Presumes: s.Offset(), Body: body})
	return nil
}

// appendNewerFormat appends a record with a newer format, with a low probability and at
// most once.
func (m *machine) appendNewerFormat() error {
	if m.newerFormatAt != 0 || len(m.stream) < 20 || m.choose(5) != 0 {
		return nil
	}
	m.appendRecord(journal.Record{Format: Format + 1, ID: "newer", Kind: "Later"})
	m.newerFormatAt = journal.Offset(len(m.stream))
	return nil
}

// restartReplica resets a replica to the empty state, or to a random snapshot of the
// stream.
func (m *machine) restartReplica() error {
	i := m.choose(machineReplicas)
	s := State{disabled: m.disabled}
	if from := m.choose(len(m.stream)); from > 0 {
		s, _ = s.Apply(m.stream[from])
	}
	m.replicas[i] = s
	return m.checkReplica(s, Verdict{})
}

// applyNext applies the next entry at a random replica.
func (m *machine) applyNext() error {
	i := m.choose(machineReplicas)
	next := m.replicas[i].Offset()
	if int(next) == len(m.stream) {
		return nil
	}
	s, v := m.replicas[i].Apply(m.stream[next])
	m.replicas[i] = s
	return m.checkReplica(s, v)
}

func TestStatesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := runMachine(choose, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestStateGuards checks that the oracle reports an error if any of the guards is
// disabled.
func TestStateGuards(t *testing.T) {
	for name, guard := range map[string]guardSet{
		"a second copy has the first verdict": guardIDs,
		"one winner for each version":         guardPresumes,
		"preset in force stays":               guardInForce,
		"snapshot stands for all before it":   guardSnapshot,
		"newer format stops":                  guardFormat,
	} {
		t.Run(name, func(t *testing.T) {
			err := firstFailure(guard)
			NewWithT(t).Expect(err).To(HaveOccurred())
			t.Logf("%.100s", err)
		})
	}
	t.Run("all guards", func(t *testing.T) {
		NewWithT(t).Expect(firstFailure(0)).NotTo(HaveOccurred())
	})
}

// firstFailure runs the machine with successive seeds until the oracle reports an error.
func firstFailure(disabled guardSet) error {
	const seeds = 40
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		if err := runMachine(random.IntN, disabled); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}
