package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// wordyServer answers with headers that say something about requests to it.
type wordyServer struct {
	*httptest.Server
	requests atomic.Int32
}

func newWordyServer(t *testing.T, status int, header http.Header, events int) *wordyServer {
	s := &wordyServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Signed", "yes")
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		for id := range events {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", id+1)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// A server that leaves, or asks for a rest, says so in any of its answers. The instance
// went on sending requests to it until the list said so, or at once again.
func TestServerThatWantsNoRequestsGetsNone(t *testing.T) {
	leaving := http.Header{"Leaving": {"1"}}
	rest := http.Header{"Not-Run": {"1"}, "Rest": {"60s"}}
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		events int
	}{
		{"leaving, in the head of a stream that is whole", http.StatusOK, leaving, 3},
		{"leaving, in a stream that breaks off", http.StatusOK, http.Header{"Leaving": {"1"}, "Content-Length": {"1000"}}, 2},
		{"leaving, in an error", http.StatusInternalServerError, leaving, 0},
		{"leaving, in a refusal", http.StatusServiceUnavailable, http.Header{"Not-Run": {"1"}, "Leaving": {"1"}}, 0},
		{"a rest, in a refusal", http.StatusServiceUnavailable, rest, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			const requests = 4
			wordy := newWordyServer(t, c.status, c.header, c.events)
			places := []dispatch.Place{{ID: "wordy", Service: "s", Model: "m", DataCentre: "near", Address: wordy.Listener.Addr().String(), Slots: 4}}
			t.Run("others are there", func(t *testing.T) {
				g := NewWithT(t)
				sound := newWordyServer(t, http.StatusOK, nil, 3)
				front := newWordyFront(t, append(places, dispatch.Place{
					ID: "sound", Service: "s", Model: "m", DataCentre: "far", Address: sound.Listener.Addr().String(), Slots: 4,
				}))
				for n := range requests {
					status, whole := sendPrompt(g, front, fmt.Sprint("r", n), "common")
					g.Expect(status).To(Equal(http.StatusOK))
					g.Expect(whole).To(BeTrue(), "a stream whose head says that its server leaves goes on to its end")
				}
				g.Expect(wordy.requests.Load()).To(BeEquivalentTo(1))
			})
			t.Run("it is the only one", func(t *testing.T) {
				g := NewWithT(t)
				wordy.requests.Store(0)
				front := newWordyFront(t, places)
				sendPrompt(g, front, "first", "common")
				for n := range requests {
					status, _ := sendPrompt(g, front, fmt.Sprint("r", n), "common")
					g.Expect(status).To(Equal(http.StatusServiceUnavailable), "it can't be served, so it is refused at once")
				}
				g.Expect(wordy.requests.Load()).To(BeEquivalentTo(1))
			})
		})
	}
}

// newWordyFront returns the address of a gateway that reads the words of wordy servers.
func newWordyFront(t *testing.T, places []dispatch.Place) string {
	gw := newPromptGateway(places)
	gw.Dialect.ParseAnswer = func(status int, h http.Header) gateway.AnswerMeta {
		meta := testDialect.ParseAnswer(status, h)
		meta.Leaving, meta.NotRun = h.Get("Leaving") != "", h.Get("Not-Run") != ""
		meta.Rest, _ = time.ParseDuration(h.Get("Rest")) // 0 without the header
		meta.Limit.Word = gateway.Unlimited
		if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
			meta.Limit = gateway.RateLimit{Word: gateway.Named, PerSecond: perSecond}
		}
		return meta
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go gw.Places.Run(ctx)
	front := httptest.NewServer(gw)
	t.Cleanup(front.Close)
	return front.URL
}
