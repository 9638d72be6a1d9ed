package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/gateway"
	"github.com/chicorystall/chicorystall/pkg/catalog"
)

// stoppingServer is a server whose backend server answers no unsafe request until it is
// closed.
type stoppingServer struct {
	address netip.AddrPort
	runs    atomic.Int32 // requests that the backend server got
	stop    context.CancelFunc
	done    chan error
}

func newStoppingServer(t *testing.T, grace time.Duration) *stoppingServer {
	s := &stoppingServer{done: make(chan error, 1)}
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection isn't noticed before
		s.runs.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(backend.Close)
	gw := newPromptGateway(twoPlaces(backend.Listener.Addr().String()))
	setRoute(gw, catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 1})
	s.run(t, gw, grace)
	return s
}

// run starts the server.
func (s *stoppingServer) run(t *testing.T, gw *gateway.Gateway, grace time.Duration) {
	var ports []netip.AddrPort
	for range 2 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, netip.MustParseAddrPort(l.Addr().String()))
		l.Close()
	}
	s.address = ports[0]
	server := &gateway.Server{
		Gateway: gw, ClientAddress: ports[0], ReadinessAddress: ports[1], GraceTime: grace,
		Ready: func() bool { return true }, Limits: func() catalog.Limits { return catalog.Limits{} },
	}
	ctx, cancel := context.WithCancel(t.Context())
	s.stop = cancel
	go func() { s.done <- server.Run(ctx) }()
}

// connect opens a connection, if necessary after the server has begun to listen.
func (s *stoppingServer) connect(t *testing.T) net.Conn {
	for range 100 {
		conn, err := net.Dial("tcp4", s.address.String())
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the server doesn't listen")
	return nil
}

// sendHead sends the head of a request whose body has one byte.
func sendHead(g *WithT, conn net.Conn, id string) {
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n\r\n", id)
	g.Expect(err).NotTo(HaveOccurred())
}

func sendBody(g *WithT, conn net.Conn) {
	_, err := conn.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
}

func expectStatus(g *WithT, conn net.Conn, want int) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred(), "the connection ended without an answer")
	answer.Body.Close()
	g.Expect(answer.StatusCode).To(Equal(want))
}

// At the end of a graceful stop, requests in progress were cut without an answer, and
// requests whose bodies came too late for them to be answered were sent to a backend
// server all the same.
func TestRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	g := NewWithT(t)
	s := newStoppingServer(t, 2*time.Second)
	early, late := s.connect(t), s.connect(t)
	sendHead(g, early, "early")
	sendBody(g, early)
	sendHead(g, late, "late")
	g.Eventually(s.runs.Load).Should(BeEquivalentTo(1))
	s.stop()
	time.Sleep(1200 * time.Millisecond) // new requests are taken for half of the grace time
	sendBody(g, late)
	expectStatus(g, late, http.StatusServiceUnavailable)
	expectStatus(g, early, http.StatusGatewayTimeout)
	g.Expect(<-s.done).To(Succeed())
	g.Expect(s.runs.Load()).To(BeEquivalentTo(1), "what is refused must not run")
}

// A request that was arriving on an open connection as the instance ceased to accept new
// ones was read, and its connection closed without an answer.
func TestArrivingRequestsAreAnsweredDuringAStop(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: unknown.example\r\nX-Request-Id: r\r\n\r\n"
	send := func(g *WithT, conn net.Conn, part string) {
		_, err := io.WriteString(conn, part)
		g.Expect(err).NotTo(HaveOccurred())
	}
	for _, c := range []struct {
		name       string
		first      string // what is sent before the stop, and answered if it is a whole request
		beforeStop string
		afterStop  string // sent when new connections aren't accepted any more
	}{
		{"on a new connection", "", request[:9], request[9:]},
		{"on a kept connection", request, request[:9], request[9:]},
		{"with its first byte", request, request[:1], request[1:]},
		{"with the request before it", request + request[:20], "", request[20:]},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newStoppingServer(t, 3*time.Second)
			conn := s.connect(t)
			if c.first != "" {
				send(g, conn, c.first)
				expectStatus(g, conn, http.StatusServiceUnavailable)
			}
			send(g, conn, c.beforeStop)
			time.Sleep(200 * time.Millisecond) // the server has read it
			s.stop()
			time.Sleep(1700 * time.Millisecond)
			send(g, conn, c.afterStop)
			expectStatus(g, conn, http.StatusServiceUnavailable)
			g.Expect(<-s.done).To(Succeed())
		})
	}
	t.Run("idle connections don't delay the end", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		s := newStoppingServer(t, time.Minute)
		kept, unused, begun := s.connect(t), s.connect(t), s.connect(t)
		for _, conn := range []net.Conn{kept, begun} {
			send(g, conn, request)
			expectStatus(g, conn, http.StatusServiceUnavailable)
		}
		send(g, begun, request[:1])
		s.stop()
		for _, conn := range []net.Conn{kept, unused, begun} {
			_, err := conn.Read(make([]byte, 1))
			g.Expect(err).To(Equal(io.EOF))
		}
		g.Expect(<-s.done).To(Succeed())
	})
}

// A request in progress was cut if it had been read together with the one before it, and
// an answer during a stop didn't say that its connection would be closed.
func TestRequestInProgressIsAnsweredDuringAStop(t *testing.T) {
	for _, c := range []struct{ name, before string }{
		{"alone", ""},
		{"read with the request before it", "GET / HTTP/1.1\r\nHost: unknown.example\r\nX-Request-Id: first\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newStoppingServer(t, 2*time.Second)
			conn := s.connect(t)
			_, err := io.WriteString(conn, c.before+"POST / HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: r\r\nContent-Length: 1\r\n\r\nx")
			g.Expect(err).NotTo(HaveOccurred())
			if c.before != "" {
				expectStatus(g, conn, http.StatusServiceUnavailable)
			}
			g.Eventually(s.runs.Load).Should(BeEquivalentTo(1))
			s.stop()
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "the connection ended without an answer")
			answer.Body.Close()
			g.Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
			g.Expect(answer.Close).To(BeTrue())
			g.Expect(<-s.done).To(Succeed())
		})
	}
}

func TestRequestsDuringAStop(t *testing.T) {
	for _, c := range []struct {
		name         string
		takeAll, end time.Duration // from now
		timeout      time.Duration // of the route
		want         int
	}{
		{"may last longer, but comes early", time.Second, time.Second, time.Hour, http.StatusOK},
		{"may last longer", -time.Second, time.Second, time.Hour, http.StatusServiceUnavailable},
		{"ends before the stop", -time.Second, time.Hour, time.Second, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			server := newSoundServer(t)
			defer server.Close()
			gw := newPromptGateway(twoPlaces(server.Listener.Addr().String()))
			setRoute(gw, catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 1, Timeout: c.timeout})
			now := time.Now()
			gw.Stop(now.Add(c.takeAll), now.Add(c.end))
			front := httptest.NewServer(gw)
			defer front.Close()
			status, _, err := receive(g, front.URL)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(c.want))
		})
	}
}
