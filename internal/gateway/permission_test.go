package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/boottime"
	"github.com/chicorystall/chicorystall/internal/exchange"
	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/internal/telemetry"
	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

// The process is paused while a request with a key waits for a place. When it goes on,
// the proof that the key is valid may have expired, and the key may have been revoked.
func TestKeyIsProvenWhenTheRequestIsSent(t *testing.T) {
	const maxAge = 4 * time.Second
	for _, c := range []struct {
		name      string
		anonymous bool
		paused    time.Duration
		want      int
	}{
		{"the proof is still valid", false, 0, http.StatusOK},
		{"the proof expired while the process was paused", false, 2 * maxAge, http.StatusServiceUnavailable},
		{"a request without a key needs no proof", true, 2 * maxAge, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Signed", "yes")
			}))
			defer server.Close()
			catalogue := catalog.New(catalog.Content{
				Version: 1, Services: []catalog.Service{{Name: "s"}}, Accounts: []catalog.Account{{Name: "a", Keys: []string{"key"}}},
				Routes: []catalog.Route{{
					Name: "r", Host: "app.example", Prefix: "/", Kind: catalog.Unsafe, Anonymous: c.anonymous, MaxAttempts: 1,
					Targets: []catalog.Target{{Service: "s", Weight: 1}},
				}},
			})
			var pausedFor atomic.Int64
			dialect := testDialect
			dialect.ParseCall = func(r *http.Request) (gateway.Call, error) {
				call, err := testDialect.ParseCall(r)
				call.Key = "key"
				return call, err
			}
			places := gateway.NewPlaces()
			gw := &gateway.Gateway{
				DataCentre: "near", Dialect: dialect, Pool: &exchange.Pool{}, Places: places, Progress: &gateway.Progress{},
				View: func() gateway.View {
					return gateway.View{Catalog: catalogue, ConfirmedAt: boottime.Now() - time.Duration(pausedFor.Load())}
				},
				MaxAge: maxAge, StaleAfter: maxAge, Metrics: telemetry.NewMetrics(),
			}
			place := dispatch.Place{ID: "w", Service: "s", DataCentre: "near", Address: server.Listener.Addr().String(), Slots: 1}
			places.Set([]dispatch.Place{place}, gateway.Peers{Count: 1})
			other := &dispatch.Ticket{Service: "s", DataCentre: "near"}
			_, err := places.Acquire(t.Context(), other)
			g.Expect(err).NotTo(HaveOccurred())
			status := make(chan int)
			go func() {
				r := httptest.NewRequest(http.MethodGet, "http://app.example/x", nil)
				r.Header.Set("X-Request-Id", "r1")
				w := httptest.NewRecorder()
				gw.ServeHTTP(w, r)
				status <- w.Code
			}()
			g.Eventually(places.Waiting).Should(Equal(1))
			pausedFor.Store(int64(c.paused))
			places.Done(other, dispatch.Served, time.Millisecond)
			g.Expect(<-status).To(Equal(c.want))
			if c.want != http.StatusOK {
				g.Expect(runs.Load()).To(BeZero())
			}
		})
	}
}
