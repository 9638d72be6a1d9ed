package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	outageInstances     = 9
	outageRate          = 20.0 // orders per second
	outageBegin         = 2 * time.Minute
	outageSpan          = 10 * time.Minute
	outageCrash         = outageBegin + 3*time.Minute // when one entry instance crashes permanently
	outageRecovery      = 20 * time.Minute
	outageOrderDelay    = time.Minute            // mean time from minting a key to sending its order
	outageServiceTime   = 500 * time.Millisecond // mean processing time of an order at its backend server
	outageRetryInterval = 5 * time.Second        // minimum time between two attempts of a caller
	outageAnswerLoss    = 0.01                   // share of answers that don't reach their caller
)

// outageResult is the final outcome of an order as its caller knows it.
type outageResult uint8

const (
	outageRan outageResult = iota
	outageRefused
	outageUnknown
)

// outageOrder is one order, which its caller repeats until it has an answer.
type outageOrder struct {
	minter   int // entry instance that minted the key and is the only one that may send the order
	due      time.Duration
	deadline time.Duration // when the caller stops repeating the order

	ran      bool
	sender   int  // entry instance that ran the order
	logged   bool // the completion is recorded on the log
	unknown  bool // an attempt ended without an answer
	answered bool // the caller has its answer
}

// ClaimOutage compares two ways to accept keyed orders while the log is
// unavailable for 10 minutes and one of 9 entry instances crashes: claims on the
// log, which are refused during the outage, and keys minted in advance, each of
// which only the instance that minted it may send.
func ClaimOutage(seed uint64) Table { return claimOutageTable(seed, time.Minute, 15*time.Minute) }

func claimOutageTable(seed uint64, timeouts ...time.Duration) Table {
	t := Table{
		Name: "claims in an outage of the log", Seed: seed,
		Columns: []string{"scheme", "patience", "orders", "ran", "refused", "unknown", "of the dead instance unknown"},
		Note: fmt.Sprintf("orders due in the %v of the outage; an instance dies %v into it; %.0f%% of answers are lost on the way to the caller; simulation of the decisions only",
			outageSpan, outageCrash-outageBegin, outageAnswerLoss*100),
	}
	for _, timeout := range timeouts {
		t.Rows = append(t.Rows,
			runOutage(seed, "claim on the log", timeout, false),
			runOutage(seed, "minted keys", timeout, true))
	}
	return t
}

type outageRun struct {
	clock  eventClock
	rand   *rand.Rand
	minted bool
	orders []*outageOrder
}

func runOutage(seed uint64, name string, timeout time.Duration, minted bool) []string {
	r := &outageRun{rand: rand.New(rand.NewPCG(seed, 5)), minted: minted}
	end := outageBegin + outageSpan
	for due := outageBegin; due < end; due += r.exponential(time.Duration(float64(time.Second) / outageRate)) {
		o := &outageOrder{due: due, deadline: due + timeout}
		mint := max(due-r.exponential(outageOrderDelay), 0)
		o.minter = r.randomRunning(mint)
		r.orders = append(r.orders, o)
		r.clock.at(due, func() { r.attempt(o) })
	}
	r.clock.run(end + outageRecovery)
	return r.row(name, timeout)
}

func (r *outageRun) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.rand.ExpFloat64() * float64(mean))
}

// randomRunning returns a random entry instance that runs at the given time. The
// instance with the highest number is the one that crashes.
func (r *outageRun) randomRunning(at time.Duration) int {
	if at >= outageCrash {
		return r.rand.IntN(outageInstances - 1)
	}
	return r.rand.IntN(outageInstances)
}

func (r *outageRun) isDead(instance int, at time.Duration) bool {
	return instance == outageInstances-1 && at >= outageCrash
}

func logUnavailable(at time.Duration) bool {
	return at >= outageBegin && at < outageBegin+outageSpan
}

// attempt makes one attempt of the caller and schedules the next one, which does
// nothing if the order is answered or its deadline has passed.
func (r *outageRun) attempt(o *outageOrder) {
	now := r.clock.now
	if o.answered || now > o.deadline {
		return
	}
	at := r.randomRunning(now)
	switch {
	case o.ran:
		r.answerRepeat(o)
	case o.unknown:
	case r.minted && !r.isDead(o.minter, now):
		r.send(o, o.minter)
	case r.minted && logUnavailable(now) && o.due < now:
		o.unknown = true // only the crashed minter knew whether an earlier attempt ran
	case r.minted:
		o.minter = at // first attempt: another instance mints a new key
		r.send(o, at)
	case !logUnavailable(now):
		r.send(o, at)
	}
	r.clock.after(outageRetryInterval+r.exponential(time.Second), func() { r.attempt(o) })
}

// answerRepeat answers a repeated order that has run, from the memory of its
// sender or from the log.
func (r *outageRun) answerRepeat(o *outageOrder) {
	now := r.clock.now
	readable := o.logged && !logUnavailable(now)
	if r.isDead(o.sender, now) && !readable {
		o.unknown = true
		return
	}
	r.deliverAnswer(o)
}

// send runs the order. The outcome is unknown if the sender crashes before the
// order completes.
func (r *outageRun) send(o *outageOrder, sender int) {
	o.ran = true
	o.sender = sender
	r.clock.after(r.exponential(outageServiceTime), func() {
		if r.isDead(sender, r.clock.now) {
			o.unknown = true
			return
		}
		o.logged = !logUnavailable(r.clock.now)
		r.deliverAnswer(o)
	})
}

func (r *outageRun) deliverAnswer(o *outageOrder) {
	o.answered = o.answered || r.rand.Float64() >= outageAnswerLoss
}

func (o *outageOrder) result() outageResult {
	switch {
	case o.answered:
		return outageRan
	case o.ran || o.unknown:
		return outageUnknown
	default:
		return outageRefused
	}
}

func (r *outageRun) row(name string, timeout time.Duration) []string {
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
		name, timeout.String(), fmt.Sprint(len(r.orders)),
		share(all[outageRan], len(r.orders)), share(all[outageRefused], len(r.orders)),
		share(all[outageUnknown], len(r.orders)), share(dead[outageUnknown], deadOrders),
	}
}
