package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Constants of the simulated load, which consists of conversations that share
// their account's system prompt and grow by a turn with each request.
const (
	systemBlocks  = 10
	turnBlocks    = 4
	maxTurns      = 10
	conversations = 30 // concurrent conversations per account
	meanOutput    = 90
	startDeadline = 10 * time.Second
)

// accountShares are the accounts' shares of the load, with a few large accounts
// and many small ones.
var accountShares = []float64{0.3, 0.25, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02}

type conversation struct {
	blocks []uint64
	turns  int
}

// modelLoad generates random requests.
type modelLoad struct {
	rng      *rand.Rand
	shares   []float64
	accounts [][]*conversation
	next     uint64
}

func newModelLoad(seed uint64) *modelLoad {
	l := &modelLoad{rng: newRand(seed + 1), shares: accountShares}
	for range accountShares {
		l.accounts = append(l.accounts, make([]*conversation, conversations))
	}
	return l
}

func accountName(i int) string { return fmt.Sprint("account", i) }

// modelJob is one request of a caller and its outcome.
type modelJob struct {
	account   int
	blocks    []uint64
	prompt    int
	output    int
	estimate  int
	arrival   time.Duration
	first     time.Duration // 0 until the first token
	outcome   outcome
	attempts  int
	avoid     string
	entry     *modelEntry // entry instance in whose queue it waits or that sent it
	forwarded bool        // forwarded from another data centre
}

type outcome int

const (
	outcomeOpen outcome = iota
	outcomeWhole
	outcomeRefused
	outcomeLost // the caller got a partial answer or none, and no refusal
)

func (l *modelLoad) draw(now time.Duration) *modelJob {
	account := len(l.shares) - 1
	at := l.rng.Float64()
	for i, share := range l.shares {
		if at < share {
			account = i
			break
		}
		at -= share
	}
	return l.drawFor(account, now)
}

func (l *modelLoad) drawFor(account int, now time.Duration) *modelJob {
	slot := l.rng.IntN(conversations)
	c := l.accounts[account][slot]
	if c == nil || c.turns >= maxTurns {
		c = &conversation{}
		for i := range systemBlocks {
			c.blocks = append(c.blocks, uint64(account*1000+i+1))
		}
		c.turns = l.rng.IntN(3)
		l.grow(c, c.turns)
		l.accounts[account][slot] = c
	}
	l.grow(c, 1)
	c.turns++
	output := 20 + int(l.rng.ExpFloat64()*(meanOutput-20))
	return &modelJob{
		account:  account,
		blocks:   c.blocks[:len(c.blocks):len(c.blocks)],
		prompt:   len(c.blocks)*blockTokens + 1 + l.rng.IntN(blockTokens-1),
		output:   output,
		estimate: output * (70 + l.rng.IntN(60)) / 100,
		arrival:  now,
	}
}

func (l *modelLoad) grow(c *conversation, turns int) {
	for range turns * turnBlocks {
		l.next++
		c.blocks = append(c.blocks, 1<<32+l.next)
	}
}

// generateLoad generates requests at the rate, in requests per second, until the end.
func (f *modelFleet) generateLoad(rate float64, end time.Duration) {
	var next func()
	next = func() {
		if f.clock.now >= end {
			return
		}
		f.arrive(f.load.draw(f.clock.now))
		f.clock.after(exponential(f.load.rng, time.Duration(float64(time.Second)/rate)), next)
	}
	next()
}

// arrive passes a request to a random entry instance, as the balancer does. The
// balancer removes a lost data centre only after lossDetectionDelay.
func (f *modelFleet) arrive(j *modelJob) {
	f.jobs = append(f.jobs, j)
	var open []*modelEntry
	for _, dc := range f.dcs {
		if dc.seemsReachable(f.clock.now) {
			open = append(open, dc.entries...)
		}
	}
	e := open[f.load.rng.IntN(len(open))]
	if e.dead {
		j.outcome = outcomeRefused
		return
	}
	j.entry = e
	e.enqueue(j)
}

// service summarizes the outcomes of the jobs that arrived between two times.
type service struct {
	offered, whole, refused, lost int
	first                         samples
}

func (f *modelFleet) service(from, to time.Duration, keep func(*modelJob) bool) service {
	var s service
	for _, j := range f.jobs {
		if j.arrival < from || j.arrival >= to || keep != nil && !keep(j) {
			continue
		}
		s.offered++
		switch j.outcome {
		case outcomeWhole:
			s.whole++
		case outcomeRefused:
			s.refused++
		default:
			s.lost++
		}
		if j.first > 0 {
			s.first.add(j.first - j.arrival)
		}
	}
	return s
}
