package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	retryServers    = 3
	retrySlots      = 10                     // requests that a server works on at once
	retryLongQueue  = 200                    // requests that wait at a server: longer than a try
	retryShortQueue = 50                     // shorter than a try
	retryService    = 100 * time.Millisecond // mean time of one request
	retryTryTimeout = time.Second
	retryPatience   = 3 * time.Second // of the caller
	retryWarm       = 10 * time.Second
	retryOverload   = 20 * time.Second
	retryStall      = 10 * time.Second
	retryRest       = 30 * time.Second
	retryNormalLoad = 0.8
)

// retryCase is what happens between retryWarm and the rest at normal load.
type retryCase struct {
	name    string
	load    float64 // of the capacity
	span    time.Duration
	stalled int // servers that stand still
}

var retryCases = []retryCase{
	{"0.8x", 0.8, retryOverload, 0},
	{"1x", 1, retryOverload, 0},
	{"2x", 2, retryOverload, 0},
	{"0.8x, a third stalled", 0.8, retryStall, retryServers / 3},
}

// retryScheme decides on retries.
type retryScheme struct {
	name     string
	queue    int  // requests that wait at a server
	deadline bool // servers drop requests whose deadline has passed
	next     func(now time.Time, a retry.Attempt, server string) (time.Duration, bool)
	first    func(now time.Time, server string)
}

// Retries compares the retry policy with plain retries on servers of finite
// capacity. Each try goes to a random server, also while some stand still.
func Retries(seed uint64) Table {
	return retriesTable(seed, retryCases, naiveRetries, backoffRetries, budgetRetries, shortQueueRetries)
}

func retriesTable(seed uint64, cases []retryCase, schemes ...func(seed uint64) retryScheme) Table {
	t := Table{
		Name: "retries", Seed: seed,
		Columns: []string{"case", "policy", "goodput/capacity", "goodput/offered", "retries/first", "recovered after"},
		Note: fmt.Sprintf("%d servers of %d slots, %v each; tries of %v, callers wait %v; recovered: 95%% of offered in 3 seconds running",
			retryServers, retrySlots, retryService, retryTryTimeout, retryPatience),
	}
	for _, c := range cases {
		for _, scheme := range schemes {
			t.Rows = append(t.Rows, runRetries(seed, c, scheme(seed)))
		}
	}
	return t
}

// naiveRetries tries three times more at once.
func naiveRetries(uint64) retryScheme {
	return retryScheme{
		name:  "3 immediate retries",
		queue: retryLongQueue,
		first: func(time.Time, string) {},
		next: func(_ time.Time, a retry.Attempt, _ string) (time.Duration, bool) {
			return 0, a.Number <= 3
		},
	}
}

// backoffRetries has jitter and deadlines, and no budget.
func backoffRetries(seed uint64) retryScheme {
	backoff := retry.Backoff{Float64: rand.New(rand.NewPCG(seed, 1)).Float64}
	return retryScheme{
		name:     "backoff, no budget",
		queue:    retryLongQueue,
		deadline: true,
		first:    func(time.Time, string) {},
		next: func(_ time.Time, a retry.Attempt, _ string) (time.Duration, bool) {
			return backoff.Delay(a.Number), a.Number < retry.DefaultMaxAttempts
		},
	}
}

// budgetRetries is the library's policy.
func budgetRetries(seed uint64) retryScheme {
	policy := &retry.Policy{Budgets: &retry.Budgets{}, MinAttemptTime: retryService}
	policy.Backoff.Float64 = rand.New(rand.NewPCG(seed, 1)).Float64
	return retryScheme{
		name:     "policy with budget",
		queue:    retryLongQueue,
		deadline: true,
		first:    policy.Budgets.RecordFirst,
		next: func(now time.Time, a retry.Attempt, server string) (time.Duration, bool) {
			d := policy.Next(now, a, retry.Failure{Server: server, Repeatable: true})
			return d.Delay, d.Reason == retry.Allowed
		},
	}
}

// shortQueueRetries is the library's policy before servers that refuse at once
// what could not be served in time.
func shortQueueRetries(seed uint64) retryScheme {
	scheme := budgetRetries(seed)
	scheme.name = "policy, short queue"
	scheme.queue = retryShortQueue
	return scheme
}

// retryJob is one try at a server.
type retryJob struct {
	request *retryRequest
	number  int
	ends    time.Time // of the try
	over    bool      // answered, refused or timed out
}

type retryRequest struct {
	began    time.Time
	deadline time.Time
	answered bool
}

type retryServer struct {
	running int
	queue   []*retryJob
	stalled time.Time // it makes no progress until then
}

// retrySecond counts the requests that began in one second.
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
	total := retryWarm + c.span + retryRest
	r := &retryRun{
		retryScheme: scheme, retryCase: c,
		rand:    rand.New(rand.NewPCG(seed, 2)),
		seconds: make([]retrySecond, total/time.Second+1),
	}
	r.clock.at(retryWarm, func() {
		for n := range c.stalled {
			r.servers[n].stalled = eventEpoch.Add(retryWarm + c.span)
		}
	})
	r.clock.at(0, r.arrive)
	r.clock.run(total)
	return r.row()
}

// arrive begins one request and plans the next.
func (r *retryRun) arrive() {
	elapsed := r.clock.now
	load := retryNormalLoad
	if elapsed >= retryWarm && elapsed < retryWarm+r.span {
		load = r.load
	}
	rate := load * retryServers * retrySlots / retryService.Seconds()
	r.clock.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	now := r.clock.time()
	request := &retryRequest{began: now, deadline: now.Add(retryPatience)}
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
		r.first(now, fmt.Sprint(n))
	} else {
		r.second(q).retries++
	}
	job := &retryJob{request: q, number: number, ends: now.Add(retryTryTimeout)}
	if job.ends.After(q.deadline) {
		job.ends = q.deadline
	}
	s := &r.servers[n]
	if len(s.queue) >= r.queue {
		r.fail(job, n)
		return
	}
	s.queue = append(s.queue, job)
	r.clock.after(job.ends.Sub(now), func() { r.fail(job, n) })
	r.serve(n)
}

// fail ends a try without an answer.
func (r *retryRun) fail(job *retryJob, n int) {
	if job.over {
		return
	}
	job.over = true
	a := retry.Attempt{Number: job.number, Deadline: job.request.deadline}
	delay, ok := r.next(r.clock.time(), a, fmt.Sprint(n))
	if ok {
		r.clock.after(delay, func() { r.try(job.request, job.number+1) })
	}
}

// serve starts waiting requests in the free slots of a server.
func (r *retryRun) serve(n int) {
	s := &r.servers[n]
	now := r.clock.time()
	for s.running < retrySlots && len(s.queue) > 0 {
		job := s.queue[0]
		s.queue = s.queue[1:]
		if r.deadline && !now.Before(job.ends) {
			continue
		}
		s.running++
		span := time.Duration(r.rand.ExpFloat64() * float64(retryService))
		r.clock.after(span, func() { r.done(job, n) })
	}
}

// done ends the work of a server on a try. A stalled server ends it later.
func (r *retryRun) done(job *retryJob, n int) {
	s := &r.servers[n]
	now := r.clock.time()
	if now.Before(s.stalled) {
		r.clock.after(s.stalled.Sub(now), func() { r.done(job, n) })
		return
	}
	s.running--
	if !job.over && !job.request.answered {
		job.request.answered = true
		r.second(job.request).good++
	}
	job.over = true
	r.serve(n)
}

func (r *retryRun) row() []string {
	from, to := int(retryWarm/time.Second), int((retryWarm+r.span)/time.Second)
	var sum retrySecond
	for _, s := range r.seconds[from:to] {
		sum.offered += s.offered
		sum.good += s.good
		sum.retries += s.retries
	}
	capacity := retryServers * retrySlots / retryService.Seconds() * r.span.Seconds()
	return []string{
		r.retryCase.name, r.retryScheme.name,
		fmt.Sprintf("%.2f", float64(sum.good)/capacity),
		fmt.Sprintf("%.2f", float64(sum.good)/float64(sum.offered)),
		fmt.Sprintf("%.2f", float64(sum.retries)/float64(sum.offered)),
		r.recovery(to),
	}
}

// recovery returns the time from the end of the disturbance on until three
// seconds in a row went well.
func (r *retryRun) recovery(end int) string {
	good := 0
	last := len(r.seconds) - int(retryPatience/time.Second) - 1
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
