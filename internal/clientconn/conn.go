package clientconn

import (
	"context"
	"crypto/tls"
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

//go:generate go tool stringer -type=Loss -linecomment -output=loss_string.go

// Loss is how a request ended without a whole answer on its connection, unless its
// handler ended it so or its client left.
type Loss int

// The losses.
const (
	AnswerNotSent  Loss = iota // answer not sent
	RequestDropped             // request dropped
	RequestUnread              // request not read
)

// Conn is a connection from a client, as net/http uses it. It can be closed as soon
// as it is idle, which net/http itself takes a connection to be until it has parsed a
// whole head. And it notes what handlers don't see: net/http sends the last part of an
// answer after its handler has returned, and may close a connection on which it has read
// a request without calling the handler.
//
// For each request, net/http sets a read deadline for the wait, reads, sets one for the
// head, and calls the handler, while it reads on in the background. After the answer it
// calls onState with StateIdle.
type Conn struct {
	net.Conn
	OnLoss func(Loss, telemetry.Fields) // called at most once; may be nil

	mu           sync.Mutex
	handled      bool      // a handler has the request in progress
	request      string    // ID of that request
	received     int64     // bytes read of the request in progress; 0 means that the connection is idle
	early        int64     // bytes read since the last write, which belong to the next request once the answer is sent
	sent         int64     // bytes written since the last answer
	readErr      error     // after which the connection ends for another reason than its server
	readDeadline time.Time // set by net/http
	deadlinesSet int       // number of read deadlines that net/http has set since the last answer
	closing      bool      // closed when it is idle
	ended        bool      // closed, reported, or ended by a handler
}

type connKey struct{}

// Context is a function for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(c))
}

// Of returns the connection of a request, or nil if its server doesn't use Context with
// connections of this package.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the connection that a server accepted, which may be below TLS.
func unwrap(c net.Conn) *Conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// Begin notes that a handler has the request, and its ID. Handlers call it before anything
// that takes long. It does nothing for nil.
func (c *Conn) Begin(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.request = true, request
	c.applyReadDeadline()
}

// Cut notes that the handler ends the connection on purpose. It does nothing for nil.
func (c *Conn) Cut() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// onState is called when the state of the connection changes.
func (c *Conn) onState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.request, c.received, c.sent, c.readErr, c.deadlinesSet = false, "", c.early, 0, nil, 0
	c.applyReadDeadline()
}

// closeWhenIdle makes net/http close the connection as soon as no request is in progress
// or arriving. A request that has arrived by then is still answered.
func (c *Conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.applyReadDeadline()
}

// IsClosing reports whether the connection is closed when it is idle.
func (c *Conn) IsClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
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
func (c *Conn) applyReadDeadline() {
	if !c.closing {
		return
	}
	deadline := c.readDeadline
	switch {
	case c.received == 0:
		deadline = time.Unix(1, 0)
	case !c.handled:
		deadline = c.headDeadline()
	}
	// It fails only for a connection that is closed already.
	_ = c.Conn.SetReadDeadline(deadline)
}

// headTimeout is the time for a head on a connection that is to be closed.
const headTimeout = 3 * time.Second

// headDeadline returns the read deadline for a head whose first bytes have arrived, if it
// is not to be that of the wait for it. The mutex must be held.
func (c *Conn) headDeadline() time.Time {
	now := time.Now()
	if limit := now.Add(headTimeout); !c.readDeadline.After(now) || limit.Before(c.readDeadline) {
		return limit
	}
	return c.readDeadline
}

// Read implements io.Reader. At the end of the wait for a request it reads what has
// arrived at the last moment.
func (c *Conn) Read(p []byte) (int, error) {
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
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.early = 0
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.sent += int64(n)
	c.mu.Unlock()
	// Other errors are the client's: it has left.
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		c.report(AnswerNotSent, err)
	}
	return n, err
}

// Close implements io.Closer.
func (c *Conn) Close() error {
	c.mu.Lock()
	inHandler, clientEnded, received := c.handled || c.sent > 0, c.readErr != nil, c.received
	c.mu.Unlock()
	switch {
	case inHandler: // a write that fails afterwards tells
	case clientEnded:
		c.Cut()
	case received > 0:
		c.report(RequestDropped, nil)
	case receiveNow(c.Conn, make([]byte, 1), peek) > 0:
		c.report(RequestUnread, nil)
	default:
		c.Cut()
	}
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, which net/http does before it discards
// the rest of a body.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// report calls OnLoss unless the end of the connection is known.
func (c *Conn) report(l Loss, err error) {
	c.mu.Lock()
	known := c.ended
	c.ended = true
	fields := telemetry.Fields{"cause": l.String(), "received": c.received, "sent": c.sent}
	if c.request != "" {
		fields["request"] = c.request
	}
	c.mu.Unlock()
	if known || c.OnLoss == nil {
		return
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.OnLoss(l, fields)
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
