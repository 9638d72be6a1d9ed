package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	retryServers       = 3
	retrySlots         = 10                     // concurrent requests per server
	retryLongQueue     = 200                    // queued requests per server; they wait longer than a try lasts
	retryShortQueue    = 50                     // queued requests per server; they wait less than a try lasts
	retryServiceTime   = 100 * time.Millisecond // mean processing time of a request
	retryTryTimeout    = time.Second
	retryCallerTimeout = 3 * time.Second // total time that a caller waits
	retryWarmUp        = 10 * time.Second
	retryOverload      = 20 * time.Second
	retryStall         = 10 * time.Second
	retryRecovery      = 30 * time.Second
	retryNormalLoad    = 0.8
)

// retryCase is the disturbance between retryWarmUp and retryRecovery, both of which
// have normal load.
type retryCase struct {
	name    string
	load    float64 // share of the capacity
	span    time.Duration
	stalled int // number of stalled servers
}

var retryCases = []retryCase{
	{"0.8x", 0.8, retryOverload, 0},
	{"1x", 1, retryOverload, 0},
	{"2x", 2, retryOverload, 0},
	{"0.8x, a third stalled", 0.8, retryStall, retryServers / 3},
}

// retryScheme is a retry policy, with the queue limits of its servers.
type retryScheme struct {
	name        string
	queue       int  // maximum of queued requests per server
	deadline    bool // servers drop requests whose deadline has passed
	next        func(now time.Time, a retry.Attempt, server string) (time.Duration, bool)
	recordFirst func(now time.Time, server string)
}

// Retries compares the retry policy with naive retries on servers of finite
// capacity. Each try goes to a random server, even while some are stalled.
func Retries(seed uint64) Table {
	return retriesTable(seed, retryCases, naiveRetries, backoffRetries, budgetRetries, shortQueueRetries)
}

func retriesTable(seed uint64, cases []retryCase, schemes ...func(seed uint64) retryScheme) Table {
	t := Table{
		Name: "retries", Seed: seed,
		Columns: []string{"case", "policy", "goodput/capacity", "goodput/offered", "retries/first", "recovered after"},
		Note: fmt.Sprintf("%d servers of %d slots, %v each; tries of %v, callers wait %v; recovered: 95%% of offered in 3 seconds running",
			retryServers, retrySlots, retryServiceTime, retryTryTimeout, retryCallerTimeout),
	}
	for _, c := range cases {
		for _, scheme := range schemes {
			t.Rows = append(t.Rows, runRetries(seed, c, scheme(seed)))
		}
	}
	return t
}

// naiveRetries makes up to three immediate retries.
func naiveRetries(uint64) retryScheme {
	return retryScheme{
		name:        "3 immediate retries",
		queue:       retryLongQueue,
		recordFirst: func(time.Time, string) {},
		next: func(_ time.Time, a retry.Attempt, _ string) (time.Duration, bool) {
			return 0, a.Number <= 3
		},
	}
}

// backoffRetries retries with backoff, jitter and deadlines, but without a budget.
func backoffRetries(seed uint64) retryScheme {
	backoff := retry.Backoff{Float64: rand.New(rand.NewPCG(seed, 1)).Float64}
	return retryScheme{
		name:        "backoff, no budget",
		queue:       retryLongQueue,
		deadline:    true,
		recordFirst: func(time.Time, string) {},
		next: func(_ time.Time, a retry.Attempt, _ string) (time.Duration, bool) {
			return backoff.Delay(a.Number), a.Number < retry.DefaultMaxAttempts
		},
	}
}

// budgetRetries uses retry.Policy.
func budgetRetries(seed uint64) retryScheme {
	policy := &retry.Policy{Budgets: &retry.Budgets{}, MinAttemptTime: retryServiceTime}
	policy.Backoff.Float64 = rand.New(rand.NewPCG(seed, 1)).Float64
	return retryScheme{
		name:        "policy with budget",
		queue:       retryLongQueue,
		deadline:    true,
		recordFirst: policy.Budgets.RecordFirst,
		next: func(now time.Time, a retry.Attempt, server string) (time.Duration, bool) {
			d := policy.Next(now, a, retry.Failure{Server: server, Repeatable: true})
			return d.Delay, d.Reason == retry.Allowed
		},
	}
}

// shortQueueRetries uses retry.Policy with servers that immediately refuse requests
// that they could not serve in time.
func shortQueueRetries(seed uint64) retryScheme {
	scheme := budgetRetries(seed)
	scheme.name = "policy, short queue"
	scheme.queue = retryShortQueue
	return scheme
}

// retryJob is one try at a server.
type retryJob struct {
	request  *retryRequest
	number   int
	deadline time.Time
	finished bool // answered, refused or timed out
}

type retryRequest struct {
	began    time.Time
	deadline time.Time
	answered bool
}

type retryServer struct {
	running      int
	queue        []*retryJob
	stalledUntil time.Time // the server makes no progress before this time
}

// retrySecond counts the requests that started in one second.
type retrySecond struct{ offered, good, retries int }

type retryRun struct {
	retryScheme
	retryCase
	clock   eventClock
	rand    *rand.Rand
	servers [retryServers]retryServer
	seconds []retrySecond
}

func runRetries(seed uint64, c retryCase, scheme retryScheme) []string {
	total := retryWarmUp + c.span + retryRecovery
	r := &retryRun{
		retryScheme: scheme, retryCase: c,
		rand:    rand.New(rand.NewPCG(seed, 2)),
		seconds: make([]retrySecond, total/time.Second+1),
	}
	r.clock.at(retryWarmUp, func() {
		for n := range c.stalled {
			r.servers[n].stalledUntil = eventEpoch.Add(retryWarmUp + c.span)
		}
	})
	r.clock.at(0, r.arrive)
	r.clock.run(total)
	return r.row()
}

// arrive starts one request and schedules the next.
func (r *retryRun) arrive() {
	elapsed := r.clock.now
	load := retryNormalLoad
	if elapsed >= retryWarmUp && elapsed < retryWarmUp+r.span {
		load = r.load
	}
	rate := load * retryServers * retrySlots / retryServiceTime.Seconds()
	r.clock.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	now := r.clock.time()
	request := &retryRequest{began: now, deadline: now.Add(retryCallerTimeout)}
	r.second(request).offered++
	r.try(request, 1)
}

func (r *retryRun) second(q *retryRequest) *retrySecond {
	return &r.seconds[q.began.Sub(eventEpoch)/time.Second]
}

func (r *retryRun) try(q *retryRequest, number int) {
	now := r.clock.time()
	if !now.Before(q.deadline) {
		return
	}
	n := r.rand.IntN(retryServers)
	if number == 1 {
		r.recordFirst(now, fmt.Sprint(n))
	} else {
		r.second(q).retries++
	}
	job := &retryJob{request: q, number: number, deadline: now.Add(retryTryTimeout)}
	if job.deadline.After(q.deadline) {
		job.deadline = q.deadline
	}
	s := &r.servers[n]
	if len(s.queue) >= r.queue {
		r.fail(job, n)
		return
	}
	s.queue = append(s.queue, job)
	r.clock.after(job.deadline.Sub(now), func() { r.fail(job, n) })
	r.serve(n)
}

// fail ends a try without an answer.
func (r *retryRun) fail(job *retryJob, n int) {
	if job.finished {
		return
	}
	job.finished = true
	a := retry.Attempt{Number: job.number, Deadline: job.request.deadline}
	delay, ok := r.next(r.clock.time(), a, fmt.Sprint(n))
	if ok {
		r.clock.after(delay, func() { r.try(job.request, job.number+1) })
	}
}

// serve starts queued requests in the free slots of a server.
func (r *retryRun) serve(n int) {
	s := &r.servers[n]
	now := r.clock.time()
	for s.running < retrySlots && len(s.queue) > 0 {
		job := s.queue[0]
		s.queue = s.queue[1:]
		if r.deadline && !now.Before(job.deadline) {
			continue
		}
		s.running++
		span := time.Duration(r.rand.ExpFloat64() * float64(retryServiceTime))
		r.clock.after(span, func() { r.done(job, n) })
	}
}

// done completes the work of a server on a try, or postpones this to the end of the
// server's stall.
func (r *retryRun) done(job *retryJob, n int) {
	s := &r.servers[n]
	now := r.clock.time()
	if now.Before(s.stalledUntil) {
		r.clock.after(s.stalledUntil.Sub(now), func() { r.done(job, n) })
		return
	}
	s.running--
	if !job.finished && !job.request.answered {
		job.request.answered = true
		r.second(job.request).good++
	}
	job.finished = true
	r.serve(n)
}

func (r *retryRun) row() []string {
	from, to := int(retryWarmUp/time.Second), int((retryWarmUp+r.span)/time.Second)
	var sum retrySecond
	for _, s := range r.seconds[from:to] {
		sum.offered += s.offered
		sum.good += s.good
		sum.retries += s.retries
	}
	capacity := retryServers * retrySlots / retryServiceTime.Seconds() * r.span.Seconds()
	return []string{
		r.retryCase.name, r.retryScheme.name,
		fmt.Sprintf("%.2f", float64(sum.good)/capacity),
		fmt.Sprintf("%.2f", float64(sum.good)/float64(sum.offered)),
		fmt.Sprintf("%.2f", float64(sum.retries)/float64(sum.offered)),
		r.recovery(to),
	}
}

// recovery returns the time from the end of the disturbance to the first three
// consecutive seconds in which at least 95% of the requests succeeded.
func (r *retryRun) recovery(end int) string {
	good := 0
	last := len(r.seconds) - int(retryCallerTimeout/time.Second) - 1
	for n := end; n < last; n++ {
		s := r.seconds[n]
		good++
		if float64(s.good) < 0.95*float64(s.offered) {
			good = 0
		}
		if good == 3 {
			return fmt.Sprint(time.Duration(n-2-end) * time.Second)
		}
	}
	return "never"
}
