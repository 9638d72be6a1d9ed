package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Constants of the comparison of limit schemes.
const (
	schemeServiceTime = 200 * time.Millisecond // mean
	schemeLoad        = 0.8                    // share of what the limit allows
	schemeDeadline    = 2 * time.Second
	schemeDuration    = 120 * time.Second
	freezeFrom        = 40 * time.Second
	freezeTo          = 60 * time.Second
	loanTimeout       = 50 * time.Millisecond
)

// limitCase is one scenario in which limit schemes are compared.
type limitCase struct {
	senders, limit int
	skewed         bool // half of the requests arrive at one sender
	freeze         bool // the sender with the largest share freezes from freezeFrom to freezeTo
}

// limitScheme decides when a sender may send. A limitRun calls its functions.
type limitScheme struct {
	name         string
	queueOf      func(sender int) int  // returns the sender in whose queue a request waits
	tryAcquire   func(sender int) bool // acquires a slot for the first request in the queue
	release      func(sender int)
	queueEmptied func(sender int) // called when the queue is empty; may be nil
	largest      int              // the sender with the largest share
}

// limitRun simulates one backend server and its senders.
type limitRun struct {
	limitCase
	clock         modelClock
	arrivalRand   *rand.Rand
	serviceRand   *rand.Rand
	scheme        limitScheme
	queues        [][]time.Duration
	frozen        []bool
	deferred      [][]func() // calls that a frozen sender runs when it resumes
	inFlight      int
	maxAboveLimit int
	offered       int
	served        int
	messages      int
	statements    int // counted apart, since one statement covers all backend servers
	waits         samples
}

// LimitSchemes compares ways to enforce a limit that several senders share.
func LimitSchemes(seed uint64) Table {
	t := Table{
		Name: "limit schemes",
		Seed: seed,
		Columns: []string{
			"limit", "senders", "arrivals", "frozen sender", "scheme", "served", "p95 wait", "most above limit", "messages/request", "statements/s",
		},
	}
	var cases []limitCase
	for _, limit := range []int{1, 24} {
		for _, senders := range []int{3, 9} {
			cases = append(cases,
				limitCase{senders: senders, limit: limit},
				limitCase{senders: senders, limit: limit, skewed: true},
				limitCase{senders: senders, limit: limit, freeze: true})
		}
	}
	cases = append(cases,
		limitCase{senders: 72, limit: 24},
		limitCase{senders: 72, limit: 24, freeze: true})
	for _, c := range cases {
		for _, scheme := range []func(*limitRun) limitScheme{staticAtLeastOne, staticExact, oneDispatcher, sharesWithLoans} {
			t.Rows = append(t.Rows, runLimits(seed, c, scheme))
		}
	}
	t.Note = fmt.Sprintf("load %.1fx, mean service %v, deadline of the wait %v, frozen for %v of %v", schemeLoad, schemeServiceTime, schemeDeadline, freezeTo-freezeFrom, schemeDuration)
	return t
}

func runLimits(seed uint64, c limitCase, scheme func(*limitRun) limitScheme) []string {
	r := &limitRun{limitCase: c, arrivalRand: newRand(seed), serviceRand: newRand(seed + 1)}
	r.queues = make([][]time.Duration, c.senders)
	r.frozen = make([]bool, c.senders)
	r.deferred = make([][]func(), c.senders)
	r.scheme = scheme(r)
	if c.freeze {
		r.clock.after(freezeFrom, func() { r.frozen[r.scheme.largest] = true })
		r.clock.after(freezeTo, r.unfreeze)
	}
	r.arrivals()
	r.clock.runUntil(schemeDuration + 2*schemeDeadline)
	arrivals := "even"
	if c.skewed {
		arrivals = "half at one"
	}
	return []string{
		fmt.Sprint(c.limit), fmt.Sprint(c.senders), arrivals, fmt.Sprint(c.freeze), r.scheme.name,
		percent(r.served, r.offered), millis(r.waits.p95()), fmt.Sprint(r.maxAboveLimit),
		fmt.Sprintf("%.2f", float64(r.messages)/float64(max(r.served, 1))),
		fmt.Sprintf("%.0f", float64(r.statements)/schemeDuration.Seconds()),
	}
}

func (r *limitRun) arrivals() {
	mean := time.Duration(float64(schemeServiceTime) / float64(r.limit) / schemeLoad)
	var next func()
	next = func() {
		if r.clock.now >= schemeDuration {
			return
		}
		r.arrive(r.sender())
		r.clock.after(exponential(r.arrivalRand, mean), next)
	}
	next()
}

// sender draws the sender at which a request arrives. The balancer avoids a frozen
// sender after a second.
func (r *limitRun) sender() int {
	for {
		s := r.arrivalRand.IntN(r.senders)
		if r.skewed && r.arrivalRand.IntN(2) == 0 {
			s = 0
		}
		if !r.frozen[s] || r.clock.now < freezeFrom+time.Second {
			return s
		}
	}
}

func (r *limitRun) arrive(s int) {
	r.offered++
	at := r.clock.now
	home := r.scheme.queueOf(s)
	if home == s {
		r.enqueue(s, at)
		return
	}
	r.messages += 2
	r.send(s, home, func() { r.enqueue(home, at) })
}

func (r *limitRun) enqueue(s int, at time.Duration) {
	r.queues[s] = append(r.queues[s], at)
	r.serve(s)
}

// send delivers a message. A frozen sender or receiver handles it when it resumes.
func (r *limitRun) send(from, to int, deliver func()) {
	r.runUnlessFrozen(from, func() {
		r.clock.after(delayInside, func() { r.runUnlessFrozen(to, deliver) })
	})
}

func (r *limitRun) runUnlessFrozen(s int, do func()) {
	if r.frozen[s] {
		r.deferred[s] = append(r.deferred[s], do)
		return
	}
	do()
}

func (r *limitRun) unfreeze() {
	s := r.scheme.largest
	r.frozen[s] = false
	deferred := r.deferred[s]
	r.deferred[s] = nil
	for _, do := range deferred {
		do()
	}
	r.serve(s)
}

// serve sends the waiting requests of a sender while it acquires slots.
func (r *limitRun) serve(s int) {
	if r.frozen[s] {
		return
	}
	r.expire(s)
	if len(r.queues[s]) == 0 && r.scheme.queueEmptied != nil {
		r.scheme.queueEmptied(s)
	}
	for len(r.queues[s]) > 0 && r.scheme.tryAcquire(s) {
		at := r.queues[s][0]
		r.queues[s] = r.queues[s][1:]
		r.waits.add(r.clock.now - at)
		r.served++
		r.inFlight++
		r.maxAboveLimit = max(r.maxAboveLimit, r.inFlight-r.limit)
		r.clock.after(exponential(r.serviceRand, schemeServiceTime), func() {
			r.inFlight--
			r.runUnlessFrozen(s, func() {
				r.scheme.release(s)
				r.serve(s)
			})
		})
	}
}

func (r *limitRun) expire(s int) {
	q := r.queues[s]
	for len(q) > 0 && r.clock.now-q[0] > schemeDeadline {
		q = q[1:]
	}
	r.queues[s] = q
}
