package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

// An answer that was whole at the deadline of its request, or at the route's timeout, was
// made but not sent: the connection's write deadline had passed, too.
func TestAnswerAtTheDeadlineIsSent(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		kind   catalog.Kind
		status int
		body   string
	}{
		{"timeout of the server", catalog.Safe, http.StatusGatewayTimeout, ""},
		{"whole answer", catalog.Unsafe, http.StatusOK, "done"},
		{"error", catalog.Unsafe, http.StatusInternalServerError, "error"},
		{"whole stream", catalog.Stream, http.StatusOK, "id: 1\ndata: x\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Signed", "yes")
				w.Header().Set("Content-Length", strconv.Itoa(len(c.body)))
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			t.Cleanup(server.Close)
			gw := newPromptGateway(twoPlaces(server.Listener.Addr().String()))
			setRoute(gw, catalog.Route{Kind: c.kind, Timeout: timeout, MaxAttempts: 1})
			stall := gw.Dialect.ParseAnswer
			gw.Dialect.ParseAnswer = func(status int, h http.Header) gateway.AnswerMeta {
				time.Sleep(timeout) // the instance gets no processor time until the deadline has passed
				return stall(status, h)
			}
			front := httptest.NewServer(gw)
			t.Cleanup(front.Close)
			status, body, err := receive(g, front.URL)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(c.status))
			g.Expect(body).To(Equal(c.body))
		})
	}
}
