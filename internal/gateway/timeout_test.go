package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/catalog"
)

// A backend server sends the head of a stream when it accepts a request. If the route's
// timeout passed before the first event, the connection was closed without an answer.
func TestTimeoutBeforeTheFirstEventIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(w http.ResponseWriter)
	}{
		{"nothing was sent", func(http.ResponseWriter) {}},
		{"the head was sent", func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }},
		{"the head and a part of an event were sent", func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("id: 1\nda"))
			_ = http.NewResponseController(w).Flush()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Signed", "yes")
				c.send(w)
				<-r.Context().Done()
			}))
			defer server.Close()
			route := catalog.Route{Timeout: 200 * time.Millisecond, MaxAttempts: 1}
			front := httptest.NewServer(newStreamGateway(route, twoPlaces(server.Listener.Addr().String())))
			defer front.Close()
			g := NewWithT(t)
			status, body, err := receive(g, front.URL)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusGatewayTimeout))
			g.Expect(body).NotTo(ContainSubstring("id:"))
		})
	}
}
