package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const partBytes = 64 << 10

// newLongServer returns a backend server whose answers have so many parts. Each is an event,
// so that they can be streamed, too.
func newLongServer(t *testing.T, parts int) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Length", strconv.Itoa(parts*partBytes))
		for n := range parts {
			head := fmt.Sprintf("id: %d\ndata: ", n+1)
			if _, err := io.WriteString(w, head+strings.Repeat("x", partBytes-len(head)-2)+"\n\n"); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// pausedAnswer sends a request, pauses before it reads the answer, and returns the number of
// bytes of its body.
func pausedAnswer(g *WithT, conn net.Conn, pause time.Duration) int {
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(16 << 10)).To(Succeed())
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: r\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(pause)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
	n, err := io.Copy(io.Discard, answer.Body)
	g.Expect(err).NotTo(HaveOccurred(), "the answer was cut")
	return int(n)
}

// The time for which clients paused counted as run time of the service, so that others were told
// to come back too late.
func TestAClientThatPausesIsNoTimeOfTheServer(t *testing.T) {
	const parts, pause = 256, 2 * time.Second
	for _, kind := range []catalog.Kind{catalog.Stream, catalog.Unsafe} {
		t.Run(kind.String(), func(t *testing.T) {
			g := NewWithT(t)
			server := newLongServer(t, parts)
			gw := newPromptGateway([]dispatch.Place{{ID: "p", Service: "s", Model: "m", DataCentre: "near", Address: server.Listener.Addr().String(), Slots: 1}})
			setRoute(gw, catalog.Route{Kind: kind, MaxAttempts: 1, Resumable: true})
			front := httptest.NewServer(gw)
			defer front.Close()
			conn, err := net.Dial("tcp4", front.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			g.Expect(pausedAnswer(g, conn, pause)).To(Equal(parts * partBytes))
			g.Eventually(gw.Open).Should(BeZero())
			g.Expect(gw.Places.RetryAfter("s", "m")).To(BeNumerically("<", pause))
		})
	}
}

// An instance that was stopped cut the answers of clients that paused.
func TestAClientMayPauseDuringAStop(t *testing.T) {
	const parts = 4
	g := NewWithT(t)
	server := newLongServer(t, parts)
	gw := newPromptGateway(twoPlaces(server.Listener.Addr().String()))
	setRoute(gw, catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 1})
	s := &stoppingServer{done: make(chan error, 1)}
	s.run(t, gw, 8*time.Second)
	conn := s.connect(t)
	s.stop()
	g.Expect(pausedAnswer(g, conn, 3500*time.Millisecond)).To(Equal(parts * partBytes))
	g.Expect(<-s.done).To(Succeed())
}
