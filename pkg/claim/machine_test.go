package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/google/uuid"
)

// The machine drives a few participants, callers and one stream by single
// steps in any order, and an oracle checks every step. Each choice comes from
// pick, so rapid or a seeded source can drive it.
const (
	machineProcesses = 3
	machineKeys      = 4
	machineMargin    = time.Minute
	machineWindow    = 40 * time.Minute
	machineRetention = 15 * time.Minute
)

// faults are the rules of the environment in one run of the machine.
type faults struct {
	disabled  guard
	anyFirst  bool // tell "not run" for each attempt that was given up
	retention bool // the log promises machineRetention, and shards count on it
	runsOnly  bool // don't look for keys that are held for nothing
}

// process is one run of an entry instance.
type process struct {
	id    ClaimantID
	skew  time.Duration // of its clock
	part  participant
	page  []journal.Entry // read, not folded yet
	first journal.Offset  // of the page
	until time.Time       // its clock when the read ended
}

// flying is an append on its way to the log.
type flying struct {
	from    *process
	data    []byte
	flights []flight
}

// call is one request of a caller at one process.
type call struct {
	process *process
	key     *keyTruth
	digest  Digest
	first   bool
	began   int // step
	attempt *attempt
	told    bool
	toldAt  int // step
	outcome Outcome
	ended   bool // its grant ended, or its process crashed
	ranAt   int  // step, 0 if it did not run
}

// keyTruth is what truly happened to a key.
type keyTruth struct {
	key    Key
	calls  []*call
	ranAt  int // step, 0 if it did not run
	answer Answer
	digest Digest // of the request that ran
}

type machine struct {
	faults
	pick    func(n int) int // from 0 to n-1
	step    int
	ids     uint64
	now     time.Time
	log     []journal.Entry
	dropped int // entries that expired
	full    Shard
	procs   []*process
	flying  []flying
	keys    []*keyTruth
	calls   []*call
	boots   int
}

func newMachine(f faults, pick func(int) int) *machine {
	m := &machine{faults: f, pick: pick, now: time.Unix(1_800_000_000, 0)}
	m.full = Shard{Window: machineWindow, SkewMargin: machineMargin, disabled: f.disabled}
	for range machineProcesses {
		m.procs = append(m.procs, m.boot())
	}
	for range machineKeys {
		m.keys = append(m.keys, m.newKey())
	}
	return m
}

func (m *machine) boot() *process {
	m.boots++
	p := &process{id: ClaimantID(fmt.Sprintf("p%d", m.boots))}
	p.skew = time.Duration(m.pick(3)-1) * machineMargin
	if !m.retention {
		p.skew *= 5 // without a promise on retention its clock does not matter
	}
	p.part.disabled = m.disabled
	p.part.shard = Shard{Window: machineWindow, SkewMargin: machineMargin, disabled: m.disabled}
	if m.retention {
		p.part.shard.Retention = machineRetention
	}
	return p
}

func (m *machine) newID() uuid.UUID {
	m.ids++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], m.ids)
	return id
}

// newKey makes a key whose time may be off by several margins.
func (m *machine) newKey() *keyTruth {
	id := m.newID()
	at := m.now.Add(time.Duration(m.pick(9)-4) * machineMargin)
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	return &keyTruth{key: Key{ID: id}}
}

// Step does one random step and returns what the oracle found.
func (m *machine) Step() error {
	m.step++
	steps := []func() error{
		m.begin, m.begin, m.append, m.append, m.land, m.land, m.land, m.read, m.read, m.read, m.fold, m.fold, m.fold,
		m.decide, m.decide, m.use, m.use, m.finish, m.finish, m.giveUp, m.lose, m.crash, m.expire, m.advance, m.replaceKey,
	}
	if err := steps[m.pick(len(steps))](); err != nil {
		return fmt.Errorf("step %d: %w", m.step, err)
	}
	return m.checkHolders()
}

func (m *machine) process() *process { return m.procs[m.pick(len(m.procs))] }

// call returns an open call that ok accepts, or nil.
func (m *machine) call(ok func(*call) bool) *call {
	var open []*call
	for _, c := range m.calls {
		if !c.ended && ok(c) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[m.pick(len(open))]
}

func (m *machine) replaceKey() error {
	m.keys[m.pick(len(m.keys))] = m.newKey()
	return nil
}

func (m *machine) advance() error {
	m.now = m.now.Add(time.Duration(1+m.pick(120)) * time.Second)
	return nil
}

func (m *machine) begin() error {
	k := m.keys[m.pick(len(m.keys))]
	c := &call{process: m.process(), key: k, first: len(k.calls) == 0, began: m.step}
	c.digest[0] = byte(m.pick(8) / 7)
	k.calls = append(k.calls, c)
	m.calls = append(m.calls, c)
	part := &c.process.part
	if h := part.shard.Lookup(k.key); h.State != StateFree {
		d, done := m.judge(h, c.digest)
		if done && part.known(d) {
			return m.tell(c, d.Outcome)
		}
	}
	c.attempt = part.begin(k.key, c.digest, m.newID())
	return nil
}

// judge does one round of runner.judge.
func (m *machine) judge(h Holding, digest Digest) (Decision, bool) {
	if d, done := decide(h, digest); done {
		return d, true
	}
	for _, p := range m.procs {
		if p.id == h.Claimant {
			out := p.part.outcome(m.keyOf(h.Claim), h.Claim)
			return asked(out), out.Kind != Pending
		}
	}
	return Decision{}, true // the claimant is gone
}

func (m *machine) keyOf(id ClaimID) Key {
	for _, c := range m.calls {
		if c.attempt != nil && c.attempt.claim == id {
			return c.key.key
		}
	}
	panic("claim without a call")
}

func (m *machine) append() error {
	p := m.process()
	records, flights := p.part.batch(recordBaseBytes * (1 + m.pick(4)))
	if len(records) == 0 {
		return nil
	}
	data, err := Batch{Claimant: p.id, Records: records}.Encode()
	m.flying = append(m.flying, flying{p, data, flights})
	return err
}

// land lets an append take effect. Its answer may be lost, and it may come again.
func (m *machine) land() error {
	if len(m.flying) == 0 {
		return nil
	}
	n := m.pick(len(m.flying))
	f := m.flying[n]
	e := journal.Entry{Offset: journal.Offset(len(m.log) + 1), Time: m.now, Data: f.data}
	m.log = append(m.log, e)
	if err := m.full.Apply(e); err != nil {
		return err
	}
	if m.pick(4) > 0 {
		f.from.part.appended(f.flights, e.Offset)
	}
	if m.pick(5) > 0 {
		m.flying = append(m.flying[:n], m.flying[n+1:]...)
	}
	return nil
}

func (m *machine) lose() error {
	if len(m.flying) > 0 {
		n := m.pick(len(m.flying))
		m.flying = append(m.flying[:n], m.flying[n+1:]...)
	}
	return nil
}

// expire drops entries: with a promise, only those that are old enough.
func (m *machine) expire() error {
	if m.pick(4) > 0 {
		return nil
	}
	for n := m.pick(8); n > 0 && m.dropped < len(m.log); n-- {
		if m.retention && m.now.Sub(m.log[m.dropped].Time) <= machineRetention {
			return nil
		}
		m.dropped++
	}
	return nil
}

func (m *machine) read() error {
	p := m.process()
	from := max(int(p.part.shard.Next())-1, m.dropped)
	p.first = journal.Offset(m.dropped + 1)
	p.page = m.log[min(from, len(m.log)):]
	p.until = m.now.Add(p.skew)
	return nil
}

// fold applies a part of the page, which may be old and may be folded already.
func (m *machine) fold() error {
	p := m.process()
	if p.first > p.part.shard.Next() {
		p.part.skip(p.first, p.until)
	}
	for _, e := range p.page[:m.pick(len(p.page)+1)] {
		if err := p.part.apply(e); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) crash() error {
	if m.pick(4) > 0 {
		return nil
	}
	n := m.pick(len(m.procs))
	for _, c := range m.calls {
		if c.process == m.procs[n] {
			c.ended = true
		}
	}
	m.procs[n] = m.boot()
	return nil
}
