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
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/pkg/catalog"
	"github.com/chicorystall/chicorystall/pkg/dispatch"
)

const partBytes = 64 << 10

// longServer is a backend server with long answers.
type longServer struct {
	*httptest.Server
	runs atomic.Int32 // requests that it got
}

// newLongServer returns a backend server whose answers have so many parts. Each is an event,
// so that they can be streamed, too.
func newLongServer(t *testing.T, parts int) *longServer {
	s := &longServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
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
	t.Cleanup(s.Close)
	return s
}

// pausedAnswer sends a request, pauses before it reads the answer, and returns the number of
// bytes of its body.
func pausedAnswer(conn net.Conn, pause time.Duration) (int, error) {
	if err := conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: r\r\n\r\n"); err != nil {
		return 0, err
	}
	time.Sleep(pause)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", answer.StatusCode)
	}
	n, err := io.Copy(io.Discard, answer.Body)
	return int(n), err
}

// expectWholeAnswerAfter expects that a client which pauses gets so many bytes.
func expectWholeAnswerAfter(g *WithT, conn net.Conn, pause time.Duration, bytes int) {
	n, err := pausedAnswer(conn, pause)
	g.Expect(err).NotTo(HaveOccurred(), "the answer was cut")
	g.Expect(n).To(Equal(bytes))
}

// The time for which clients paused counted as run time of the service, so that others were told
// to come back too late.
func TestAClientThatPausesIsNoTimeOfTheServer(t *testing.T) {
	const parts, pause = 128, 2 * time.Second
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
			expectWholeAnswerAfter(g, conn, pause, parts*partBytes)
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
	expectWholeAnswerAfter(g, conn, 3500*time.Millisecond, parts*partBytes)
	g.Expect(<-s.done).To(Succeed())
}
