package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/chicorystall/chicorystall/internal/telemetry"
)

//go:generate go tool stringer -type=loss -linecomment -output=loss_string.go

// loss is how a request ended without a whole answer on its connection, unless its
// handler ended it so.
type loss int

const (
	answerNotSent  loss = iota // answer not sent
	requestDropped             // request dropped
	requestUnread              // request not read
)

// clientConn is a connection from a client. It notes what handlers don't see: net/http
// sends the last part of an answer after its handler has returned, and may close a
// connection on which it has read a request without calling the handler.
type clientConn struct {
	net.Conn
	onLoss func(loss, telemetry.Fields) // called at most once; may be nil

	mu           sync.Mutex
	request      string    // ID of the request in progress, once its handler has parsed it
	received     int64     // bytes read of the request in progress; 0 means that the connection is idle
	early        int64     // bytes read since the last write, which belong to the next request once the answer is sent
	sent         int64     // bytes written since the last answer
	readErr      error     // after which the connection ends for another reason than its server
	readDeadline time.Time // set by net/http
	closing      bool      // closed when it is idle
	ended        bool      // closed or reported
}

type clientConnKey struct{}

// clientConnContext is a function for http.Server.ConnContext.
func clientConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf returns the connection of a request, or nil if it isn't a clientConn.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// begin notes the ID of the request in progress. It does nothing for nil.
func (c *clientConn) begin(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// onState is called when the state of the connection changes.
func (c *clientConn) onState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.received, c.sent, c.readErr = "", c.early, 0, nil
	c.endReads()
}

// closeWhenIdle makes net/http close the connection as soon as no request is in progress
// or arriving. A request that has arrived by then is still answered.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.endReads()
}

// endReads ends the wait for a request if the connection is idle and to be closed. The
// mutex must be held.
func (c *clientConn) endReads() {
	if c.closing && c.received == 0 {
		// It fails only for a connection that is closed already.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closing && c.received == 0 {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements io.Reader. At the end of the wait for a request it reads what has
// arrived at the last moment.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, timedOut := c.received == 0, errors.Is(err, os.ErrDeadlineExceeded)
	if idle && timedOut {
		if n = receiveNow(c.Conn, p, 0); n > 0 {
			err = nil
		}
	}
	c.received += int64(n)
	c.early += int64(n)
	switch {
	case idle && n > 0 && (timedOut || c.closing):
		return n, c.Conn.SetReadDeadline(c.headDeadline())
	case err != nil && !errors.Is(err, net.ErrClosed) && !(idle && timedOut):
		c.readErr = err
	}
	return n, err
}

// headDeadline returns the read deadline for the rest of a head whose first bytes have
// arrived at the end of the wait for them, until net/http sets its own. The mutex must be
// held.
func (c *clientConn) headDeadline() time.Time {
	if now := time.Now(); !c.readDeadline.After(now) {
		return now.Add(defaultHeaderTimeout)
	}
	return c.readDeadline
}

// Write implements io.Writer.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.early = 0
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += int64(n)
	if err != nil {
		c.report(answerNotSent, err)
	}
	return n, err
}

// Close implements io.Closer.
func (c *clientConn) Close() error {
	c.mu.Lock()
	switch {
	case c.request != "" || c.sent > 0 || c.readErr != nil:
	case c.received > 0:
		c.report(requestDropped, nil)
	case receiveNow(c.Conn, make([]byte, 1), peek) > 0:
		c.report(requestUnread, nil)
	}
	c.ended = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, which net/http does before it discards
// the rest of a body.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// clientConns are the connections from clients that are open.
type clientConns struct {
	mu      sync.Mutex
	open    map[*clientConn]bool
	closing bool
	none    chan struct{} // closed when all connections have been closed after closeWhenIdle
}

func (s *clientConns) add(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*clientConn]bool{}
	}
	s.open[c] = true
	if s.closing {
		c.closeWhenIdle()
	}
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.signal()
}

// closeWhenIdle closes each connection as soon as it is idle, also those that are added
// later. The channel that it returns is closed when none is open.
func (s *clientConns) closeWhenIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.none = true, make(chan struct{})
	for c := range s.open {
		c.closeWhenIdle()
	}
	none := s.none
	s.signal()
	return none
}

// signal closes the channel if no connection is left. The mutex must be held.
func (s *clientConns) signal() {
	if s.none != nil && len(s.open) == 0 {
		close(s.none)
		s.none = nil
	}
}

// report calls onLoss unless the connection has ended before. The mutex must be held.
func (c *clientConn) report(l loss, err error) {
	if c.ended || c.onLoss == nil {
		return
	}
	c.ended = true
	fields := telemetry.Fields{"cause": l.String(), "received": c.received, "sent": c.sent}
	if c.request != "" {
		fields["request"] = c.request
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.onLoss(l, fields)
}

// peek is a flag of receiveNow that leaves what it receives on the connection.
const peek = unix.MSG_PEEK

// receiveNow receives what has arrived on a connection without waiting, and returns the
// number of bytes. It returns 0 for connections that aren't sockets.
func receiveNow(c io.Reader, p []byte, flags int) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// Unlike RawConn.Read, Control doesn't fail after a read deadline.
	err = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), p, flags|unix.MSG_DONTWAIT) })
	if err != nil {
		return 0
	}
	return max(n, 0)
}
