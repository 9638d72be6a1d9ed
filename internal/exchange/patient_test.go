package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// longPause is longer than the time after which a remote side may be out of reach.
const longPause = 3500 * time.Millisecond

func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// acceptOne returns both sides of a connection to Listen. The client has a small
// receive buffer.
func acceptOne(t *testing.T) (server, client net.Conn) {
	t.Helper()
	g := NewWithT(t)
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	dialer := net.Dialer{Control: setSmallReceiveBuffer}
	client, err = dialer.DialContext(t.Context(), "tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { client.Close() })
	server, err = l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { server.Close() })
	return server, client
}

// takeOutOfReach makes a socket drop whatever arrives.
func takeOutOfReach(g *WithT, conn net.Conn) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var sockoptErr error
	g.Expect(raw.Control(func(fd uintptr) {
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		sockoptErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})).To(Succeed())
	g.Expect(sockoptErr).NotTo(HaveOccurred())
}

// Clients that paused for over 2.5 s lost their connections, since TCP_USER_TIMEOUT also ends
// those whose window is closed.
func TestAClientThatPausesGetsItsWholeAnswer(t *testing.T) {
	for _, c := range []struct {
		name          string
		bytes, before int // of the answer, and those read before the pause
		pauses        int
	}{
		{"the system holds the rest", 200 << 10, 64 << 10, 1},
		{"the rest waits in the process", 8 << 20, 64 << 10, 1},
		{"a second pause", 8 << 20, 64 << 10, 2},
		{"nothing is read at first", 200 << 10, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server, client := acceptOne(t)
			g.Expect(server.SetWriteDeadline(time.Now().Add(time.Minute))).To(Succeed())
			var group errgroup.Group
			group.Go(func() error {
				defer server.Close()
				_, err := server.Write(make([]byte, c.bytes))
				return err
			})
			read := 0
			for range c.pauses {
				n, err := io.CopyN(io.Discard, client, int64(c.before))
				g.Expect(err).NotTo(HaveOccurred())
				read += int(n)
				time.Sleep(longPause)
			}
			rest, err := io.Copy(io.Discard, client)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read + int(rest)).To(Equal(c.bytes))
			g.Expect(group.Wait()).To(Succeed())
		})
	}
}

func TestAWriteToAClientOutOfReachEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(net.Conn) error
	}{
		{"a long answer", func(server net.Conn) error {
			_, err := server.Write(make([]byte, 8<<20))
			return err
		}},
		{"a stream of short events", func(server net.Conn) error {
			for range 100 {
				if _, err := server.Write([]byte("data: x\n\n")); err != nil {
					return err
				}
				time.Sleep(100 * time.Millisecond)
			}
			return nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server, client := acceptOne(t)
			g.Expect(server.SetWriteDeadline(time.Now().Add(time.Minute))).To(Succeed())
			takeOutOfReach(g, client)
			start := time.Now()
			g.Expect(c.write(server)).To(MatchError(errOutOfReach))
			g.Expect(time.Since(start)).To(BeNumerically("<", 8*time.Second))
		})
	}
}

// startReader starts a server with a small receive buffer that reads the head of a request,
// calls wait, and answers once it has read the body.
func startReader(t *testing.T, bodyBytes int, wait func(net.Conn)) Server {
	t.Helper()
	g := NewWithT(t)
	config := net.ListenConfig{Control: setSmallReceiveBuffer}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var group errgroup.Group
	group.Go(func() error {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			return err
		}
		wait(conn)
		if _, err := io.CopyN(io.Discard, conn, int64(bodyBytes)-100); err != nil {
			return err
		}
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err
	})
	t.Cleanup(func() {
		l.Close()
		if err := group.Wait(); err != nil {
			t.Log("the server: ", err)
		}
	})
	return Server{ID: "reader", Address: l.Addr().String()}
}

// sendLong sends a request with a long body.
func sendLong(t *testing.T, s Server, bodyBytes int) error {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	pool := &Pool{}
	defer pool.Close()
	answer, err := pool.Do(ctx, s, &Request{Method: http.MethodPost, Target: "/", Host: "app.example", Body: make([]byte, bodyBytes)})
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// Requests were broken off when a backend server paused for over 2.5 s while it read their bodies.
func TestAServerThatPausesGetsTheWholeBody(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
	}{
		{"the system holds the rest", 200 << 10},
		{"the rest waits in the process", 8 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startReader(t, c.bytes, func(net.Conn) { time.Sleep(longPause) })
			NewWithT(t).Expect(sendLong(t, s, c.bytes)).To(Succeed())
		})
	}
}

func TestALongBodyForAServerOutOfReachEnds(t *testing.T) {
	const bytes = 8 << 20
	g := NewWithT(t)
	done := make(chan struct{})
	s := startReader(t, bytes, func(conn net.Conn) {
		takeOutOfReach(g, conn)
		<-done
		conn.Close()
	})
	start := time.Now()
	err := sendLong(t, s, bytes)
	close(done)
	g.Expect(err).To(MatchError(errOutOfReach))
	g.Expect(time.Since(start)).To(BeNumerically("<", 8*time.Second))
}

func TestAClosedWindowIsNotOutOfReach(t *testing.T) {
	for _, c := range []struct {
		name string
		info unix.TCPInfo
		want bool
	}{
		{"all is well", unix.TCPInfo{}, false},
		{"nothing was sent for long", unix.TCPInfo{Last_ack_recv: 60_000}, false},
		{"a window that was closed for long", unix.TCPInfo{Last_ack_recv: 20_000, Probes: 1, Backoff: 7}, false},
		{"a few packets were lost", unix.TCPInfo{Last_ack_recv: 900, Retransmits: 3}, false},
		{"data gets no answer", unix.TCPInfo{Last_ack_recv: 2600, Retransmits: 3}, true},
		{"probes get no answer", unix.TCPInfo{Last_ack_recv: 2600, Probes: 3}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(showsOutOfReach(&c.info)).To(Equal(c.want))
		})
	}
}

func TestAWriteEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration // 0: none
		want     time.Duration
	}{
		{"at its deadline", 8 * time.Second, 8 * time.Second},
		{"at a deadline before the first check", 300 * time.Millisecond, 300 * time.Millisecond},
		{"at a deadline after the bound for writes without one", time.Minute, time.Minute},
		{"at the bound if it has no deadline", 0, maxWriteTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				near, far := net.Pipe()
				defer far.Close()
				conn := &patientConn{Conn: near, maxWriteTime: maxWriteTime}
				defer conn.Close()
				start := time.Now()
				if c.deadline > 0 {
					g.Expect(conn.SetDeadline(start.Add(c.deadline))).To(Succeed())
				}
				_, err := conn.Write([]byte("x"))
				g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
				g.Expect(time.Since(start)).To(Equal(c.want))
			})
		})
	}
}

func TestADeadlineSetDuringAWriteCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer far.Close()
		conn := &patientConn{Conn: near}
		defer conn.Close()
		start := time.Now()
		time.AfterFunc(5*time.Second, func() { _ = conn.SetWriteDeadline(time.Now()) })
		_, err := conn.Write([]byte("x"))
		g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		g.Expect(time.Since(start)).To(Equal(5 * time.Second))
	})
}

// net/http ends the writing side before it closes a connection with unread bytes, since a reset
// would take the answer from the client.
func TestTheWritingSideCanBeEnded(t *testing.T) {
	g := NewWithT(t)
	server, client := acceptOne(t)
	_, err := io.WriteString(client, "unread")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(server, "answer")
	g.Expect(err).NotTo(HaveOccurred())
	w, ok := server.(interface{ CloseWrite() error })
	g.Expect(ok).To(BeTrue())
	g.Expect(w.CloseWrite()).To(Succeed())
	g.Expect(io.ReadAll(client)).To(BeEquivalentTo("answer"))
}
