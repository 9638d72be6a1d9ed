package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
	"github.com/chicorystall/chicorystall/pkg/retry"
)

// newSilentServer returns a server that counts the requests it gets. It is silent for a
// while before the second event of the first stream.
func newSilentServer(t *testing.T, silence time.Duration) (address string, requests *atomic.Int32) {
	requests = &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first := requests.Add(1) == 1
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Signed", "yes")
		for id := range 3 {
			if first && id == 1 {
				select {
				case <-r.Context().Done():
					return
				case <-time.After(silence):
				}
			}
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", id+1)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

func expectWholeAnswer(g *WithT, gw *gateway.Gateway) {
	front := httptest.NewServer(gw)
	defer front.Close()
	status, whole := sendPrompt(g, front.URL, "r", "common")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(whole).To(BeTrue())
}

// A backend server was silent for over a second and went on. Its streams were cut although
// no other place could take them.
func TestStreamOfASilentServerGoesOn(t *testing.T) {
	const silence = 2 * time.Second
	for _, c := range []struct {
		name     string
		places   int
		attempts int
		prep     func(*gateway.Gateway)
		want     int32 // requests that servers get
	}{
		{"no other place", 1, 2, nil, 1},
		{"no further attempt", 2, 1, nil, 1},
		{"the other place is full", 2, 2, func(gw *gateway.Gateway) {
			gw.Places.SetPeerLoads("entry-2", map[string]dispatch.Load{"server-1": {Running: 4}})
		}, 1},
		{"the retry budget is spent", 2, 2, func(gw *gateway.Gateway) {
			gw.Retries = gateway.Retries{New: func() *retry.Budget { return &retry.Budget{Burst: 1, MinPerSecond: -1, Ratio: 1e-9} }}
		}, 1},
		{"another place takes it", 2, 2, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address, requests := newSilentServer(t, silence)
			gw := newStreamGateway(catalog.Route{Resumable: true, MaxAttempts: c.attempts}, twoPlaces(address)[:c.places])
			go func() { _ = gw.Places.Run(t.Context()) }()
			go func() { _ = gw.Progress.Run(t.Context(), func(place string) { gw.Places.Avoid(place, time.Second) }) }()
			if c.prep != nil {
				c.prep(gw)
			}
			expectWholeAnswer(g, gw)
			g.Expect(requests.Load()).To(Equal(c.want))
		})
	}
}

// A safe request was answered 502 when its backend server took longer than the answer
// timeout and no other place could take it.
func TestSafeRequestWaitsForItsServerIfNoneElseTakesIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		places int
		want   int32
	}{
		{"no other place", 1, 1},
		{"another place takes it", 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address, requests := newSilentServer(t, time.Second)
			gw := newStreamGateway(catalog.Route{Resumable: true, MaxAttempts: 2}, twoPlaces(address)[:c.places])
			setRoute(gw, catalog.Route{Kind: catalog.Safe, Objective: 100 * time.Millisecond, MaxAttempts: 2})
			expectWholeAnswer(g, gw)
			g.Expect(requests.Load()).To(Equal(c.want))
		})
	}
}

// The answer timeout of a safe request went on while its answer was passed on, so that a
// long answer was cut.
func TestLongAnswerIsNotCutByTheAnswerTimeout(t *testing.T) {
	const half = 512 << 10 // more than is buffered before an answer is passed on
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Length", strconv.Itoa(2*half))
		_, _ = w.Write(make([]byte, half))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(600 * time.Millisecond)
		_, _ = w.Write(make([]byte, half))
	}))
	defer server.Close()
	gw := newPromptGateway(twoPlaces(server.Listener.Addr().String()))
	setRoute(gw, catalog.Route{Kind: catalog.Safe, Objective: 100 * time.Millisecond, MaxAttempts: 2})
	front := httptest.NewServer(gw)
	defer front.Close()
	status, body, err := receive(g, front.URL)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(HaveLen(2 * half))
}
