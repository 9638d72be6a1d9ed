package limit

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// simulation simulates a data centre: processes, a network that loses, duplicates and
// reorders messages, a log that some processes can't read at times, and backend servers
// that restart. After every step it checks that no backend server holds more than it
// may.
type simulation struct {
	t             *rapid.T
	disabled      guard
	pausedIsGone  bool // a paused process may be marked gone
	processes     []*process
	lastBoot      int
	block         int // of all tables
	log           []record
	inTransit     []any
	servers       map[string]*server
	activated     Version
	newestApplied int64 // newest limits that any process has applied
	limits        map[int64]Limits
	violation     string
}

// record is a log record with either a table or limits.
type record struct {
	table  *Table
	limits *Limits
}

// process is one run of an entry instance.
type process struct {
	ledger       *Ledger
	nextRecord   int // index of the next log record to read
	paused       bool
	dead         bool
	cutOff       bool // can't read the log
	permits      []Permit
	loanRequests []LoanID
}

// server is the actual state of a backend server.
type server struct {
	boot       int
	warm       bool
	completed  int  // in this boot
	turnedCold bool // turned cold under this boot ID; only the limit is certain to hold
}

const (
	coldInFlight     = 1
	initialProcesses = 3
)

func (s *server) bootID() string { return fmt.Sprint(s.boot) }

// capacity returns how many requests the server can take after its completed requests.
func (s *server) capacity(limit int) int {
	if s.warm || s.turnedCold {
		return limit
	}
	level, needed := coldInFlight, coldInFlight
	for s.completed >= needed && level < limit {
		level *= 2
		needed += level
	}
	return min(level, limit)
}

func newSimulation(t *rapid.T, disabled guard, pausedIsGone bool) *simulation {
	w := &simulation{t: t, disabled: disabled, pausedIsGone: pausedIsGone, limits: make(map[int64]Limits)}
	w.block = rapid.SampledFrom([]int{1, 1, DefaultBlock}).Draw(t, "block")
	w.servers = map[string]*server{"s1": {}, "s2": {warm: true}}
	w.appendLimits(1, 6)
	for range initialProcesses {
		w.join(fmt.Sprint("n", len(w.processes)))
	}
	return w
}

func (w *simulation) appendLimits(inFlight1, inFlight2 int) {
	l := Limits{Version: int64(len(w.log) + 1), Backends: map[string]Limit{
		"s1": {InFlight: inFlight1, Tokens: 10 * inFlight1, ColdInFlight: coldInFlight},
		"s2": {InFlight: inFlight2, Tokens: 10 * inFlight2, ColdInFlight: coldInFlight},
	}}
	w.limits[l.Version] = l
	w.log = append(w.log, record{limits: &l})
}

// appendTable appends a table with the members for which keep returns true.
func (w *simulation) appendTable(keep func(*process) bool) {
	t := Table{Epoch: int64(len(w.log) + 1), Block: w.block}
	for _, p := range w.processes {
		switch {
		case p.dead:
		case keep(p):
			t.Members = append(t.Members, p.ledger.Self)
		default:
			t.Former = append(t.Former, p.ledger.Self)
		}
	}
	w.log = append(w.log, record{table: &t})
}

func (w *simulation) members() []Member {
	for _, r := range slices.Backward(w.log) {
		if r.table != nil {
			return r.table.Members
		}
	}
	return nil
}

func (w *simulation) isMember(p *process) bool { return slices.Contains(w.members(), p.ledger.Self) }

func (w *simulation) join(name string) {
	w.lastBoot++
	self := Member{Name: name, Boot: fmt.Sprint(w.lastBoot)}
	p := &process{ledger: &Ledger{Self: self, disabled: w.disabled}}
	w.processes = append(w.processes, p)
	w.appendTable(func(q *process) bool { return q == p || w.isMember(q) })
	p.nextRecord = w.snapshotStart()
	for name := range w.servers {
		w.observe(p, name)
	}
}

// snapshotStart returns the index of the first record that a new process reads, which
// is the newest limits; the newest table follows.
func (w *simulation) snapshotStart() int {
	last := 0
	for i, r := range w.log {
		if r.limits != nil {
			last = i
		}
	}
	return last
}

func (w *simulation) observe(p *process, name string) {
	p.ledger.Observe(name, w.servers[name].bootID())
	if w.servers[name].warm && !w.servers[name].turnedCold {
		w.send(p.ledger.MarkWarm(name, w.servers[name].bootID()))
	}
}

func (w *simulation) send(out Outbox) {
	for _, r := range out.Returns {
		w.inTransit = append(w.inTransit, r)
	}
	for _, r := range out.Replies {
		w.inTransit = append(w.inTransit, r)
	}
}

func (w *simulation) process(m Member) *process {
	for _, p := range w.processes {
		if p.ledger.Self == m {
			return p
		}
	}
	return nil
}

// deliver delivers a message to its receiver, unless the receiver is paused or dead.
func (w *simulation) deliver(message any) {
	var to Member
	switch m := message.(type) {
	case LoanRequest:
		to = m.Lender
	case LoanReply:
		to = m.ID.Borrower
	case Return:
		to = m.Lender
	case Statement:
		to = m.To
	}
	p := w.process(to)
	if p == nil || p.dead || p.paused {
		return
	}
	switch m := message.(type) {
	case LoanRequest:
		w.inTransit = append(w.inTransit, p.ledger.Lend(m))
	case LoanReply:
		_, out := p.ledger.Accept(m)
		w.send(out)
	case Return:
		w.send(p.ledger.TakeBack(m))
	case Statement:
		w.send(p.ledger.Reconcile(m))
	}
}

// largestLimit returns the largest limit of a backend server among the version that is
// known to be in force at all members and the newer ones that any process has applied,
// since requests sent under any of them may still be in flight.
func (w *simulation) largestLimit(backend string) Limit {
	for _, p := range w.processes {
		w.newestApplied = max(w.newestApplied, p.ledger.Version().Limits)
	}
	largest := w.limits[w.activated.Limits].Backends[backend]
	for v := w.activated.Limits; v <= w.newestApplied; v++ {
		applied := w.limits[v].Backends[backend]
		largest.InFlight = max(largest.InFlight, applied.InFlight)
		largest.Tokens = max(largest.Tokens, applied.Tokens)
	}
	return largest
}

// check checks what each backend server holds against its limits.
func (w *simulation) check() {
	for _, p := range w.processes {
		v := p.ledger.Version()
		newer := v.Epoch >= w.activated.Epoch && v.Limits >= w.activated.Limits
		if !p.dead && p.ledger.Activated() && newer {
			w.activated = v
		}
	}
	for name, s := range w.servers {
		var sum Amount
		for _, p := range w.processes {
			for _, permit := range p.permits {
				if !p.dead && permit.Backend == name && permit.Boot == s.bootID() {
					sum = sum.Plus(Amount{Requests: 1, Tokens: permit.Tokens})
				}
			}
		}
		limit := w.largestLimit(name)
		allowed := Amount{Requests: s.capacity(limit.InFlight), Tokens: limit.Tokens}
		if !sum.FitsIn(allowed) && w.violation == "" {
			w.violation = fmt.Sprintf("backend server %q holds %+v, allowed are %+v", name, sum, allowed)
		}
	}
}
