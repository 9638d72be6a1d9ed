package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	outageInstances = 9
	outageRate      = 20.0 // orders a second
	outageBegin     = 2 * time.Minute
	outageSpan      = 10 * time.Minute
	outageDeath     = outageBegin + 3*time.Minute // of one entry instance, for good
	outageRest      = 20 * time.Minute
	outageThink     = time.Minute            // mean time from the mint of a key to its order
	outageService   = 500 * time.Millisecond // mean time of an order at its backend server
	outageAsk       = 5 * time.Second        // between two attempts of a caller
	outageLost      = 0.01                   // answers that don't reach their caller
)

// outageResult is what a caller knows in the end.
type outageResult uint8

const (
	outageRan outageResult = iota
	outageRefused
	outageUnknown
)

// outageOrder is one order of a caller who repeats it until it has an answer.
type outageOrder struct {
	minter int // entry instance that minted the key, and its only sender
	due    time.Duration
	until  time.Duration // end of the caller's patience

	ran     bool
	sender  int  // that ran it
	logged  bool // its completion is on the log
	unknown bool // an attempt ended without an answer
	sure    bool // the caller has its answer
}

// ClaimOutage compares two ways to take keyed orders while the log is away for
// 10 minutes and one of 9 entry instances dies: claims on the log, refused while
// it is away, and keys minted beforehand by the one instance that may send them.
func ClaimOutage(seed uint64) Table { return claimOutageTable(seed, time.Minute, 15*time.Minute) }

func claimOutageTable(seed uint64, patiences ...time.Duration) Table {
	t := Table{
		Name: "claims in an outage of the log", Seed: seed,
		Columns: []string{"scheme", "patience", "orders", "ran", "refused", "unknown", "of the dead instance unknown"},
		Note: fmt.Sprintf("orders due in the %v of the outage; an instance dies %v into it; %.0f%% of answers are lost on the way to the caller; simulation of the decisions only",
			outageSpan, outageDeath-outageBegin, outageLost*100),
	}
	for _, patience := range patiences {
		t.Rows = append(t.Rows,
			runOutage(seed, "claim on the log", patience, false),
			runOutage(seed, "minted keys", patience, true))
	}
	return t
}

type outageRun struct {
	clock  eventClock
	rand   *rand.Rand
	minted bool
	orders []*outageOrder
}

func runOutage(seed uint64, name string, patience time.Duration, minted bool) []string {
	r := &outageRun{rand: rand.New(rand.NewPCG(seed, 5)), minted: minted}
	end := outageBegin + outageSpan
	for due := outageBegin; due < end; due += r.exponential(time.Duration(float64(time.Second) / outageRate)) {
		o := &outageOrder{due: due, until: due + patience}
		mint := max(due-r.exponential(outageThink), 0)
		o.minter = r.alive(mint)
		r.orders = append(r.orders, o)
		r.clock.at(due, func() { r.attempt(o) })
	}
	r.clock.run(end + outageRest)
	return r.row(name, patience)
}

func (r *outageRun) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.rand.ExpFloat64() * float64(mean))
}

// alive returns an entry instance that runs at this time; the last one dies.
func (r *outageRun) alive(at time.Duration) int {
	if at >= outageDeath {
		return r.rand.IntN(outageInstances - 1)
	}
	return r.rand.IntN(outageInstances)
}

func (r *outageRun) isDead(instance int, at time.Duration) bool {
	return instance == outageInstances-1 && at >= outageDeath
}

func logAway(at time.Duration) bool {
	return at >= outageBegin && at < outageBegin+outageSpan
}

// attempt is one try of the caller, who tries again until it has an answer.
func (r *outageRun) attempt(o *outageOrder) {
	now := r.clock.now
	if o.sure || now > o.until {
		return
	}
	at := r.alive(now)
	switch {
	case o.ran:
		r.repeat(o)
	case o.unknown:
	case r.minted && !r.isDead(o.minter, now):
		r.send(o, o.minter)
	case r.minted && logAway(now) && o.due < now:
		o.unknown = true // only the dead minter knew whether an earlier attempt ran
	case r.minted:
		o.minter = at // a first attempt: a new key is minted in its place
		r.send(o, at)
	case !logAway(now):
		r.send(o, at)
	}
	r.clock.after(outageAsk+r.exponential(time.Second), func() { r.attempt(o) })
}

// repeat answers an order that ran: from the memory of its sender, or the log.
func (r *outageRun) repeat(o *outageOrder) {
	now := r.clock.now
	readable := o.logged && !logAway(now)
	if r.isDead(o.sender, now) && !readable {
		o.unknown = true
		return
	}
	r.tell(o)
}

// send runs the order, unless its sender dies meanwhile.
func (r *outageRun) send(o *outageOrder, sender int) {
	o.ran = true
	o.sender = sender
	r.clock.after(r.exponential(outageService), func() {
		if r.isDead(sender, r.clock.now) {
			o.unknown = true
			return
		}
		o.logged = !logAway(r.clock.now)
		r.tell(o)
	})
}

func (r *outageRun) tell(o *outageOrder) {
	o.sure = o.sure || r.rand.Float64() >= outageLost
}

func (o *outageOrder) result() outageResult {
	switch {
	case o.sure:
		return outageRan
	case o.ran || o.unknown:
		return outageUnknown
	default:
		return outageRefused
	}
}

func (r *outageRun) row(name string, patience time.Duration) []string {
	var all, dead [3]int
	deadOrders := 0
	for _, o := range r.orders {
		all[o.result()]++
		if o.minter == outageInstances-1 {
			deadOrders++
			dead[o.result()]++
		}
	}
	share := func(n, of int) string { return fmt.Sprintf("%.4f", float64(n)/float64(max(of, 1))) }
	return []string{
		name, patience.String(), fmt.Sprint(len(r.orders)),
		share(all[outageRan], len(r.orders)), share(all[outageRefused], len(r.orders)),
		share(all[outageUnknown], len(r.orders)), share(dead[outageUnknown], deadOrders),
	}
}
