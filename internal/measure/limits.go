package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Constants of the comparison of limit schemes.
const (
	schemeService  = 200 * time.Millisecond // mean
	schemeLoad     = 0.8                    // of what the limit allows
	schemeDeadline = 2 * time.Second
	schemeRun      = 120 * time.Second
	freezeFrom     = 40 * time.Second
	freezeTo       = 60 * time.Second
	loanTimeout    = 50 * time.Millisecond
)

// limitCase is one situation in which schemes are compared.
type limitCase struct {
	senders, limit int
	skewed         bool // half of the requests arrive at one sender
	freeze         bool // the sender with the largest part freezes for a while
}

// limitScheme decides when a sender may send. Its functions are called by a
// limitRun.
type limitScheme struct {
	name    string
	home    func(sender int) int  // the sender whose queue a request waits in
	try     func(sender int) bool // takes a place for the first in the queue
	release func(sender int)
	idle    func(sender int) // nothing waits any more; nil does nothing
	largest int              // the sender that holds most
}

// limitRun is one backend server and its senders.
type limitRun struct {
	limitCase
	clock      modelClock
	rng        *rand.Rand // of arrivals
	service    *rand.Rand
	scheme     limitScheme
	queues     [][]time.Duration
	frozen     []bool
	thaw       [][]func() // what a frozen sender does when it goes on
	inFlight   int
	above      int
	offered    int
	served     int
	messages   int
	statements int // they go on for all backend servers together
	waits      samples
}

// LimitSchemes compares ways to keep a limit that several senders share.
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
	t.Note = fmt.Sprintf("load %.1fx, mean service %v, deadline of the wait %v, frozen for %v of %v", schemeLoad, schemeService, schemeDeadline, freezeTo-freezeFrom, schemeRun)
	return t
}

func runLimits(seed uint64, c limitCase, scheme func(*limitRun) limitScheme) []string {
	r := &limitRun{limitCase: c, rng: newRand(seed), service: newRand(seed + 1)}
	r.queues = make([][]time.Duration, c.senders)
	r.frozen = make([]bool, c.senders)
	r.thaw = make([][]func(), c.senders)
	r.scheme = scheme(r)
	if c.freeze {
		r.clock.after(freezeFrom, func() { r.frozen[r.scheme.largest] = true })
		r.clock.after(freezeTo, r.unfreeze)
	}
	r.arrivals()
	r.clock.runUntil(schemeRun + 2*schemeDeadline)
	arrivals := "even"
	if c.skewed {
		arrivals = "half at one"
	}
	return []string{
		fmt.Sprint(c.limit), fmt.Sprint(c.senders), arrivals, fmt.Sprint(c.freeze), r.scheme.name,
		percent(r.served, r.offered), millis(r.waits.p95()), fmt.Sprint(r.above),
		fmt.Sprintf("%.2f", float64(r.messages)/float64(max(r.served, 1))),
		fmt.Sprintf("%.0f", float64(r.statements)/schemeRun.Seconds()),
	}
}

func (r *limitRun) arrivals() {
	mean := time.Duration(float64(schemeService) / float64(r.limit) / schemeLoad)
	var next func()
	next = func() {
		if r.clock.now >= schemeRun {
			return
		}
		r.arrive(r.sender())
		r.clock.after(exponential(r.rng, mean), next)
	}
	next()
}

// sender draws where a request arrives. The balancer avoids a frozen sender
// after a second.
func (r *limitRun) sender() int {
	for {
		s := r.rng.IntN(r.senders)
		if r.skewed && r.rng.IntN(2) == 0 {
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
	home := r.scheme.home(s)
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

// send delivers a message; a frozen receiver reads it when it goes on.
func (r *limitRun) send(from, to int, deliver func()) {
	r.act(from, func() {
		r.clock.after(delayInside, func() { r.act(to, deliver) })
	})
}

func (r *limitRun) act(s int, do func()) {
	if r.frozen[s] {
		r.thaw[s] = append(r.thaw[s], do)
		return
	}
	do()
}

func (r *limitRun) unfreeze() {
	s := r.scheme.largest
	r.frozen[s] = false
	late := r.thaw[s]
	r.thaw[s] = nil
	for _, do := range late {
		do()
	}
	r.serve(s)
}

// serve sends what waits at a sender while it gets places.
func (r *limitRun) serve(s int) {
	if r.frozen[s] {
		return
	}
	r.expire(s)
	if len(r.queues[s]) == 0 && r.scheme.idle != nil {
		r.scheme.idle(s)
	}
	for len(r.queues[s]) > 0 && r.scheme.try(s) {
		at := r.queues[s][0]
		r.queues[s] = r.queues[s][1:]
		r.waits.add(r.clock.now - at)
		r.served++
		r.inFlight++
		r.above = max(r.above, r.inFlight-r.limit)
		r.clock.after(exponential(r.service, schemeService), func() {
			r.inFlight--
			r.act(s, func() {
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
