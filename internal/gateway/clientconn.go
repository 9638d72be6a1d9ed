package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

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

	mu       sync.Mutex
	request  string // ID of the request in progress, once its handler has parsed it
	received int64  // bytes read since the last answer
	sent     int64  // bytes written since the last answer
	readErr  error  // after which the connection ends for another reason than its server
	ended    bool   // closed or reported
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
	c.request, c.received, c.sent, c.readErr = "", 0, 0, nil
}

// Read implements io.Reader.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.readErr = err
	}
	return n, err
}

// Write implements io.Writer.
func (c *clientConn) Write(p []byte) (int, error) {
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
