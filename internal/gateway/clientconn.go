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
// handler ended it so or its client left.
type loss int

const (
	answerNotSent  loss = iota // answer not sent
	requestDropped             // request dropped
	requestUnread              // request not read
)

// clientConn is a connection from a client, as net/http uses it. It can be closed as soon
// as it is idle, which net/http itself takes a connection to be until it has parsed a
// whole head. And it notes what handlers don't see: net/http sends the last part of an
// answer after its handler has returned, and may close a connection on which it has read
// a request without calling the handler.
//
// For each request, net/http sets a read deadline for the wait, reads, sets one for the
// head, and calls the handler, while it reads on in the background. After the answer it
// calls onState with StateIdle.
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
	deadlinesSet int       // number of read deadlines that net/http has set since the last answer
	closing      bool      // closed when it is idle
	ended        bool      // closed, reported, or ended by a handler
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
	c.applyReadDeadline()
}

// cut notes that the handler ends the connection on purpose. It does nothing for nil.
func (c *clientConn) cut() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// onState is called when the state of the connection changes.
func (c *clientConn) onState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.received, c.sent, c.readErr, c.deadlinesSet = "", c.early, 0, nil, 0
	c.applyReadDeadline()
}

// closeWhenIdle makes net/http close the connection as soon as no request is in progress
// or arriving. A request that has arrived by then is still answered.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.applyReadDeadline()
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.deadlinesSet++
	if c.deadlinesSet == 2 && c.received == 0 {
		c.received = 1 // at least, as the head has begun; it was read together with the request before
	}
	if c.closing {
		c.applyReadDeadline()
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// applyReadDeadline replaces the read deadline of a connection that is to be closed: the
// wait for a request ends at once, and a head must arrive within a bounded time. The
// mutex must be held.
func (c *clientConn) applyReadDeadline() {
	if !c.closing {
		return
	}
	deadline := c.readDeadline
	switch {
	case c.received == 0:
		deadline = time.Unix(1, 0)
	case c.request == "":
		deadline = c.headDeadline()
	}
	// It fails only for a connection that is closed already.
	_ = c.Conn.SetReadDeadline(deadline)
}

// headDeadline returns the read deadline for a head whose first bytes have arrived, if it
// is not to be that of the wait for it. The mutex must be held.
func (c *clientConn) headDeadline() time.Time {
	now := time.Now()
	if limit := now.Add(defaultHeaderTimeout); !c.readDeadline.After(now) || limit.Before(c.readDeadline) {
		return limit
	}
	return c.readDeadline
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

// Write implements io.Writer.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.early = 0
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.sent += int64(n)
	c.mu.Unlock()
	// Other errors are the client's: it has left.
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		c.report(answerNotSent, err)
	}
	return n, err
}

// Close implements io.Closer.
func (c *clientConn) Close() error {
	c.mu.Lock()
	inHandler, clientEnded, received := c.request != "" || c.sent > 0, c.readErr != nil, c.received
	c.mu.Unlock()
	switch {
	case inHandler: // a write that fails afterwards tells
	case clientEnded:
		c.cut()
	case received > 0:
		c.report(requestDropped, nil)
	case receiveNow(c.Conn, make([]byte, 1), peek) > 0:
		c.report(requestUnread, nil)
	default:
		c.cut()
	}
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

// report calls onLoss unless the end of the connection is known.
func (c *clientConn) report(l loss, err error) {
	c.mu.Lock()
	known := c.ended
	c.ended = true
	fields := telemetry.Fields{"cause": l.String(), "received": c.received, "sent": c.sent}
	if c.request != "" {
		fields["request"] = c.request
	}
	c.mu.Unlock()
	if known || c.onLoss == nil {
		return
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
