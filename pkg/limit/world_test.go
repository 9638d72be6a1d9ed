package limit

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// world is a data centre in a test: processes, a network that loses, repeats
// and reorders messages, a log that not everyone reads, and backend servers
// that restart. It checks every step against what the backend servers hold.
type world struct {
	t         *rapid.T
	disabled  guard
	believe   bool // take silence for the end of a process
	procs     []*process
	boots     int
	block     int // of all tables
	log       []record
	mail      []any
	servers   map[string]*server
	activated Version
	followed  int64 // newest limits that a process has followed
	limits    map[int64]Limits
	violation string
}

// record is a table or limits.
type record struct {
	table  *Table
	limits *Limits
}

// process is one life of an entry instance.
type process struct {
	ledger  *Ledger
	read    int // records of the log that it has read
	paused  bool
	dead    bool
	cutOff  bool // from the log
	permits []Permit
	asked   []LoanID
}

// server is the truth about a backend server.
type server struct {
	boot      int
	warm      bool
	completed int  // in this boot
	silent    bool // turned cold under this boot: only the limit is sure to hold
}

const (
	coldInFlight = 1
	worldNames   = 3
)

func (s *server) bootID() string { return fmt.Sprint(s.boot) }

// bears is what a backend server can hold after its completions.
func (s *server) bears(limit int) int {
	if s.warm || s.silent {
		return limit
	}
	level, needed := coldInFlight, coldInFlight
	for s.completed >= needed && level < limit {
		level *= 2
		needed += level
	}
	return min(level, limit)
}

func newWorld(t *rapid.T, disabled guard, believe bool) *world {
	w := &world{t: t, disabled: disabled, believe: believe, limits: make(map[int64]Limits)}
	w.block = rapid.SampledFrom([]int{1, 1, DefaultBlock}).Draw(t, "block")
	w.servers = map[string]*server{"s1": {}, "s2": {warm: true}}
	w.configure(1, 6)
	for range worldNames {
		w.join(fmt.Sprint("n", len(w.procs)))
	}
	return w
}

func (w *world) configure(one, two int) {
	l := Limits{Version: int64(len(w.log) + 1), Backends: map[string]Limit{
		"s1": {InFlight: one, Tokens: 10 * one, ColdInFlight: coldInFlight},
		"s2": {InFlight: two, Tokens: 10 * two, ColdInFlight: coldInFlight},
	}}
	w.limits[l.Version] = l
	w.log = append(w.log, record{limits: &l})
}

// table appends a record with the members that keep holds for.
func (w *world) table(keep func(*process) bool) {
	t := Table{Epoch: int64(len(w.log) + 1), Block: w.block}
	for _, p := range w.procs {
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

func (w *world) members() []Member {
	for _, r := range slices.Backward(w.log) {
		if r.table != nil {
			return r.table.Members
		}
	}
	return nil
}

func (w *world) isMember(p *process) bool { return slices.Contains(w.members(), p.ledger.Self) }

func (w *world) join(name string) {
	w.boots++
	self := Member{Name: name, Boot: fmt.Sprint(w.boots)}
	p := &process{ledger: &Ledger{Self: self, disabled: w.disabled}}
	w.procs = append(w.procs, p)
	w.table(func(q *process) bool { return q == p || w.isMember(q) })
	p.read = w.snapshotStart()
	for name := range w.servers {
		w.observe(p, name)
	}
}

// snapshotStart is where a newcomer reads on: the newest limits, then the newest table.
func (w *world) snapshotStart() int {
	last := 0
	for i, r := range w.log {
		if r.limits != nil {
			last = i
		}
	}
	return last
}

func (w *world) observe(p *process, name string) {
	p.ledger.Observe(name, w.servers[name].bootID())
	if w.servers[name].warm && !w.servers[name].silent {
		w.send(p.ledger.MarkWarm(name, w.servers[name].bootID()))
	}
}

func (w *world) send(out Outbox) {
	for _, r := range out.Returns {
		w.mail = append(w.mail, r)
	}
	for _, r := range out.Replies {
		w.mail = append(w.mail, r)
	}
}

func (w *world) process(m Member) *process {
	for _, p := range w.procs {
		if p.ledger.Self == m {
			return p
		}
	}
	return nil
}

// deliver hands a message to its receiver. A paused or dead one does not get it.
func (w *world) deliver(message any) {
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
		w.mail = append(w.mail, p.ledger.Lend(m))
	case LoanReply:
		_, out := p.ledger.Accept(m)
		w.send(out)
	case Return:
		w.send(p.ledger.TakeBack(m))
	case Statement:
		w.send(p.ledger.Reconcile(m))
	}
}

// largestLimit returns the largest limit of a backend server among the version
// that is known to bind all and the newer ones that a process has followed: what
// was sent under one of them may still be in flight.
func (w *world) largestLimit(backend string) Limit {
	for _, p := range w.procs {
		w.followed = max(w.followed, p.ledger.Version().Limits)
	}
	largest := w.limits[w.activated.Limits].Backends[backend]
	for v := w.activated.Limits; v <= w.followed; v++ {
		followed := w.limits[v].Backends[backend]
		largest.InFlight = max(largest.InFlight, followed.InFlight)
		largest.Tokens = max(largest.Tokens, followed.Tokens)
	}
	return largest
}

// check compares what every backend server holds with its limits.
func (w *world) check() {
	for _, p := range w.procs {
		v := p.ledger.Version()
		newer := v.Epoch >= w.activated.Epoch && v.Limits >= w.activated.Limits
		if !p.dead && p.ledger.Activated() && newer {
			w.activated = v
		}
	}
	for name, s := range w.servers {
		var sum Amount
		for _, p := range w.procs {
			for _, permit := range p.permits {
				if !p.dead && permit.Backend == name && permit.Boot == s.bootID() {
					sum = sum.Plus(Amount{Requests: 1, Tokens: permit.Tokens})
				}
			}
		}
		limit := w.largestLimit(name)
		allowed := Amount{Requests: s.bears(limit.InFlight), Tokens: limit.Tokens}
		if !sum.FitsIn(allowed) && w.violation == "" {
			w.violation = fmt.Sprintf("backend server %q holds %+v, allowed are %+v", name, sum, allowed)
		}
	}
}
