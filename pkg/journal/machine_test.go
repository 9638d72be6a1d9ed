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
	simulationReplicas = 3
	simulationSteps    = 120
)

// TestMain sets the default seed and number of runs, which flags can override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation applies random operations and faults to replicas of one stream and
// compares their states.
type simulation struct {
	choose      func(n int) int // in [0,n)
	log         journaltest.Log
	unavailable bool
	replicas    [simulationReplicas]*replica
	isolated    [simulationReplicas]bool // unreachable for the other replicas
	lastOffset  [simulationReplicas]journal.Offset
	disabled    journal.Guard

	history []journal.Entry                     // every entry, including expired ones
	stateAt map[journal.Offset][]journal.Offset // state of the replicas at each offset
	applied map[journal.Offset]bool             // changes that any replica has applied
	newest  journal.Offset                      // newest offset of any replica
}

// runSimulation returns the first error that check finds.
func runSimulation(choose func(n int) int, disabled journal.Guard) error {
	m := &simulation{
		choose:   choose,
		disabled: disabled,
		stateAt:  make(map[journal.Offset][]journal.Offset),
		applied:  make(map[journal.Offset]bool),
	}
	for i := range m.replicas {
		m.start(i)
	}
	actions := []func(){m.change, m.change, m.snapshot, m.step, m.step, m.step, m.step, m.exchange, m.expire, m.toggleUnavailable, m.toggleIsolated, m.restart}
	for range simulationSteps {
		actions[choose(len(actions))]()
		m.recordHistory()
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// start replaces a replica by a new one with an empty state.
func (m *simulation) start(i int) {
	r := newReplica(&m.log)
	r.Disable(m.disabled)
	r.Due = func(_ time.Duration, entries int) bool { return entries > 0 && m.choose(4) == 0 }
	r.RetryMax = time.Nanosecond
	r.PeerState = peerStateFrom(func() ([]*replica, bool) { return m.others(i) })
	m.replicas[i] = r
	m.lastOffset[i] = 0
}

// others returns the other replicas that replica i can reach, and whether these
// are all others.
func (m *simulation) others(i int) ([]*replica, bool) {
	var others []*replica
	for j, r := range m.replicas {
		if j != i && !m.isolated[i] && !m.isolated[j] {
			others = append(others, r)
		}
	}
	return others, len(others) == simulationReplicas-1
}

func (m *simulation) change() {
	m.log.SetOutcomes(journaltest.Outcome(m.choose(3)))
	_, _ = m.log.Client().Append(context.Background(), stream, record(kindChange, 0, nil))
}

// snapshot appends a snapshot, which is stale if its replica is behind.
func (m *simulation) snapshot() {
	r := m.replicas[m.choose(simulationReplicas)]
	if r.offset == 0 || r.Status().Stopped != nil {
		return
	}
	data, _ := r.Snapshot()
	_, _ = m.log.Client().Append(context.Background(), stream, record(journal.KindSnapshot, r.offset, data))
}

func (m *simulation) step() {
	_ = m.replicas[m.choose(simulationReplicas)].Step(context.Background())
}

// exchange passes some of the entries that one replica has applied to another.
func (m *simulation) exchange() {
	from, to := m.choose(simulationReplicas), m.choose(simulationReplicas)
	applied := m.replicas[from].applied
	if m.isolated[from] || m.isolated[to] || len(applied) == 0 {
		return
	}
	_, _ = m.replicas[to].ApplyFromPeer(m.replicas[from].Status(), applied[m.choose(len(applied)):])
}

// expire removes old entries if the newest state remains recoverable.
func (m *simulation) expire() {
	first, next := m.log.Bounds(stream)
	upTo := first + journal.Offset(m.choose(int(next-first)+1)) - 1
	if m.recoverable(upTo+1, -1) {
		m.log.Expire(stream, upTo)
	}
}

func (m *simulation) toggleUnavailable() {
	m.unavailable = !m.unavailable
	m.log.SetUnavailable(m.unavailable)
}

func (m *simulation) toggleIsolated() {
	i := m.choose(simulationReplicas)
	m.isolated[i] = !m.isolated[i]
}

// restart replaces a replica by an empty one if the newest state remains
// recoverable.
func (m *simulation) restart() {
	i := m.choose(simulationReplicas)
	if first, _ := m.log.Bounds(stream); m.recoverable(first, i) {
		m.start(i)
	}
}

// recoverable reports whether the newest state can be recovered from the log or
// from another replica when the log begins at first and the replica lost is gone.
func (m *simulation) recoverable(first journal.Offset, lost int) bool {
	if first == 1 {
		return true
	}
	for _, e := range m.history[first-1:] {
		if _, ok := journal.SnapshotOf(e, 1); ok {
			return true
		}
	}
	for i, r := range m.replicas {
		if i != lost && r.offset > 0 && (r.offset >= m.newest || r.offset+1 >= first) {
			return true
		}
	}
	return false
}

// recordHistory adds the log's new entries to the history.
func (m *simulation) recordHistory() {
	m.log.SetUnavailable(false)
	defer m.log.SetUnavailable(m.unavailable)
	page, err := m.log.Client().Read(context.Background(), stream, journal.Offset(len(m.history)+1), 1000, 0)
	if err == nil {
		m.history = append(m.history, page.Entries...)
	}
}

// check compares the replicas with each other and with the changes that they had
// applied before.
func (m *simulation) check() error {
	for i, r := range m.replicas {
		if r.offset < m.lastOffset[i] {
			return fmt.Errorf("replica %d went from offset %d back to %d", i, m.lastOffset[i], r.offset)
		}
		m.lastOffset[i] = r.offset
		m.newest = max(m.newest, r.offset)
		seen, ok := m.stateAt[r.offset]
		if ok && !slices.Equal(seen, r.changes) {
			return fmt.Errorf("states at offset %d are %v and %v", r.offset, seen, r.changes)
		}
		m.stateAt[r.offset] = r.changes
		for _, at := range r.changes {
			m.applied[at] = true
		}
		for at := range m.applied {
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
		if err := runSimulation(choose, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestEachGuardMatters shows that the simulation finds a violation if one of the
// guards is disabled.
func TestEachGuardMatters(t *testing.T) {
	for name, guard := range map[string]journal.Guard{
		"old entries are ignored":                 journal.GuardNewerOnly,
		"snapshot includes all entries before it": journal.GuardSnapshotPosition,
		"lost entries need every peer's answer":   journal.GuardAllPeers,
	} {
		t.Run(name, func(t *testing.T) {
			violation := firstViolation(guard)
			NewWithT(t).Expect(violation).To(HaveOccurred())
			t.Log(violation)
		})
	}
	t.Run("all guards", func(t *testing.T) {
		NewWithT(t).Expect(firstViolation(0)).NotTo(HaveOccurred())
	})
}

// firstViolation runs the simulation with successive seeds until a check fails.
func firstViolation(disabled journal.Guard) error {
	const seeds = 300
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		if err := runSimulation(random.IntN, disabled); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}
