package engine_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine"
	"github.com/chicorystall/chicorystall/internal/fake/desk"
	"github.com/chicorystall/chicorystall/internal/fake/proxy"
	"github.com/chicorystall/chicorystall/internal/fake/worker"
)

// cutStep is the number of bytes between two cut points, so that the tests stay short.
const cutStep = 7

func startProxy(t *testing.T, target string) *proxy.Proxy {
	t.Helper()
	p, err := proxy.Start(t.Context(), "127.0.0.1:0", target)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return p
}

func startDesk(t *testing.T, config desk.Config) *desk.Desk {
	t.Helper()
	config.RestartDelay = 10 * time.Millisecond
	d := desk.New(config)
	NewWithT(t).Expect(d.Start(t.Context(), "127.0.0.1:0")).To(Succeed())
	return d
}

func orderCall(key string) engine.Call {
	return engine.Call{ID: key, Method: http.MethodPost, Path: "/orders", Body: []byte(`{"Plates":40}`), IdempotencyKey: key}
}

// expectRuns checks the outcome that the client reported against how often the call ran.
func expectRuns(g *WithT, err error, runs int) {
	switch {
	case err == nil:
		g.Expect(runs).To(Equal(1), "client reported that the call ran")
	case errors.Is(err, engine.ErrNotSent):
		g.Expect(runs).To(Equal(0), "client reported that the call was not sent")
	default:
		g.Expect(err).To(MatchError(engine.ErrMaybeSent))
		g.Expect(runs).To(BeNumerically("<=", 1))
	}
}

func TestServiceCutAtEveryByte(t *testing.T) {
	cuts := []struct {
		name string
		cut  func(p *proxy.Proxy, bytes int)
	}{
		{"to the worker", func(p *proxy.Proxy, bytes int) { p.CutNew(bytes, proxy.Unlimited) }},
		{"to the caller", func(p *proxy.Proxy, bytes int) { p.CutNew(proxy.Unlimited, bytes) }},
	}
	for _, test := range cuts {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			d := startDesk(t, desk.Config{})
			p := startProxy(t, d.Address())
			s := engine.NewService(engine.ServiceOptions{Address: p.Address()})
			defer s.Close()
			failed := 0
			for bytes := 0; ; bytes += cutStep {
				test.cut(p, bytes)
				key := fmt.Sprint("key-", bytes)
				_, err := s.Do(t.Context(), orderCall(key))
				expectRuns(g, err, d.Counts().Runs[key])
				if err == nil {
					break
				}
				failed++
			}
			g.Expect(failed).To(BeNumerically(">", 10))
		})
	}
}

func TestServiceFaults(t *testing.T) {
	tests := []struct {
		name       string
		faults     desk.Faults
		wantRuns   int
		wantStatus int // 0 when the call fails
	}{
		{"no fault", desk.Faults{}, 1, http.StatusCreated},
		{"busy", desk.Faults{Busy: true}, 0, http.StatusServiceUnavailable},
		{"crash before the run", desk.Faults{CrashBeforeRun: 1}, 0, 0},
		{"crash after the run", desk.Faults{CrashAfterRun: 1}, 1, 0},
		{"lost answer", desk.Faults{LoseAnswers: 1}, 1, 0},
		{"frozen", desk.Faults{Freeze: true}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			d := startDesk(t, desk.Config{})
			s := engine.NewService(engine.ServiceOptions{Address: d.Address(), IdleTimeout: time.Second})
			defer s.Close()
			d.Inject(test.faults)
			reply, err := s.Do(t.Context(), orderCall("k1"))
			g.Expect(d.Counts().Runs["k1"]).To(Equal(test.wantRuns))
			if test.wantStatus == 0 {
				g.Expect(err).To(MatchError(engine.ErrMaybeSent))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Status).To(Equal(test.wantStatus))
			g.Expect(reply.NotStarted).To(Equal(test.wantRuns == 0))
		})
	}
}

func TestServiceRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	d := startDesk(t, desk.Config{})
	s := engine.NewService(engine.ServiceOptions{Address: d.Address()})
	defer s.Close()
	d.Inject(desk.Faults{CrashAfterRun: 1})
	_, err := s.Do(t.Context(), orderCall("k1"))
	g.Expect(err).To(MatchError(engine.ErrMaybeSent))
	_, err = s.Do(t.Context(), orderCall("k2"))
	expectRuns(g, err, d.Counts().Runs["k2"])
}

func TestStreamCutAtEveryByte(t *testing.T) {
	g := NewWithT(t)
	w := startWorker(t, worker.Config{})
	p := startProxy(t, w.Address())
	failures := map[bool]int{}
	for bytes := 0; ; bytes += cutStep {
		p.CutNew(bytes, proxy.Unlimited)
		c := newClient(t, p.Address())
		id := fmt.Sprint("r", bytes)
		s, err := c.Stream(t.Context(), request(id, true))
		expectRuns(g, err, w.Counts().Started[id])
		if err == nil {
			s.Close()
			break
		}
		failures[errors.Is(err, engine.ErrNotSent)]++
	}
	g.Expect(failures[true]).To(BeNumerically(">", 1), "cut during the request for the boot ID")
	g.Expect(failures[false]).To(BeNumerically(">", 10))
}

// TestBootChange checks that a request for one process is not sent after another process
// has taken over its address.
func TestBootChange(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("check disabled %t", disabled), func(t *testing.T) {
			g := NewWithT(t)
			*engine.DisabledBootCheck = disabled
			defer func() { *engine.DisabledBootCheck = false }()
			w := startWorker(t, worker.Config{})
			c := newClient(t, w.Address())
			before, err := c.State(t.Context())
			g.Expect(err).NotTo(HaveOccurred())

			w.Inject(worker.Faults{Crash: true})
			g.Eventually(c.State).WithArguments(t.Context()).WithTimeout(5 * time.Second).
				Should(HaveField("BootID", Not(Equal(before.BootID))))
			r := request("r1", true)
			r.BootID = before.BootID
			s, err := c.Stream(t.Context(), r)
			if disabled {
				g.Expect(err).NotTo(HaveOccurred())
				s.Close()
				g.Expect(w.Counts().Started).To(HaveKey("r1"), "request reached the wrong process")
				return
			}
			g.Expect(err).To(MatchError(engine.ErrBootChanged))
			g.Expect(err).To(MatchError(engine.ErrNotSent))
			g.Expect(w.Counts().Started).To(BeEmpty())
		})
	}
}

// TestIdleConnectionToPreviousProcess checks that a request for the process that now
// has the address does not use an idle connection to the previous process, which still
// runs.
func TestIdleConnectionToPreviousProcess(t *testing.T) {
	g := NewWithT(t)
	previous, current := startWorker(t, worker.Config{}), startWorker(t, worker.Config{})
	p := startProxy(t, previous.Address())
	c := newClient(t, p.Address())
	_, err := c.State(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	p.Retarget(current.Address())
	state, err := newClient(t, current.Address()).State(t.Context())
	g.Expect(err).NotTo(HaveOccurred())

	r := request("r1", false)
	r.BootID = state.BootID
	answer, err := c.Complete(t.Context(), r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.BootID).To(Equal(state.BootID))
	g.Expect(previous.Counts().Started).To(BeEmpty())
}

// TestConnectionsAreReused checks that consecutive streams use one connection.
func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	p := startProxy(t, startWorker(t, worker.Config{}).Address())
	c := newClient(t, p.Address())
	for i := range 5 {
		s, err := c.Stream(t.Context(), request(fmt.Sprint("r", i), true))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = readText(s)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(p.Accepted()).To(Equal(1))
}

func TestSilentConnection(t *testing.T) {
	g := NewWithT(t)
	w := startWorker(t, worker.Config{})
	p := startProxy(t, w.Address())
	c := newClient(t, p.Address())
	var wait sync.WaitGroup
	for i := range 5 {
		wait.Go(func() { c.Complete(t.Context(), request(fmt.Sprint("first", i), false)) })
	}
	wait.Wait()

	p.SilenceOpen()
	_, err := c.Complete(t.Context(), request("r2", false))
	g.Expect(err).To(MatchError(engine.ErrIdleTimeout))
	g.Expect(err).To(MatchError(engine.ErrMaybeSent))
	_, err = c.Complete(t.Context(), request("r3", false))
	g.Expect(err).NotTo(HaveOccurred(), "request used another idle connection")

	p.SilenceNew(true)
	p.CutOpen()
	newConnections := engine.New(engine.Options{Address: p.Address(), DialTimeout: 50 * time.Millisecond})
	_, err = newConnections.Complete(t.Context(), request("r4", false))
	g.Expect(err).To(MatchError(engine.ErrNotSent))
	g.Expect(w.Counts().Started).NotTo(HaveKey("r4"))
}

// TestRequestIDCheck checks that a chunk of another request is dropped even if it has the
// expected chunk number.
func TestRequestIDCheck(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("check disabled %t", disabled), func(t *testing.T) {
			g := NewWithT(t)
			*engine.DisabledIDCheck = disabled
			defer func() { *engine.DisabledIDCheck = false }()
			w := startWorker(t, worker.Config{})
			w.Inject(worker.Faults{CrossChunk: 4})
			s, err := newClient(t, w.Address()).Stream(t.Context(), request("r1", true))
			g.Expect(err).NotTo(HaveOccurred())
			text, err := readText(s)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text == wantText()).To(Equal(!disabled))
		})
	}
}
