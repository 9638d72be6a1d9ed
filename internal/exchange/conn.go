package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxInlineRequestBytes is the size up to which a request is written before its
	// answer is read. It fits into the socket buffers, so that the write doesn't block.
	maxInlineRequestBytes = 16 << 10
	readBufferBytes       = 4 << 10
	// idleMargin is subtracted from the idle timeout that a server states, since a
	// request takes time to arrive.
	idleMargin = 500 * time.Millisecond
	// tcpUserTimeout is the time after which a connection of Dial fails if the remote side
	// does not acknowledge the data that was sent, or does not open its window.
	tcpUserTimeout = 2500 * time.Millisecond
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	input             *limitedReader
	reader            *bufio.Reader // reads from input
	requestCount      int           // requests sent on the connection
	idleSince         time.Time     // when the connection was returned to the pool
	serverIdleTimeout time.Duration // the server's Keep-Alive timeout; 0 if not stated
}

func newConn(c net.Conn) *conn {
	input := &limitedReader{conn: c, remaining: noLimit}
	return &conn{Conn: c, input: input, reader: bufio.NewReaderSize(input, readBufferBytes)}
}

// nothingReceived reports whether neither EOF nor data has arrived on an idle
// connection. Such data would not belong to any request.
func (c *conn) nothingReceived() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// isUsable reports whether the next request may be sent on an idle connection.
func (c *conn) isUsable(now time.Time, idleTimeout time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if c.serverIdleTimeout > 0 {
		idleTimeout = min(idleTimeout, c.serverIdleTimeout-idleMargin)
	}
	return idle < idleTimeout && c.nothingReceived()
}

// Dial opens a TCP connection that fails soon after the remote side has become
// unreachable, by means of keep-alive probes and the TCP user timeout. A Pool removes the
// user timeout for long requests.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, tcpUserTimeout)
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// allowPauses removes the TCP user timeout, so that the server may pause while it reads a
// long request. The timeout isn't set again: what the server hasn't read may still fill its
// window during the next request.
func (c *conn) allowPauses() { applyUserTimeout(c.Conn, 0) }

// limitPauses sets the TCP user timeout on a connection that was accepted.
func limitPauses(c net.Conn) { applyUserTimeout(c, tcpUserTimeout) }

func applyUserTimeout(c net.Conn, timeout time.Duration) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, timeout) // fails if the connection is closed, and then the next write does
	}
}

// setUserTimeout sets the TCP user timeout of a socket; 0 means none.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// parseKeepAliveTimeout returns the idle timeout that a server states in the
// Keep-Alive header, or 0 if there is none.
func parseKeepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Listen listens for TCP connections whose remote sides may read as slowly as they like.
// Keep-alive probes end those that are idle and have become unreachable.
func Listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
	}
	l, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	return patientListener{l}, nil
}
