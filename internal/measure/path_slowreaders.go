package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/deployment"
	"github.com/chicorystall/chicorystall/internal/fake"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

const (
	stalledReaders  = 1000
	stalledTokens   = 2000 // length of each stalled answer
	stalledPrompt   = 2200 // token limit per request, for prompt and answer
	stalledWindow   = 12 * time.Second
	stalledReceive  = 4 << 10 // bytes of a stalled reader's receive buffer
	stalledSegment  = 1400    // segment bytes, as on Ethernet; with loopback's size the kernel would buffer whole answers
	movingReaders   = 4
	movingTokens    = 32
	stalledSampling = 200 * time.Millisecond
)

// SlowReadersPath measures the bytes that one entry instance buffers for 1,000
// stalled readers, compared with a proxy with unbounded buffers.
func SlowReadersPath(seed uint64) Table {
	return slowReadersTable(seed, stalledReaders, stalledWindow)
}

func slowReadersTable(seed uint64, readers int, window time.Duration) Table {
	t := Table{
		Name:    "slow-readers-path",
		Seed:    seed,
		Columns: []string{"path", "peak held MB", "peak held for one reader KB", "heap growth MB", "moving readers: whole", "cut", "p95 whole answer"},
		Note: fmt.Sprintf("%d readers take the head of an answer of %d tokens and then nothing, for %s; %d others read answers of %d tokens. "+
			"Held is what the path counts in its own buffers; heap growth is that of the whole process, the model worker's kept answers and the readers included. "+
			"What the kernel's socket buffers hold is not counted.", readers, stalledTokens, window, movingReaders, movingTokens),
	}
	for _, path := range []struct {
		name string
		open func(*deployment.Deployment) (heldPath, error)
	}{{"proxy without bounds", openProxy}, {"chicorystall", openEntry}} {
		row, err := runSlowPath(seed, readers, window, path.open)
		if err != nil {
			return failedTable(t.Name, seed, err)
		}
		t.Rows = append(t.Rows, append([]string{path.name}, row...))
	}
	return t
}

// heldPath is a path between callers and a model worker.
type heldPath struct {
	address   string
	heldBytes func() int64 // bytes currently buffered
}

// openEntry returns the path through the deployment's entry instance.
func openEntry(d *deployment.Deployment) (heldPath, error) {
	settings := d.Entries()[0].Settings
	return heldPath{settings.CallersAddress, func() int64 { return streamBytesHeld(settings.OperatorsAddress) }}, nil
}

func streamBytesHeld(operators string) int64 {
	response, err := http.Get("http://" + operators + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var metrics struct{ StreamBytesHeld int64 }
	_ = json.NewDecoder(response.Body).Decode(&metrics)
	return metrics.StreamBytesHeld
}

// openProxy starts a proxy that reads each answer as fast as it arrives.
func openProxy(d *deployment.Deployment) (heldPath, error) {
	p := &unboundedProxy{worker: d.Workers[d.Fleet.Groups[0].Members[0]].Address(), client: newCaller(stalledReaders)}
	server, err := fake.Listen(context.Background(), "127.0.0.1:0", p)
	if err != nil {
		return heldPath{}, err
	}
	return heldPath{server.Address(), p.heldBytes.Load}, nil
}

// unboundedProxy is the baseline, with an unbounded queue for each answer.
type unboundedProxy struct {
	worker    string
	client    *http.Client
	heldBytes atomic.Int64
}

func (p *unboundedProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.worker+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	request.ContentLength = r.ContentLength
	response, err := p.client.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	p.copy(w, response.Body)
}

func (p *unboundedProxy) copy(w http.ResponseWriter, body io.Reader) {
	var mu sync.Mutex
	var queue [][]byte
	arrived := make(chan struct{}, 1)
	go func() {
		defer close(arrived)
		lines := bufio.NewReader(body)
		for {
			line, err := lines.ReadBytes('\n')
			p.heldBytes.Add(int64(len(line)))
			mu.Lock()
			queue = append(queue, line)
			mu.Unlock()
			if err != nil {
				return
			}
			select {
			case arrived <- struct{}{}:
			default:
			}
		}
	}()
	defer func() {
		for _, line := range queue {
			p.heldBytes.Add(-int64(len(line)))
		}
	}()
	for more := true; more; {
		_, more = <-arrived
		mu.Lock()
		lines := queue
		queue = nil
		mu.Unlock()
		for n, line := range lines {
			if _, err := w.Write(line); err != nil {
				mu.Lock()
				queue = append(lines[n:], queue...)
				mu.Unlock()
				return
			}
			p.heldBytes.Add(-int64(len(line)))
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func runSlowPath(seed uint64, readers int, window time.Duration, open func(*deployment.Deployment) (heldPath, error)) ([]string, error) {
	d, err := startDeployment(deployment.Plan{
		MaxInFlight:        2 * readers,
		ColdInFlight:       2 * readers,
		MaxTokens:          2 * readers * stalledPrompt,
		DesksPerDataCentre: -1,
		Worker:             worker.Config{TokenTime: 2 * time.Millisecond, BatchSlowdown: 1e-9, MaxBatch: 2 * readers, Warm: true},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	path, err := open(d)
	if err != nil {
		return nil, err
	}
	runtime.GC()
	before := memory().HeapAlloc
	connected, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	stalled, err := stallReaders(connected, path.address, seed, readers)
	defer closeAll(stalled)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), window)
	defer cancel()
	var moving movingResult
	var callers sync.WaitGroup
	for n := range movingReaders {
		callers.Go(func() { moving.read(ctx, path.address, n) })
	}
	peak := samplePeak(ctx, path.heldBytes)
	callers.Wait()
	runtime.GC()
	grown := float64(memory().HeapAlloc) - float64(before)
	const megabyte, kilobyte = 1 << 20, 1 << 10
	return []string{
		fmt.Sprintf("%.1f", float64(peak)/megabyte), fmt.Sprintf("%.1f", float64(peak)/float64(readers)/kilobyte),
		fmt.Sprintf("%.0f", grown/megabyte), fmt.Sprint(len(moving.whole)), fmt.Sprint(moving.truncated), milliseconds(moving.at(0.95)),
	}, nil
}

// samplePeak samples the buffered bytes until the context ends and returns the peak.
func samplePeak(ctx context.Context, held func() int64) int64 {
	ticker := time.NewTicker(stalledSampling)
	defer ticker.Stop()
	var peak int64
	for {
		peak = max(peak, held())
		select {
		case <-ctx.Done():
			return peak
		case <-ticker.C:
		}
	}
}

// stallReaders opens answers of which only the response header is read.
func stallReaders(ctx context.Context, address string, seed uint64, readers int) ([]*http.Response, error) {
	dialer := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		var failure error
		err := conn.Control(func(fd uintptr) {
			failure = errors.CombineErrors(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stalledReceive),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, stalledSegment))
		})
		if err != nil {
			return err
		}
		return failure
	}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, ReadBufferSize: stalledReceive, DisableKeepAlives: true}}
	var mu sync.Mutex
	var responses []*http.Response
	var firstErr error
	var opened sync.WaitGroup
	for n := range readers {
		opened.Go(func() {
			response, err := openStream(ctx, client, address, fmt.Sprintf("Long draft %d of seed %d.", n, seed), stalledTokens)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				firstErr = err
				return
			}
			responses = append(responses, response)
		})
	}
	opened.Wait()
	return responses, firstErr
}

func closeAll(responses []*http.Response) {
	for _, response := range responses {
		response.Body.Close()
	}
}

// movingResult holds the results of the readers that keep reading.
type movingResult struct {
	mu        sync.Mutex
	whole     sortedTimes
	truncated int
}

func (m *movingResult) read(ctx context.Context, address string, n int) {
	client := newCaller(1)
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		got, err := streamCompletion(client, address, fmt.Sprintf("Short draft of reader %d.", n), movingTokens)
		m.mu.Lock()
		if err != nil {
			m.truncated++
		} else {
			m.whole = append(m.whole, got.Whole)
		}
		m.mu.Unlock()
	}
}

func (m *movingResult) at(share float64) time.Duration { return m.whole.at(share) }
