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

// cutStep keeps the enumeration of cut points short where bytes are alike.
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

func order(key string) engine.Call {
	return engine.Call{ID: key, Method: http.MethodPost, Path: "/orders", Body: []byte(`{"Plates":40}`), IdempotencyKey: key}
}

// expectTruth compares what the client was told with how often the call ran.
func expectTruth(g *WithT, err error, runs int) {
	switch {
	case err == nil:
		g.Expect(runs).To(Equal(1), "told that it ran")
	case errors.Is(err, engine.ErrNotSent):
		g.Expect(runs).To(Equal(0), "told that it was not sent")
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
				_, err := s.Do(t.Context(), order(key))
				expectTruth(g, err, d.Counts().Runs[key])
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
		name   string
		faults desk.Faults
		runs   int
		status int // 0 when the call fails
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
			reply, err := s.Do(t.Context(), order("k1"))
			g.Expect(d.Counts().Runs["k1"]).To(Equal(test.runs))
			if test.status == 0 {
				g.Expect(err).To(MatchError(engine.ErrMaybeSent))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Status).To(Equal(test.status))
			g.Expect(reply.NotStarted).To(Equal(test.runs == 0))
		})
	}
}

func TestServiceRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	d := startDesk(t, desk.Config{})
	s := engine.NewService(engine.ServiceOptions{Address: d.Address()})
	defer s.Close()
	d.Inject(desk.Faults{CrashAfterRun: 1})
	_, err := s.Do(t.Context(), order("k1"))
	g.Expect(err).To(MatchError(engine.ErrMaybeSent))
	_, err = s.Do(t.Context(), order("k2"))
	expectTruth(g, err, d.Counts().Runs["k2"])
}

func TestStreamCutAtEveryByte(t *testing.T) {
	g := NewWithT(t)
	w := startWorker(t, worker.Config{})
	p := startProxy(t, w.Address())
	seen := map[bool]int{}
	for bytes := 0; ; bytes += cutStep {
		p.CutNew(bytes, proxy.Unlimited)
		c := newClient(t, p.Address())
		id := fmt.Sprint("r", bytes)
		s, err := c.Stream(t.Context(), request(id, true))
		expectTruth(g, err, w.Counts().Started[id])
		if err == nil {
			s.Close()
			break
		}
		seen[errors.Is(err, engine.ErrNotSent)]++
	}
	g.Expect(seen[true]).To(BeNumerically(">", 1), "cut while the boot ID was asked for")
	g.Expect(seen[false]).To(BeNumerically(">", 10))
}

// TestBootChange has another process answer at the address.
func TestBootChange(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("check off %t", off), func(t *testing.T) {
			g := NewWithT(t)
			*engine.DisabledBootCheck = off
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
			if off {
				g.Expect(err).NotTo(HaveOccurred())
				s.Close()
				g.Expect(w.Counts().Started).To(HaveKey("r1"), "reached the wrong process")
				return
			}
			g.Expect(err).To(MatchError(engine.ErrBootChanged))
			g.Expect(err).To(MatchError(engine.ErrNotSent))
			g.Expect(w.Counts().Started).To(BeEmpty())
		})
	}
}

// TestOldConnection has an idle connection to an earlier process at the address,
// which still runs.
func TestOldConnection(t *testing.T) {
	g := NewWithT(t)
	old, young := startWorker(t, worker.Config{}), startWorker(t, worker.Config{})
	p := startProxy(t, old.Address())
	c := newClient(t, p.Address())
	_, err := c.State(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	p.Retarget(young.Address())
	state, err := newClient(t, young.Address()).State(t.Context())
	g.Expect(err).NotTo(HaveOccurred())

	r := request("r1", false)
	r.BootID = state.BootID
	answer, err := c.Complete(t.Context(), r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.BootID).To(Equal(state.BootID))
	g.Expect(old.Counts().Started).To(BeEmpty())
}

// TestConnectionsAreReused streams over one connection.
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
	g.Expect(err).To(MatchError(engine.ErrIdle))
	g.Expect(err).To(MatchError(engine.ErrMaybeSent))
	_, err = c.Complete(t.Context(), request("r3", false))
	g.Expect(err).NotTo(HaveOccurred(), "the other idle connections are not tried")

	p.SilenceNew(true)
	p.CutOpen()
	fresh := engine.New(engine.Options{Address: p.Address(), DialTimeout: 50 * time.Millisecond})
	_, err = fresh.Complete(t.Context(), request("r4", false))
	g.Expect(err).To(MatchError(engine.ErrNotSent))
	g.Expect(w.Counts().Started).NotTo(HaveKey("r4"))
}

// TestIdentity has chunks of another request come under the due number.
func TestIdentity(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("check off %t", off), func(t *testing.T) {
			g := NewWithT(t)
			*engine.DisabledIdentity = off
			defer func() { *engine.DisabledIdentity = false }()
			w := startWorker(t, worker.Config{})
			w.Inject(worker.Faults{CrossChunk: 4})
			s, err := newClient(t, w.Address()).Stream(t.Context(), request("r1", true))
			g.Expect(err).NotTo(HaveOccurred())
			text, err := readText(s)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text == wantText()).To(Equal(!off))
		})
	}
}
