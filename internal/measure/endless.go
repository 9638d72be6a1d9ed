package measure

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystall/chicorystall/internal/boottime"
	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/fake/endless"
	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const (
	endlessDeadline = 2 * time.Second // deadline of each request
	// endlessMaxBytes is the number of bytes after which a backend server stops
	// sending, so that an unbounded proxy doesn't exhaust the machine's memory.
	endlessMaxBytes = 128 << 20
	endlessHost     = "app.example"
	headerID        = "X-Request-Id"
	headerSigned    = "X-Signed"
	mebibyte        = 1 << 20
)

// EndlessAnswers measures the memory and time that an answer takes of which one
// part never ends, for each part, through an entry instance and through a plain
// reverse proxy.
func EndlessAnswers(seed uint64) Table {
	return endlessTable(seed, endless.Parts(), endlessDeadline, endlessMaxBytes)
}

func endlessTable(seed uint64, parts []endless.Part, deadline time.Duration, limit int64) Table {
	t := Table{
		Name: "answers without end", Seed: seed,
		Columns: []string{"without end", "proxy", "peak heap MiB", "given up after ms", "written MiB", "status"},
		Note: fmt.Sprintf("One request with a deadline of %v; the backend server falls silent after %d MiB. What was written includes the sockets' buffers.",
			deadline, limit/mebibyte),
	}
	for i, part := range parts {
		server := newEndlessServer(part, limit)
		if i == 0 {
			// Warm up, so that one-time allocations are not counted.
			endlessRow(server, "", endlessGateway(deadline, server.place("s", 1)), deadline)
		}
		t.Rows = append(t.Rows,
			endlessRow(server, "entry instance", endlessGateway(deadline, server.place("s", 1)), deadline),
			endlessRow(server, "ReverseProxy (baseline)", endlessProxy(server.address()), deadline))
		server.Close()
	}
	return t
}

// endlessServer is a backend server whose answers have a part that never ends.
type endlessServer struct {
	*httptest.Server
	part     endless.Part
	written  atomic.Int64
	requests atomic.Int64
	answers  sync.WaitGroup // answers that are being written
}

func newEndlessServer(part endless.Part, limit int64) *endlessServer {
	s := &endlessServer{part: part}
	s.Server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err) // HTTP/1.1 connections can always be hijacked
		}
		s.requests.Add(1)
		s.answers.Add(1)
		defer s.answers.Done()
		defer conn.Close()
		n, err := part.Write(conn, headerID+": "+r.Header.Get(headerID)+"\r\n"+headerSigned+": 1\r\n", limit)
		s.written.Add(n)
		if err == nil {
			// Send nothing more and wait until the peer closes the connection.
			_, _ = io.Copy(io.Discard, conn)
		}
	}))
	return s
}

func (s *endlessServer) address() string { return s.Listener.Addr().String() }

func (s *endlessServer) place(service string, slots int) dispatch.Place {
	return dispatch.Place{ID: s.address(), Service: service, DataCentre: "a", Address: s.address(), Slots: slots}
}

// endlessGateway returns an entry instance's gateway with routes to the service of
// each place. The host selects the service, the first path segment the kind of
// route; event streams use /stream/.
func endlessGateway(deadline time.Duration, places ...dispatch.Place) http.Handler {
	content := catalog.Content{Version: 1}
	known := map[string]bool{}
	for _, p := range places {
		if known[p.Service] {
			continue
		}
		known[p.Service] = true
		content.Services = append(content.Services, catalog.Service{Name: p.Service})
		for prefix, kind := range map[string]catalog.Kind{"/stream/": catalog.Stream, "/unsafe/": catalog.Unsafe, "/safe/": catalog.Safe} {
			content.Routes = append(content.Routes, catalog.Route{
				Name: p.Service + prefix, Host: p.Service + "." + endlessHost, Prefix: prefix, Kind: kind, Objective: time.Second,
				MaxAttempts: 2, Targets: []catalog.Target{{Service: p.Service, Weight: 1}},
			})
		}
	}
	c := catalog.New(content)
	g := &gateway.Gateway{
		DataCentre: "a", Pool: &exchange.Pool{}, Places: gateway.NewPlaces(), Progress: &gateway.Progress{}, Metrics: telemetry.NewMetrics(),
		View: func() gateway.View { return gateway.View{Catalog: c, ConfirmedAt: boottime.Now()} },
		Dialect: gateway.Dialect{
			ParseCall: func(r *http.Request) (gateway.Call, error) {
				return gateway.Call{ID: r.Header.Get(headerID), Deadline: deadline}, nil
			},
			Prepare: func(http.Header, gateway.Attempt) {},
			ParseAnswer: func(_ int, h http.Header) gateway.AnswerMeta {
				return gateway.AnswerMeta{RequestID: h.Get(headerID), Signed: h.Get(headerSigned) != ""}
			},
			Refusal: func(http.Header, string) {},
		},
	}
	g.Places.Set(places, gateway.Peers{Count: 1})
	return g
}

func endlessProxy(address string) http.Handler {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.FlushInterval = -1
	proxy.Transport = &http.Transport{DisableKeepAlives: true}
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { proxy.ServeHTTP(w, r) })
}

func endlessRow(server *endlessServer, name string, front http.Handler, deadline time.Duration) []string {
	server.written.Store(0)
	path := "/unsafe/a"
	switch server.part {
	case endless.EventLine, endless.EventLines, endless.EmptyEvents, endless.RepeatedEvent:
		path = "/stream/a"
	}
	proxy := httptest.NewServer(front)
	heap := watchHeap()
	began := time.Now()
	status := endlessSend(proxy.Listener.Addr(), "s", path, deadline)
	took := time.Since(began)
	peak := heap()
	proxy.Close()
	server.answers.Wait()
	return []string{
		server.part.String(), name, fmt.Sprintf("%.1f", float64(peak)/mebibyte), fmt.Sprint(took.Milliseconds()),
		fmt.Sprintf("%.1f", float64(server.written.Load())/mebibyte), status,
	}
}

// endlessSend sends a request, reads the whole answer and returns its status.
func endlessSend(to net.Addr, service, path string, deadline time.Duration) string {
	// The caller waits longer than the deadline, so that the proxy ends the request.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second/2)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path, nil)
	if err != nil {
		panic(err) // the address of a listener is always valid
	}
	r.Host = service + "." + endlessHost
	r.Header.Set(headerID, "r1")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "none"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("%d, cut", resp.StatusCode)
	}
	return fmt.Sprint(resp.StatusCode)
}

// watchHeap samples the heap until the returned function is called, which returns
// the peak growth in bytes.
func watchHeap() func() uint64 {
	const every = time.Millisecond
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	base, peak := heap(), uint64(0)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			if now := heap(); now > base {
				peak = max(peak, now-base)
			}
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak
	}
}
