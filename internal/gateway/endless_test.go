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
	// maxAnswerBytes is where an endless answer stops if its reader doesn't abandon it.
	maxAnswerBytes = 48 << 20
	// clientDeadline is far above the duration of any test, so that no request ends
	// by its deadline.
	clientDeadline = time.Hour
)

// faultyServer is a backend server whose answers have an endless part.
type faultyServer struct {
	part      endless.Part
	runs      atomic.Int64
	completed atomic.Int64 // answers that were read up to maxAnswerBytes
	server    *httptest.Server
}

func newFaultyServer(t *testing.T, part endless.Part) *faultyServer {
	f := &faultyServer{part: part}
	f.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		header := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Signed: f\r\n"
		if err := f.part.Answer(rw, header, maxAnswerBytes); err == nil {
			f.completed.Add(1)
		}
	}))
	t.Cleanup(f.server.Close)
	return f
}

// newSoundServer returns a backend server that answers with two events, or with the
// second if the first is the last that the client received.
func newSoundServer(t *testing.T) *httptest.Server {
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
		return gateway.Call{ID: r.Header.Get("X-Request-Id"), Deadline: clientDeadline}, nil
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

// testGateway is a gateway with two backend servers: it prefers a faulty one and
// uses a sound one second. For unsafe requests there is only the faulty one.
type testGateway struct {
	*httptest.Server
	metrics *telemetry.Metrics
	log     *bytes.Buffer
	stopLog func() // stops the log and waits until it is written
}

func newTestGateway(t *testing.T, kind catalog.Kind, bad *faultyServer) *testGateway {
	route := catalog.Route{
		Name: "r", Host: "app.example", Prefix: "/", Kind: kind, Resumable: true, Objective: clientDeadline, MaxAttempts: 2,
		Targets: []catalog.Target{{Service: "s", Weight: 1}},
	}
	c := catalog.New(catalog.Content{Version: 1, Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: "s"}}})
	f := &testGateway{metrics: telemetry.NewMetrics(), log: &bytes.Buffer{}}
	log := telemetry.New(f.log, logrus.InfoLevel, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- log.Run(ctx) }()
	f.stopLog = func() {
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
	if s := newSoundServer(t); kind != catalog.Unsafe {
		places = append(places, dispatch.Place{ID: "sound", Service: "s", DataCentre: "far", Address: s.Listener.Addr().String(), Slots: 4})
	}
	g.Places.Set(places, gateway.Peers{Count: 1})
	f.Server = httptest.NewServer(g)
	t.Cleanup(f.Close)
	t.Cleanup(cancel)
	return f
}

// send sends a request and returns its answer and the body.
func (f *testGateway) send(g *WithT) (*http.Response, string) {
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

// countsFailure reports whether one attempt is counted as failed for a reason.
func (f *testGateway) countsFailure(reason string) bool {
	rec := httptest.NewRecorder()
	f.metrics.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return strings.Contains(rec.Body.String(), `chicorystall_attempt_failures_total{reason="`+reason+`"} 1`)
}

// expectAbandoned checks that the answer of the faulty server was abandoned before
// it stopped, and that the log and the counter state the reason.
func (f *testGateway) expectAbandoned(g *WithT, bad *faultyServer, reason string) {
	g.Expect(bad.runs.Load()).To(BeEquivalentTo(1))
	g.Expect(bad.completed.Load()).To(BeZero(), "the answer was read up to maxAnswerBytes")
	g.Expect(f.countsFailure(reason)).To(BeTrue(), "counter of %q", reason)
	f.stopLog()
	g.Expect(f.log.String()).To(ContainSubstring(`"reason":"` + reason + `"`))
}

const wholeAnswer = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"

// endlessHeads maps the parts of a head that are bounded for every kind of request
// to the expected reason.
var endlessHeads = map[endless.Part]string{
	endless.StatusLine:          "answer too long: head",
	endless.HeaderValue:         "answer too long: head",
	endless.HeaderLines:         "answer too long: head",
	endless.Informational:       "answer too long: informational answers",
	endless.OtherRequestAnswers: "answer to another request",
	endless.OtherRequestBody:    "answer too long: answer to another request",
	endless.ChunkExtension:      "answer too long: chunk framing",
	endless.ChunkExtensions:     "answer too long: chunk framing",
	endless.Trailers:            "answer too long: chunk framing",
}

func TestRetriesElsewhereAfterEndlessHead(t *testing.T) {
	for part, reason := range endlessHeads {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			bad := newFaultyServer(t, part)
			f := newTestGateway(t, catalog.Safe, bad)
			resp, body := f.send(g)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(wholeAnswer))
			f.expectAbandoned(g, bad, reason)
		})
	}
}

func TestNoRetryOfUnsafeRequestAfterEndlessHead(t *testing.T) {
	for part, reason := range endlessHeads {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			bad := newFaultyServer(t, part)
			f := newTestGateway(t, catalog.Unsafe, bad)
			resp, _ := f.send(g)
			g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			g.Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
			f.expectAbandoned(g, bad, reason)
		})
	}
}

func TestStreamResumesAfterEndlessEvent(t *testing.T) {
	for part, reason := range map[endless.Part]string{
		endless.EventLine:     "answer too long: event",
		endless.EventLines:    "answer too long: event",
		endless.RepeatedEvent: "stream repeats its events",
		endless.HeaderLines:   "answer too long: head",
	} {
		t.Run(part.String(), func(t *testing.T) {
			g := NewWithT(t)
			bad := newFaultyServer(t, part)
			f := newTestGateway(t, catalog.Stream, bad)
			resp, body := f.send(g)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(wholeAnswer))
			f.expectAbandoned(g, bad, reason)
		})
	}
}

// Text that a backend server sent must not become a metric label or part of the
// answer to the client.
func TestARefusalDoesNotQuoteTheServer(t *testing.T) {
	g := NewWithT(t)
	bad := newFaultyServer(t, endless.None)
	bad.server.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		bad.runs.Add(1)
		if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
			defer conn.Close()
			io.WriteString(conn, "HTTP/1.1 secret\r\n\r\n")
		}
	})
	f := newTestGateway(t, catalog.Unsafe, bad)
	resp, body := f.send(g)
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(body).To(Equal("answer malformed\n"))
	f.expectAbandoned(g, bad, "answer malformed")
}

// A valid answer that is longer than maxBufferedBytes must be passed on completely,
// although it states no length and is not buffered.
func TestALongAnswerIsPassedOnWhole(t *testing.T) {
	g := NewWithT(t)
	bad := newFaultyServer(t, endless.Body)
	f := newTestGateway(t, catalog.Unsafe, bad)
	resp, body := f.send(g)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(len(body)).To(BeNumerically(">=", maxAnswerBytes))
	g.Expect(bad.completed.Load()).To(BeEquivalentTo(1))
}
