package measure

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chicorystall/chicorystall/pkg/claim"
	"github.com/google/uuid"
)

const (
	claimInstances   = 9
	claimMaxSpan     = 20 * time.Second
	claimMaxRequests = 4000 // per run
	claimDrain       = 5 * time.Second
	claimServiceTime = 20 * time.Millisecond // processing time at the backend server
	claimLogLatency  = 5 * time.Millisecond
	claimLogInterval = 2500 * time.Microsecond // the log's maximum of 400 appends per second
)

// claimScheme is a way to claim keys.
type claimScheme struct {
	name                string
	shards              int
	ownedShards         bool    // all requests of a shard go to the same entry instance
	maxAppendsPerSecond float64 // per instance; negative for no limit
	unbatched           bool    // each record is appended separately and immediately
}

// claimPoint holds the parameters of one row of the table.
type claimPoint struct {
	rate     int // keyed requests per second
	requests int
	scheme   claimScheme
}

var claimSchemes = []claimScheme{
	{"no batching", 16, false, -1, true},
	{"any instance, 16 shards", 16, false, -1, false},
	{"any instance, 2 shards, limit", 2, false, claim.DefaultMaxAppendsPerSecond, false},
	{"any instance, 1 shard, limit", 1, false, claim.DefaultMaxAppendsPerSecond, false},
	{"one instance a shard, 4 shards", 4, true, -1, false},
	{"one instance a shard, 2 shards", 2, true, -1, false},
	{"one instance a shard, 1 shard", 1, true, -1, false},
}

// ClaimBatching measures the appends per second and the time to obtain a claim
// at several rates of keyed requests. It runs in real time unless it is called in
// a synctest bubble.
func ClaimBatching(seed uint64) Table {
	var points []claimPoint
	for _, rate := range []int{1, 100, 1000} {
		for _, scheme := range claimSchemes {
			points = append(points, claimPoint{rate, claimRequestCount(rate), scheme})
		}
	}
	return claimBatchingTable(seed, points)
}

func claimBatchingTable(seed uint64, points []claimPoint) Table {
	t := Table{
		Name: "claim batching", Seed: seed,
		Columns: []string{"requests/s", "scheme", "appends/s", "p50", "p99", "refused"},
		Note: fmt.Sprintf("%d entry instances; an append takes %v, the log takes one every %v; each request is a claim and a completion",
			claimInstances, claimLogLatency, claimLogInterval),
	}
	t.Rows = make([][]string, len(points))
	var runs sync.WaitGroup
	for i, point := range points {
		runs.Go(func() { t.Rows[i] = runClaims(seed, point) })
	}
	runs.Wait()
	return t
}

// claimBatchRun is the state of one run of a claim scheme.
type claimBatchRun struct {
	claimScheme
	log       *claimLog
	claimants []*claim.Claimant
	rand      *rand.Rand

	mu      sync.Mutex
	waits   []time.Duration
	refused int
}

func runClaims(seed uint64, point claimPoint) []string {
	scheme := point.scheme
	ctx, cancel := context.WithCancel(context.Background())
	r := &claimBatchRun{
		claimScheme: scheme,
		log:         newClaimLog(),
		rand:        rand.New(rand.NewPCG(seed, 4)),
	}
	var running sync.WaitGroup
	for n := range claimInstances {
		c := &claim.Claimant{ID: claim.ClaimantID(fmt.Sprint(n)), Log: r.log.Log(), Shards: scheme.shards, MaxAppendsPerSecond: scheme.maxAppendsPerSecond}
		if scheme.unbatched {
			c.MaxDelay, c.MaxBatchBytes = -1, 1
		}
		r.claimants = append(r.claimants, c)
		running.Go(func() { _ = c.Run(ctx) })
	}
	r.offer(ctx, point)
	time.Sleep(claimDrain)
	appends := r.log.appends()
	cancel()
	running.Wait()
	slices.Sort(r.waits)
	span := float64(point.requests) / float64(point.rate)
	return []string{
		fmt.Sprint(point.rate), scheme.name,
		fmt.Sprintf("%.1f", float64(appends)/span),
		claimQuantile(r.waits, 0.5), claimQuantile(r.waits, 0.99),
		fmt.Sprintf("%.3f", float64(r.refused)/float64(r.refused+len(r.waits))),
	}
}

// offer starts requests with exponentially distributed gaps and waits until all
// have ended.
func (r *claimBatchRun) offer(ctx context.Context, point claimPoint) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := range point.requests {
		key := r.key(n)
		c := r.claimants[r.rand.IntN(claimInstances)]
		if r.ownedShards {
			c = r.claimants[key.Shard(r.shards)%claimInstances]
		}
		requests.Go(func() { r.request(ctx, c, key) })
		time.Sleep(time.Duration(r.rand.ExpFloat64() / float64(point.rate) * float64(time.Second)))
	}
}

func claimRequestCount(rate int) int {
	return min(rate*int(claimMaxSpan/time.Second), claimMaxRequests)
}

func (r *claimBatchRun) key(n int) claim.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16|7<<12)
	binary.BigEndian.PutUint64(id[8:], uint64(n)|1<<63)
	return claim.Key{ClientAccount: "account", Service: "orders", ID: id}
}

func (r *claimBatchRun) request(ctx context.Context, c *claim.Claimant, key claim.Key) {
	began := time.Now()
	d, err := c.Begin(ctx, key, claim.Digest{})
	r.mu.Lock()
	if err != nil || d.Kind != claim.Run {
		r.refused++
	} else {
		r.waits = append(r.waits, time.Since(began))
	}
	r.mu.Unlock()
	if d.Grant == nil || d.Grant.Use() != nil {
		return
	}
	time.Sleep(claimServiceTime)
	_ = d.Grant.Complete(ctx, claim.NewAnswer(201, nil, nil, []byte("accepted"), 1024))
}

func claimQuantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	d := sorted[int(q*float64(len(sorted)-1))]
	return d.Round(100 * time.Microsecond).String()
}
