package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
)

// Defaults of Pool.
const (
	DefaultDialTimeout  = 400 * time.Millisecond // several times a round trip between data centres
	DefaultIdleTimeout  = 4 * time.Second
	DefaultMaxIdleConns = 8 // per backend server
)

var (
	// ErrNotSent marks a request of which nothing was sent to the server.
	ErrNotSent = errors.New("request was not sent")
	// ErrForeignAnswer marks the failure of a request because the connection carried
	// only answers to other requests.
	ErrForeignAnswer = errors.New("answers belong to other requests")
)

// NotSent reports whether nothing of the request was sent to the server.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// Server identifies a backend server. The pool keeps connections by ID and
// address, so that another server at the same address gets new ones.
type Server struct {
	ID      string
	Address string // IP and port
}

// Request is a request as it is written to a backend server.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header // without hop-by-hop headers
	Body   []byte
	// NeedsFreshConn asks for a new connection, or one that was idle for a short time only. It
	// is meant for requests that can't be retried and so must not be lost if the server
	// closes an idle connection.
	NeedsFreshConn bool
	// OwnsAnswer reports whether an answer belongs to this request; nil accepts any answer.
	// reused states whether the connection has carried an earlier request or an answer
	// to another one.
	OwnsAnswer func(status int, header http.Header, reused bool) bool
}

// Answer is the answer of a backend server. The caller must close the body. The
// connection is reused only if the body was read to its end.
type Answer struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // of the body as declared; -1 if it was not
	Reused        bool  // the connection has carried an earlier request
	// EndsWithConn is set if the body has neither a length nor chunks, so that its end
	// can't be told from that of the server's process.
	EndsWithConn bool
}

// Pool is a pool of connections to backend servers. The zero value is ready to use.
type Pool struct {
	DialTimeout  time.Duration
	IdleTimeout  time.Duration // after which an idle connection is not reused; 0 means DefaultIdleTimeout
	MaxIdleConns int           // per backend server; 0 means DefaultMaxIdleConns
	Dial         func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	OnDial       func(d time.Duration, err error) // if not nil, called after each attempt to connect

	mu   sync.Mutex
	idle map[Server][]*conn
}

// freshIdleTimeout replaces IdleTimeout, if that is longer, for requests that need a
// fresh connection.
const freshIdleTimeout = 300 * time.Millisecond

// Do sends a request and returns its answer after reading the head. When the
// context ends, the connection is closed, even while the body is being read. After
// an error other than ErrNotSent, the server may have run the request or not.
func (p *Pool) Do(ctx context.Context, server Server, r *Request) (*Answer, error) {
	c, err := p.getConn(ctx, server, r.NeedsFreshConn)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		p.keepIdle(server, c) // idle since it was before
		return nil, errors.Mark(err, ErrNotSent)
	}
	reused := c.requestCount > 0
	c.requestCount++
	stop := context.AfterFunc(ctx, func() { c.Close() })
	write := c.writeRequest(r)
	resp, reusable, err := c.readAnswer(r, reused)
	if err != nil {
		stop()
		c.Close()
		if writeErr, _ := write.Result(); errors.Is(writeErr, errOutOfReach) { // which is why the connection was closed
			err = writeErr
		}
		if ctx.Err() != nil {
			err = errors.Wrap(context.Cause(ctx), "no answer")
		}
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, server: server, conn: c, stop: stop, write: write, reusable: reusable}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: answer.Body(ctx, resp, write), ContentLength: resp.ContentLength,
		Reused: reused, EndsWithConn: answer.EndsWithConn(resp),
	}, nil
}

func (p *Pool) getConn(ctx context.Context, server Server, needsFresh bool) (*conn, error) {
	now := time.Now()
	idleTimeout := p.IdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = DefaultIdleTimeout
	}
	if needsFresh {
		idleTimeout = min(idleTimeout, freshIdleTimeout)
	}
	for {
		c := p.takeIdle(server)
		if c == nil {
			break
		}
		if c.isUsable(now, idleTimeout) {
			return c, nil
		}
		c.Close()
	}
	return p.connect(ctx, server)
}

// Connect opens another connection to a server and keeps it for a later request.
func (p *Pool) Connect(ctx context.Context, server Server) error {
	c, err := p.connect(ctx, server)
	if err == nil {
		p.keepIdle(server, c)
	}
	return err
}

func (p *Pool) connect(ctx context.Context, server Server) (*conn, error) {
	now := time.Now()
	dial, timeout := p.Dial, p.DialTimeout
	if dial == nil {
		dial = Dial
	}
	if timeout <= 0 {
		timeout = DefaultDialTimeout
	}
	netConn, err := dial(ctx, server.Address, timeout)
	if p.OnDial != nil {
		p.OnDial(time.Since(now), err)
	}
	if err != nil {
		return nil, err
	}
	c := newConn(netConn)
	c.idleSince = time.Now()
	return c, nil
}

func (p *Pool) takeIdle(server Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[server] = conns[:len(conns)-1]
	return c
}

// putIdle keeps a connection whose answer was read.
func (p *Pool) putIdle(server Server, c *conn) {
	c.idleSince = time.Now()
	p.keepIdle(server, c)
}

func (p *Pool) keepIdle(server Server, c *conn) {
	limit := p.MaxIdleConns
	if limit <= 0 {
		limit = DefaultMaxIdleConns
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[server]) >= limit {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[Server][]*conn{}
	}
	p.idle[server] = append(p.idle[server], c)
}

// CloseUnused closes the idle connections to servers for which inUse returns false, and
// those that have been idle for longer than IdleTimeout.
func (p *Pool) CloseUnused(now time.Time, inUse func(Server) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleTimeout := p.IdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = DefaultIdleTimeout
	}
	for server, conns := range p.idle {
		serverInUse := inUse(server)
		conns = slices.DeleteFunc(conns, func(c *conn) bool {
			if serverInUse && now.Sub(c.idleSince) < idleTimeout {
				return false
			}
			c.Close()
			return true
		})
		if len(conns) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = conns
	}
}

// CloseIdle closes the idle connections to a server. Callers use it after a connection
// to the server has failed.
func (p *Pool) CloseIdle(server Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[server] {
		c.Close()
	}
	delete(p.idle, server)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.CloseUnused(time.Now(), func(Server) bool { return false })
}

// body is the body of an answer. Close returns the connection to the pool if the
// request was written and the answer read completely, and otherwise closes it.
type body struct {
	io.ReadCloser
	pool       *Pool
	server     Server
	conn       *conn
	stop       func() bool
	write      answer.Write
	reusable   bool
	reachedEOF bool
	closed     bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.reachedEOF = true
	case err != nil:
		err = b.conn.bodyReadError(err)
	}
	return n, err
}

func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notCanceled := b.stop()
	writeErr, written := b.write.Result()
	if notCanceled && b.reachedEOF && b.reusable && written && writeErr == nil && b.conn.reader.Buffered() == 0 {
		b.pool.putIdle(b.server, b.conn)
		return nil
	}
	return b.conn.Close()
}
