package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chicorystall/chicorystall/internal/boottime"
	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/fake/endless"
	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

const (
	// stopAfter ends an answer that its reader doesn't end.
	stopAfter = 48 << 20
	// wait is what callers are ready to wait: nothing here may take so long.
	wait = time.Hour
)

// faulty is a backend server whose answers have a part without end.
type faulty struct {
	part   endless.Part
	runs   atomic.Int64
	whole  atomic.Int64 // answers that were read until they stopped by themselves
	server *httptest.Server
}

func newFaulty(t *testing.T, part endless.Part) *faulty {
	f := &faulty{part: part}
	f.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		header := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Signed: f\r\n"
		if err := f.part.Answer(rw, header, stopAfter); err == nil {
			f.whole.Add(1)
		}
	}))
	t.Cleanup(f.server.Close)
	return f
}

// sound is a backend server that answers with two events.
func sound(t *testing.T) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		rw.Header().Set("X-Signed", "s")
		if r.Header.Get("Last-Event-Id") != "1" {
			io.WriteString(rw, "id: 1\ndata: event 1\n\n")
		}
		io.WriteString(rw, "id: 2\ndata: event 2\n\n")
	}))
	t.Cleanup(s.Close)
	return s
}

var testDialect = gateway.Dialect{
	ParseCall: func(r *http.Request) (gateway.Call, error) {
		return gateway.Call{ID: r.Header.Get("X-Request-Id"), Deadline: wait}, nil
	},
	Prepare: func(h http.Header, a gateway.Attempt) {
		if a.Resumed {
			h["Last-Event-Id"] = []string{"1"}
		}
	},
	ParseAnswer: func(_ int, h http.Header) gateway.AnswerMeta {
		return gateway.AnswerMeta{RequestID: h.Get("X-Request-Id"), Signed: h.Get("X-Signed") != ""}
	},
	Refusal: func(http.Header, string) {},
}

// front is a gateway before a faulty server, and before a sound one that it
// takes second.
type front struct {
	*httptest.Server
	metrics *telemetry.Metrics
	log     *bytes.Buffer
	stop    func() // ends the log
}

func newFront(t *testing.T, kind catalog.Kind, bad *faulty) *front {
	route := catalog.Route{
		Name: "r", Host: "app.example", Prefix: "/", Kind: kind, Resumable: true, Objective: wait, MaxAttempts: 2,
		Targets: []catalog.Target{{Service: "s", Weight: 1}},
	}
	c := catalog.New(catalog.Content{Version: 1, Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: "s"}}})
	f := &front{metrics: telemetry.NewMetrics(), log: &bytes.Buffer{}}
	log := telemetry.New(f.log, logrus.InfoLevel, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- log.Run(ctx) }()
	f.stop = func() {
		cancel()
		<-done
	}
	g := &gateway.Gateway{
		DataCentre: "near", Dialect: testDialect, Pool: &exchange.Pool{}, Places: gateway.NewPlaces(), Progress: &gateway.Progress{},
		View:    func() gateway.View { return gateway.View{Catalog: c, ConfirmedAt: boottime.Now()} },
		Log:     log,
		Metrics: f.metrics,
		Retries: gateway.Retries{New: func() *retry.Budget { return &retry.Budget{Burst: 10, InitialRetries: 10} }},
	}
	places := []dispatch.Place{{ID: "faulty", Service: "s", DataCentre: "near", Address: bad.server.Listener.Addr().String(), Slots: 4}}
	if s := sound(t); kind != catalog.Unsafe {
		places = append(places, dispatch.Place{ID: "sound", Service: "s", DataCentre: "far", Address: s.Listener.Addr().String(), Slots: 4})
	}
	g.Places.Set(places, 1)
	f.Server = httptest.NewServer(g)
	t.Cleanup(f.Close)
	t.Cleanup(cancel)
	return f
}

// send sends a request and returns its answer's status and body.
func (f *front) send(g *WithT) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodGet, f.URL+"/a", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "app.example"
	r.Header.Set("X-Request-Id", "r1")
	resp, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp, string(body)
}

// failures returns the counter of attempts that failed for a reason.
func (f *front) failures(reason string) bool {
	rec := httptest.NewRecorder()
	f.metrics.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return strings.Contains(rec.Body.String(), `chicorystall_attempt_failures_total{reason="`+reason+`"} 1`)
}

// expectGivenUp checks that the faulty server was left before its answer
// stopped, and that log and counter tell why.
func (f *front) expectGivenUp(g *WithT, bad *faulty, reason string) {
	g.Expect(bad.runs.Load()).To(BeEquivalentTo(1))
	g.Expect(bad.whole.Load()).To(BeZero(), "the answer was read until it stopped by itself")
	g.Expect(f.failures(reason)).To(BeTrue(), "counter of %q", reason)
	f.stop()
	g.Expect(f.log.String()).To(ContainSubstring(`"reason":"` + reason + `"`))
}

const wholeAnswer = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"

// heads are the parts that no kind of answer gets past.
var heads = map[endless.Part]string{
	endless.StatusLine:    "answer too long: head",
	endless.HeaderValue:   "answer too long: head",
	endless.HeaderLines:   "answer too long: head",
	endless.Informational: "answer too long: informational answers",
	endless.OthersAnswers: "answer to another request",
	endless.OthersBody:    "answer too long: answer to another request",
	endless.ChunkSize:     "answer too long: chunk framing",
	endless.ChunkSizes:    "answer too long: chunk framing",
	endless.Trailers:      "answer too long: chunk framing",
}

func TestAnEndlessHeadIsRepeatedElsewhere(t *testing.T) {
	for part, reason := range heads {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			bad := newFaulty(t, part)
			f := newFront(t, catalog.Safe, bad)
			resp, body := f.send(g)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(wholeAnswer))
			f.expectGivenUp(g, bad, reason)
		})
	}
}

func TestAnEndlessHeadOfAnUnsafeRequestIsNotRepeated(t *testing.T) {
	for part, reason := range heads {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			bad := newFaulty(t, part)
			f := newFront(t, catalog.Unsafe, bad)
			resp, _ := f.send(g)
			g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			g.Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
			f.expectGivenUp(g, bad, reason)
		})
	}
}

func TestAStreamGoesOnAfterAnEndlessEvent(t *testing.T) {
	for part, reason := range map[endless.Part]string{
		endless.EventLine:   "answer too long: event",
		endless.EventLines:  "answer too long: event",
		endless.Repetitions: "stream repeats its events",
		endless.HeaderLines: "answer too long: head",
	} {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			bad := newFaulty(t, part)
			f := newFront(t, catalog.Stream, bad)
			resp, body := f.send(g)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(wholeAnswer))
			f.expectGivenUp(g, bad, reason)
		})
	}
}

// What a server sent is no label of a counter and no part of the client's answer.
func TestARefusalDoesNotQuoteTheServer(t *testing.T) {
	g := NewWithT(t)
	bad := newFaulty(t, endless.None)
	bad.server.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		bad.runs.Add(1)
		if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
			defer conn.Close()
			io.WriteString(conn, "HTTP/1.1 secret\r\n\r\n")
		}
	})
	f := newFront(t, catalog.Unsafe, bad)
	resp, body := f.send(g)
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(body).To(Equal("answer malformed\n"))
	f.expectGivenUp(g, bad, "answer malformed")
}

// A proper answer without a length is passed on as its client reads it, and is
// not held meanwhile.
func TestALongAnswerIsPassedOnWhole(t *testing.T) {
	g := NewWithT(t)
	bad := newFaulty(t, endless.Body)
	f := newFront(t, catalog.Unsafe, bad)
	resp, body := f.send(g)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(len(body)).To(BeNumerically(">=", stopAfter))
	g.Expect(bad.whole.Load()).To(BeEquivalentTo(1))
}
