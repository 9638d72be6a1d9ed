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

	"github.com/chicorystall/chicorystall/internal/answer"
)

// ErrSealed is the write error of a connection that the Gate of the current request does
// not allow to write.
var ErrSealed = errors.New("request may not be written on this connection")

// Gate controls the writing of one request. It allows one connection to write the
// request, also if net/http tries to send it again on others.
type Gate struct {
	// Check returns an error if the request must not use the connection. If Check is
	// nil, the request may use any connection.
	Check func(*Conn) error

	mu      sync.Mutex
	conn    *Conn // the connection that may write the request
	wrote   bool
	sealed  bool
	refusal error
}

// Context returns the context to use for the gate's request.
func (g *Gate) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn})
}

// Seal reports whether any byte of the request may have been written. If not, it also
// prevents later writes: once Seal has returned false, no byte will be written.
func (g *Gate) Seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.wrote
}

// Refusal returns the error of Check for the last connection that net/http chose.
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

// assumeWritten counts the request as written. It is for a connection that was not
// opened through Dial, so that its writes do not pass the gate.
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

// startWrite reports whether conn may write, and whether this is the first write of the
// request. It counts the write as done before it is tried, so that Seal never returns
// false during a write.
func (g *Gate) startWrite(conn *Conn) (first, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first = !g.wrote
	if !disabledGate && (g.conn != conn || g.sealed && first) {
		return false, false
	}
	g.wrote = true
	return first, true
}

// undoWrite reverts startWrite after a first write that failed without writing a byte.
func (g *Gate) undoWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrote = false
}

// disabledGate makes the gate allow every write, so that a test can show what the gate
// prevents.
var disabledGate bool

// Conn is a connection whose writes are checked by the Gate of the current request.
type Conn struct {
	net.Conn
	BootID string // of the process at the other end, if the dial function asked for it

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
	first, ok := gate.startWrite(c)
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

// Dial returns a function that opens connections as answer.Dial does and wraps them in a
// *Conn.
func Dial(dial answer.DialFunc) answer.DialFunc {
	dial = answer.Dial(dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// NewRequest returns a request whose body net/http cannot rewind, so that net/http never
// sends the request again on its own. This does not hold for a GET without a body.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if method == http.MethodGet && len(body) == 0 {
		return req, nil
	}
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body)) // also if empty, since net/http may resend a request with http.NoBody
	return req, nil
}
