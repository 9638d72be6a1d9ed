package operator

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/fake/broken"
)

// A call must end and allocate bounded memory, whatever process answers at the address:
// a body or header above the limit is an error.
func TestOversizedAnswers(t *testing.T) {
	const endlessBytes = 8 * maxAnswerBytes // ends the answer if the client does not stop reading
	block := []byte(strings.Repeat(" ", 64<<10))
	for _, tt := range []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"body", func(w http.ResponseWriter, _ *http.Request) {
			for sent := 0; sent < endlessBytes; sent += len(block) {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
			w.Write([]byte("{}"))
		}},
		{"header", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Filler", strings.Repeat("x", 4<<20))
			w.Write([]byte("{}"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(tt.serve)
			defer server.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := Client{Address: server.Listener.Addr().String()}.Status(t.Context(), false)
			runtime.ReadMemStats(&after)
			g.Expect(err).To(HaveOccurred())
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 6*maxAnswerBytes))
		})
	}
}

// A command to which a process answered with a status that is none of HTTP passed for one
// that was carried out.
func TestAnswerWithAnInvalidStatus(t *testing.T) {
	g := NewWithT(t)
	server, err := broken.Start(t.Context(), broken.Answer{Text: "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", ReadsRequest: true})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Client{Address: server.Address}.SkipLost(t.Context())
	g.Expect(errors.Is(err, answer.ErrMalformed)).To(BeTrue(), "error %v", err)
}
