package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/clientconn"
)

// A caller whose request was arriving at the shutdown got a closed connection.
func TestArrivingRequestsAreAnsweredAtAShutdown(t *testing.T) {
	const request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, part := range []int{1, 9, len(request) - 1} {
		for _, kept := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, kept %v", part, kept), func(t *testing.T) {
				g := NewWithT(t)
				accepted, err := net.Listen("tcp4", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				s, l := &Server{settings: DefaultSettings()}, &listeners{}
				l.callers = callersListener{accepted, &l.callersConns}
				l.callersServer = s.httpServer(s.callersHandler())
				l.callersServer.ConnState, l.callersServer.ConnContext = l.callersConns.OnState, clientconn.Context
				defer l.closeCallers()
				go func() { _ = l.callersServer.Serve(l.callers) }()
				conn, err := net.Dial("tcp4", accepted.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
				reader := bufio.NewReader(conn)
				send := func(text string) {
					_, err := io.WriteString(conn, text)
					g.Expect(err).NotTo(HaveOccurred())
				}
				receive := func() *http.Response {
					response, err := http.ReadResponse(reader, nil)
					g.Expect(err).NotTo(HaveOccurred(), "the connection ended without an answer")
					_, err = io.Copy(io.Discard, response.Body)
					g.Expect(err).NotTo(HaveOccurred())
					return response
				}
				if kept {
					send(request)
					g.Expect(receive().Close).To(BeFalse())
				}
				send(request[:part])
				time.Sleep(100 * time.Millisecond) // the server has read it
				s.drain.mu.Lock()
				s.drain.draining = true
				s.drain.mu.Unlock()
				closed := l.stopCallers()
				<-s.idle()
				g.Consistently(closed, "50ms").ShouldNot(BeClosed())
				send(request[part:])
				g.Expect(receive().Close).To(BeTrue())
				g.Eventually(closed).Should(BeClosed())
			})
		}
	}
}

// A body that was too large was read for half a second more before its refusal was sent,
// since net/http didn't learn that it is too large.
func TestTooLargeBodyIsRefusedWithoutReadingOn(t *testing.T) {
	g := NewWithT(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = &stopWriter{ResponseWriter: w, draining: func() bool { return false }}
		_, err := io.ReadAll(http.MaxBytesReader(withoutStop(w), r.Body, 10))
		g.Expect(err).To(HaveOccurred())
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("x", 100))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil) // while the rest of the body never comes
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(response.Close).To(BeTrue())
}

// A caller that doesn't read its answers held a shutdown until its deadline.
func TestOpenConnectionsDelayAShutdownForABoundedTime(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  bool
		want time.Duration
	}{
		{"before the deadline", false, closeTimeout + flushTimeout},
		{"after a cut", true, flushTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cut, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cut {
					cancel()
				}
				start := time.Now()
				awaitClosed(t.Context(), cut, make(chan struct{}))
				NewWithT(t).Expect(time.Since(start)).To(Equal(c.want))
			})
		})
	}
}
