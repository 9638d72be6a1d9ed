package measure

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

const (
	pathSamples    = 400 // sequential requests of the latency measurement
	pathTokens     = 16
	pathRequests   = 4000 // requests of each measurement of processor time
	pathCallers    = 24
	pathLongTokens = 128 // length of the long answers
	pathPrompts    = 50  // number of different prompts
)

// Path measures the overhead that an entry instance adds to a call of a model
// worker in latency, processor time and allocations.
func Path(seed uint64) Table {
	return pathTable(seed, pathSamples, pathRequests)
}

func pathTable(seed uint64, samples, requests int) Table {
	d, err := startDeployment(deployment.Plan{
		MaxInFlight:        2 * pathCallers,
		ColdInFlight:       2 * pathCallers,
		DesksPerDataCentre: -1,
		Worker:             worker.Config{TokenTime: time.Millisecond, BatchSlowdown: 0.001, MaxBatch: 2 * pathCallers},
	})
	if err != nil {
		return failedTable("path", seed, err)
	}
	defer d.Stop()
	p := &pathRun{
		direct: d.Workers[d.Fleet.Groups[0].Members[0]].Address(),
		entry:  d.Entries()[0].Settings.CallersAddress,
		seed:   seed,
	}
	if err := p.measure(samples, requests); err != nil {
		return failedTable("path", seed, err)
	}
	return p.table(requests)
}

type pathRun struct {
	direct, entry string
	seed          uint64

	directTimes, entryTimes pathTimes
	directShort, entryShort usage
	directLong, entryLong   usage
}

// pathTimes holds the sorted times of all samples.
type pathTimes struct {
	first, whole []time.Duration
}

// usage is the resource use of the process per request.
type usage struct {
	processor   time.Duration
	allocations float64
	bytes       float64
}

func (p *pathRun) measure(samples, requests int) error {
	if _, err := p.load(p.entry, pathTokens, pathCallers*10); err != nil {
		return err
	}
	if err := p.latency(samples); err != nil {
		return err
	}
	for _, part := range []struct {
		into    *usage
		address string
		tokens  int
	}{
		{&p.directShort, p.direct, pathTokens},
		{&p.entryShort, p.entry, pathTokens},
		{&p.directLong, p.direct, pathLongTokens},
		{&p.entryLong, p.entry, pathLongTokens},
	} {
		used, err := p.load(part.address, part.tokens, requests*pathTokens/part.tokens)
		if err != nil {
			return err
		}
		*part.into = used
	}
	return nil
}

func (p *pathRun) prompt(n int) string {
	return fmt.Sprintf("Draft %d of seed %d: a motto in Latin for the guild's new shield.", n%pathPrompts, p.seed)
}

// latency alternates requests sent directly and through the entry instance, so that
// both run under the same machine load.
func (p *pathRun) latency(samples int) error {
	client := newCaller(1)
	defer client.CloseIdleConnections()
	for n := range samples {
		for _, way := range []struct {
			address string
			into    *pathTimes
		}{{p.direct, &p.directTimes}, {p.entry, &p.entryTimes}} {
			got, err := streamCompletion(client, way.address, p.prompt(n), pathTokens)
			if err != nil {
				return err
			}
			way.into.first = append(way.into.first, got.First)
			way.into.whole = append(way.into.whole, got.Whole)
		}
	}
	for _, times := range []pathTimes{p.directTimes, p.entryTimes} {
		slices.Sort(times.first)
		slices.Sort(times.whole)
	}
	return nil
}

// load sends requests from several callers and returns the resource use per request
// of the process, in which callers, entry instance and model worker all run.
func (p *pathRun) load(address string, tokens, requests int) (usage, error) {
	client := newCaller(pathCallers)
	defer client.CloseIdleConnections()
	runtime.GC()
	before, processor := memory(), processorTime()
	var next atomic.Int64
	var firstErr atomic.Pointer[error]
	var callers sync.WaitGroup
	for range pathCallers {
		callers.Go(func() {
			for n := int(next.Add(1)); n <= requests; n = int(next.Add(1)) {
				if _, err := streamCompletion(client, address, p.prompt(n), tokens); err != nil {
					firstErr.CompareAndSwap(nil, &err)
					return
				}
			}
		})
	}
	callers.Wait()
	if err := firstErr.Load(); err != nil {
		return usage{}, *err
	}
	after := memory()
	return usage{
		processor:   (processorTime() - processor) / time.Duration(requests),
		allocations: float64(after.Mallocs-before.Mallocs) / float64(requests),
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(requests),
	}, nil
}

func memory() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// processorTime returns the user and system time of this process on all cores.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func (u usage) minus(other usage) usage {
	return usage{u.processor - other.processor, u.allocations - other.allocations, u.bytes - other.bytes}
}

// perChunk calculates the cost of one chunk from answers of two lengths.
func perChunk(short, long usage) usage {
	chunks := float64(pathLongTokens - pathTokens)
	more := long.minus(short)
	return usage{time.Duration(float64(more.processor) / chunks), more.allocations / chunks, more.bytes / chunks}
}

func (p *pathRun) table(requests int) Table {
	addedShort := p.entryShort.minus(p.directShort)
	addedLong := p.entryLong.minus(p.directLong)
	t := Table{
		Name:    "path",
		Seed:    p.seed,
		Columns: []string{"what", "direct", "through an entry instance", "added", "ratio"},
		Note: fmt.Sprintf("%d requests of %d tokens one after the other, in turn directly and through the entry instance, for the times; "+
			"%d callers for the rest, %d requests of %d tokens and as many tokens in answers of %d. Callers, entry instance and model worker share one process; "+
			"what the direct calls used is taken off, so that 'added' is the entry instance's part, its connection to the model worker included.",
			len(p.directTimes.first), pathTokens, pathCallers, requests, pathTokens, pathLongTokens),
	}
	for _, row := range []struct {
		what          string
		direct, entry []time.Duration
		share         float64
	}{
		{"first token p50", p.directTimes.first, p.entryTimes.first, 0.5},
		{"first token p99", p.directTimes.first, p.entryTimes.first, 0.99},
		{"whole answer p50", p.directTimes.whole, p.entryTimes.whole, 0.5},
		{"whole answer p99", p.directTimes.whole, p.entryTimes.whole, 0.99},
	} {
		t.addTimes(row.what, at(row.direct, row.share), at(row.entry, row.share))
	}
	t.addTimes(fmt.Sprintf("processor time of a request of %d tokens", pathTokens), p.directShort.processor, p.entryShort.processor)
	t.addTimes(fmt.Sprintf("processor time of a request of %d tokens", pathLongTokens), p.directLong.processor, p.entryLong.processor)
	direct, entry := perChunk(p.directShort, p.directLong), perChunk(p.entryShort, p.entryLong)
	t.addTimes("processor time of a chunk", direct.processor, entry.processor)
	t.addNumbers("allocations of a chunk", direct.allocations, entry.allocations)
	t.addNumbers("bytes allocated for a chunk", direct.bytes, entry.bytes)
	t.Rows = append(t.Rows,
		[]string{fmt.Sprintf("requests a second of one core, %d tokens", pathTokens), "-", perSecond(addedShort.processor), "-", "-"},
		[]string{fmt.Sprintf("requests a second of one core, %d tokens", pathLongTokens), "-", perSecond(addedLong.processor), "-", "-"},
		[]string{"tokens a second of one core", "-", perSecond(entry.processor - direct.processor), "-", "-"},
	)
	return t
}

func (t *Table) addTimes(what string, direct, entry time.Duration) {
	t.Rows = append(t.Rows, []string{what, milliseconds(direct), milliseconds(entry), milliseconds(entry - direct), ratio(float64(entry), float64(direct))})
}

func (t *Table) addNumbers(what string, direct, entry float64) {
	t.Rows = append(t.Rows, []string{what, fmt.Sprintf("%.1f", direct), fmt.Sprintf("%.1f", entry), fmt.Sprintf("%.1f", entry-direct), ratio(entry, direct)})
}

func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}

func perSecond(each time.Duration) string {
	if each <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(time.Second)/float64(each))
}

// at returns the quantile of sorted values at the given share.
func at(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
