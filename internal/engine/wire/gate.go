package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrSealed is the write error of a connection whose request may not be written.
var ErrSealed = errors.New("request may not be written on this connection")

// Gate guards the writing of one request. It lets a single connection write
// the request, however often net/http would like to send it again.
type Gate struct {
	// Check decides whether the request may use a connection; nil allows all.
	Check func(*Conn) error

	mu      sync.Mutex
	conn    *Conn // the connection that may write
	wrote   bool
	sealed  bool
	refusal error
}

// Context returns a context for the request that the gate guards.
func (g *Gate) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn})
}

// Seal forbids any further first write and reports whether a write may have
// happened. Once it has returned false, no byte of the request will be written.
func (g *Gate) Seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.wrote
}

// Refusal returns the error of Check for the last connection that was tried.
func (g *Gate) Refusal() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusal
}

func (g *Gate) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		g.assumeWritten()
		return
	}
	conn.setGate(g)
	g.admit(conn)
}

// assumeWritten covers a connection that was not dialled through Dial.
func (g *Gate) assumeWritten() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrote = true
}

func (g *Gate) admit(conn *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wrote {
		return
	}
	g.conn, g.refusal = conn, nil
	if g.Check == nil {
		return
	}
	if g.refusal = g.Check(conn); g.refusal != nil {
		g.conn = nil
	}
}

// mayWrite counts the write as done before it is tried. It tells whether it is
// the request's first one.
func (g *Gate) mayWrite(conn *Conn) (first, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first = !g.wrote
	if !disabledGate && (g.conn != conn || g.sealed && first) {
		return false, false
	}
	g.wrote = true
	return first, true
}

// undoWrite takes back the first write, of which the kernel took no byte.
func (g *Gate) undoWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrote = false
}

// disabledGate lets every write through, so that a test can show what the gate
// prevents.
var disabledGate bool

// Conn is a connection whose writes pass the gate of the request that uses it.
type Conn struct {
	net.Conn
	BootID string // process that answered when the connection was opened, if it was asked

	mu   sync.Mutex
	gate *Gate
}

// Write writes to the connection if the current request's gate allows it.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	gate := c.gate
	c.mu.Unlock()
	if gate == nil {
		return c.Conn.Write(b)
	}
	first, ok := gate.mayWrite(c)
	if !ok {
		return 0, ErrSealed
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		gate.undoWrite()
	}
	return n, err
}

func (c *Conn) setGate(g *Gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = g
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections are of type *Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// NewRequest returns a request whose body net/http cannot rewind, so that it
// never sends the request a second time on its own. A GET without a body is the
// exception.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if method == http.MethodGet && len(body) == 0 {
		return req, nil
	}
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body)) // also when empty: http.NoBody may be sent again
	return req, nil
}
