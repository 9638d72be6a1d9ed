package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/chicorystall/chicorystall/pkg/journal"
	"github.com/google/uuid"
)

// The machine simulates a few participants, callers and one stream in random single
// steps, and an oracle checks the state after each one. All choices come from pick, so
// that either rapid or a seeded random source can control it.
const (
	machineProcesses = 3
	machineKeys      = 4
	machineMargin    = time.Minute
	machineWindow    = 40 * time.Minute
	machineRetention = 15 * time.Minute
)

// machineConfig holds the conditions of one run of the machine.
type machineConfig struct {
	disabledGuards  guard
	treatAllAsFirst bool // report NotRun for each attempt that was given up, also for later ones
	retention       bool // the log guarantees machineRetention, and the shards rely on it
	ignoreStuckKeys bool // don't check for keys that an ended attempt holds
}

// process is one run of an entry instance.
type process struct {
	id          ClaimantID
	skew        time.Duration // of its clock against the log's
	participant participant
	page        []journal.Entry // read, not yet applied
	first       journal.Offset  // first offset that the log kept at the read
	readAt      time.Time       // by its own clock
}

// inFlightAppend is an append that was sent and may take effect later.
type inFlightAppend struct {
	process *process
	data    []byte
	sent    []sentRecord
}

// call is one attempt of a caller at one process.
type call struct {
	process      *process
	key          *keyTruth
	digest       Digest
	first        bool
	beganStep    int
	attempt      *attempt
	answered     bool
	answeredStep int
	outcome      Outcome
	ended        bool // its grant ended, or its process crashed
	ranStep      int  // 0 if it did not run
}

// keyTruth is the ground truth about a key, against which the oracle checks outcomes.
type keyTruth struct {
	key     Key
	calls   []*call
	ranStep int // 0 if it did not run
	answer  Answer
	digest  Digest // of the request that ran
}

type machine struct {
	machineConfig
	pick           func(n int) int // returns a number from 0 to n-1
	step           int
	lastID         uint64
	now            time.Time
	log            []journal.Entry
	expiredEntries int // number of entries, from the start of the log
	fullShard      Shard
	processes      []*process
	inFlight       []inFlightAppend
	keys           []*keyTruth
	calls          []*call
	bootCount      int
}

func newMachine(config machineConfig, pick func(int) int) *machine {
	m := &machine{machineConfig: config, pick: pick, now: time.Unix(1_800_000_000, 0)}
	m.fullShard = Shard{Window: machineWindow, SkewMargin: machineMargin, disabledGuards: config.disabledGuards}
	for range machineProcesses {
		m.processes = append(m.processes, m.newProcess())
	}
	for range machineKeys {
		m.keys = append(m.keys, m.newKey())
	}
	return m
}

func (m *machine) newProcess() *process {
	m.bootCount++
	p := &process{id: ClaimantID(fmt.Sprintf("p%d", m.bootCount))}
	p.skew = time.Duration(m.pick(3)-1) * machineMargin
	if !m.retention {
		p.skew *= 5 // its clock is irrelevant if the log guarantees no retention
	}
	p.participant.disabledGuards = m.disabledGuards
	p.participant.shard = Shard{Window: machineWindow, SkewMargin: machineMargin, disabledGuards: m.disabledGuards}
	if m.retention {
		p.participant.shard.Retention = machineRetention
	}
	return p
}

func (m *machine) newID() uuid.UUID {
	m.lastID++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], m.lastID)
	return id
}

// newKey returns a key whose time is up to four margins before or after the log's clock.
func (m *machine) newKey() *keyTruth {
	id := m.newID()
	at := m.now.Add(time.Duration(m.pick(9)-4) * machineMargin)
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	return &keyTruth{key: Key{ID: id}}
}

// Step takes one random step and returns the violation that the oracle found, if any.
func (m *machine) Step() error {
	m.step++
	steps := []func() error{
		m.beginCall, m.beginCall, m.startAppend, m.startAppend, m.completeAppend, m.completeAppend, m.completeAppend, m.readPage, m.readPage, m.readPage, m.applyPage, m.applyPage, m.applyPage,
		m.answerSettledCall, m.answerSettledCall, m.useGrant, m.useGrant, m.endGrant, m.endGrant, m.giveUpCall, m.loseAppend, m.crashProcess, m.expireEntries, m.advanceClock, m.replaceKey,
	}
	if err := steps[m.pick(len(steps))](); err != nil {
		return fmt.Errorf("step %d: %w", m.step, err)
	}
	return m.checkStuckKeys()
}

func (m *machine) pickProcess() *process { return m.processes[m.pick(len(m.processes))] }

// pickCall returns a random call that has not ended and that ok accepts, or nil.
func (m *machine) pickCall(ok func(*call) bool) *call {
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

func (m *machine) advanceClock() error {
	m.now = m.now.Add(time.Duration(1+m.pick(120)) * time.Second)
	return nil
}

func (m *machine) beginCall() error {
	k := m.keys[m.pick(len(m.keys))]
	c := &call{process: m.pickProcess(), key: k, first: len(k.calls) == 0, beganStep: m.step}
	c.digest[0] = byte(m.pick(8) / 7)
	k.calls = append(k.calls, c)
	m.calls = append(m.calls, c)
	part := &c.process.participant
	if status := part.shard.Lookup(k.key); status.State != StateFree {
		d, done := m.resolveHeldKey(status, c.digest)
		if done && part.decidesWithoutClaim(d) {
			return m.answerCaller(c, d.Outcome)
		}
	}
	c.attempt = part.begin(k.key, c.digest, m.newID())
	return nil
}

// resolveHeldKey does one iteration of runner.resolveHeldKey.
func (m *machine) resolveHeldKey(status KeyStatus, digest Digest) (Decision, bool) {
	if d, done := decideFromLog(status, digest); done {
		return d, true
	}
	for _, p := range m.processes {
		if p.id == status.Claimant {
			out := p.participant.outcome(m.keyOf(status.Claim), status.Claim)
			return decisionFromOutcome(out), out.Kind != Pending
		}
	}
	return Decision{}, true // the claimant has ended
}

func (m *machine) keyOf(id ClaimID) Key {
	for _, c := range m.calls {
		if c.attempt != nil && c.attempt.claim == id {
			return c.key.key
		}
	}
	panic("claim without a call")
}

func (m *machine) startAppend() error {
	p := m.pickProcess()
	records, sent := p.participant.nextBatch(recordBaseBytes * (1 + m.pick(4)))
	if len(records) == 0 {
		return nil
	}
	data, err := Batch{Claimant: p.id, Records: records}.Encode()
	m.inFlight = append(m.inFlight, inFlightAppend{p, data, sent})
	return err
}

// completeAppend adds the entry of an append to the log. The response may be lost, and the
// append may be repeated later.
func (m *machine) completeAppend() error {
	if len(m.inFlight) == 0 {
		return nil
	}
	n := m.pick(len(m.inFlight))
	pending := m.inFlight[n]
	e := journal.Entry{Offset: journal.Offset(len(m.log) + 1), Time: m.now, Data: pending.data}
	m.log = append(m.log, e)
	if err := m.fullShard.Apply(e); err != nil {
		return err
	}
	if m.pick(4) > 0 {
		pending.process.participant.recordAppended(pending.sent, e.Offset)
	}
	if m.pick(5) > 0 {
		m.inFlight = append(m.inFlight[:n], m.inFlight[n+1:]...)
	}
	return nil
}

func (m *machine) loseAppend() error {
	if len(m.inFlight) > 0 {
		n := m.pick(len(m.inFlight))
		m.inFlight = append(m.inFlight[:n], m.inFlight[n+1:]...)
	}
	return nil
}

// expireEntries removes the oldest entries from the log. If the log guarantees its
// retention, it removes only entries past it.
func (m *machine) expireEntries() error {
	if m.pick(4) > 0 {
		return nil
	}
	for n := m.pick(8); n > 0 && m.expiredEntries < len(m.log); n-- {
		if m.retention && m.now.Sub(m.log[m.expiredEntries].Time) <= machineRetention {
			return nil
		}
		m.expiredEntries++
	}
	return nil
}

func (m *machine) readPage() error {
	p := m.pickProcess()
	from := max(int(p.participant.shard.Next())-1, m.expiredEntries)
	p.first = journal.Offset(m.expiredEntries + 1)
	p.page = m.log[min(from, len(m.log)):]
	p.readAt = m.now.Add(p.skew)
	return nil
}

// applyPage applies a part of the page that was read last. The page may be out of date,
// and its entries may have been applied before.
func (m *machine) applyPage() error {
	p := m.pickProcess()
	if p.first > p.participant.shard.Next() {
		p.participant.skip(p.first, p.readAt)
	}
	for _, e := range p.page[:m.pick(len(p.page)+1)] {
		if err := p.participant.apply(e); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) crashProcess() error {
	if m.pick(4) > 0 {
		return nil
	}
	n := m.pick(len(m.processes))
	for _, c := range m.calls {
		if c.process == m.processes[n] {
			c.ended = true
		}
	}
	m.processes[n] = m.newProcess()
	return nil
}
