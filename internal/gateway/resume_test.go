package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// After a stream broke off, the next server's answer must be the rest of the stream. Text
// of an error must not get into the stream, and the stream must not look complete.
func TestNextServerAnswersABrokenStreamWithAnError(t *testing.T) {
	const begun = "id: 1\ndata: x\n\n"
	stream := http.Header{"Content-Type": {"text/event-stream"}}
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		body   string
	}{
		{"500", http.StatusInternalServerError, nil, "out of memory\n\n"},
		{"503 that may have run", http.StatusServiceUnavailable, nil, "busy\n\n"},
		{"404", http.StatusNotFound, nil, "no such model\n\n"},
		{"204", http.StatusNoContent, nil, ""},
		{"206", http.StatusPartialContent, stream, "id: 2\ndata: x\n\n"},
		{"200 with a text", http.StatusOK, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, "error: out of memory\n\n"},
		{"200 with JSON", http.StatusOK, http.Header{"Content-Type": {"application/json"}}, `{"error":"out of memory"}` + "\n\n"},
		{"200 with an event without ID", http.StatusOK, stream, "event: error\ndata: out of memory\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sends atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Signed", "yes")
				if sends.Add(1) == 1 {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, begun)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				for name, values := range c.header {
					w.Header()[name] = values
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			front := httptest.NewServer(newPromptGateway(twoPlaces(server.Listener.Addr().String())))
			defer front.Close()
			g := NewWithT(t)
			status, body, err := receive(g, front.URL)
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(err).To(HaveOccurred(), "the stream must not look complete")
			g.Expect(strings.TrimPrefix(body, begun)).To(BeEmpty())
			g.Expect(sends.Load()).To(BeEquivalentTo(2))
		})
	}
}

// receive sends a request and returns what it received of the answer, and why that ended
// early if it did.
func receive(g *WithT, address string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodGet, address+"/a", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "app.example"
	r.Header.Set("X-Request-Id", "r")
	resp, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
