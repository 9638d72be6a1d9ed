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
)

// Defaults of Pool.
const (
	DefaultDialTimeout = 400 * time.Millisecond // several times a round trip between data centres
	DefaultMaxIdle     = 4 * time.Second
	DefaultIdleConns   = 8 // for each backend server
)

var (
	// ErrNotSent marks a request of which the server has received nothing.
	ErrNotSent = errors.New("request was not sent")
	// ErrForeignAnswer marks a connection that carried answers to other requests only.
	ErrForeignAnswer = errors.New("answers belong to other requests")
)

// NotSent reports whether the server has received nothing of the request.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// Server names the backend server that a request is for.
type Server struct {
	ID      string
	Address string // IP and port
}

// Request is a request as it is written to a backend server.
type Request struct {
	Method         string
	Target         string // path and query as the caller sent them
	Host           string
	Header         http.Header // without the headers that concern one connection
	Body           []byte
	NeedsFreshConn bool // needs a connection that was in use a moment ago, or a new one
	// OwnsAnswer reports whether an answer belongs to this request; nil accepts any.
	// The bool tells whether the connection has carried an earlier request.
	OwnsAnswer func(status int, header http.Header, reused bool) bool
}

// Answer is the answer of a backend server. Its body must be closed; only when
// it was read to its end is the connection used again.
type Answer struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // -1 when not declared
	Reused        bool
}

// Pool keeps connections to backend servers. The zero value is ready.
type Pool struct {
	DialTimeout time.Duration
	MaxIdle     time.Duration // longest time that a connection stays idle
	IdleConns   int           // idle connections kept for each backend server
	Dial        func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	OnDial      func(d time.Duration, err error) // nil or told of each new connection

	mu   sync.Mutex
	idle map[Server][]*conn
}

// freshIdle is how long a connection may have been idle for a request that
// must not be lost with it.
const freshIdle = 300 * time.Millisecond

// Do sends a request and returns the head of its answer. When the context ends,
// the connection is closed, also while the body is read. An error that is not
// ErrNotSent leaves open whether the request ran.
func (p *Pool) Do(ctx context.Context, server Server, r *Request) (*Answer, error) {
	c, err := p.conn(ctx, server, r.NeedsFreshConn)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		p.put(server, c)
		return nil, errors.Mark(err, ErrNotSent)
	}
	reused := c.used > 0
	c.used++
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := c.write(r)
	answer, keep, err := c.read(r, reused)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.Wrap(context.Cause(ctx), "no answer")
		}
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, pool: p, server: server, conn: c, stop: stop, written: written, keep: keep}
	answer.Reused = reused
	return answer, nil
}

func (p *Pool) conn(ctx context.Context, server Server, fresh bool) (*conn, error) {
	now := time.Now()
	maxIdle := p.MaxIdle
	if maxIdle <= 0 {
		maxIdle = DefaultMaxIdle
	}
	if fresh {
		maxIdle = min(maxIdle, freshIdle)
	}
	for {
		c := p.take(server)
		if c == nil {
			break
		}
		if c.fit(now, maxIdle) {
			return c, nil
		}
		c.Close()
	}
	dial, timeout := p.Dial, p.DialTimeout
	if dial == nil {
		dial = Dial
	}
	if timeout <= 0 {
		timeout = DefaultDialTimeout
	}
	raw, err := dial(ctx, server.Address, timeout)
	if p.OnDial != nil {
		p.OnDial(time.Since(now), err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *Pool) take(server Server) *conn {
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

func (p *Pool) put(server Server, c *conn) {
	limit := p.IdleConns
	if limit <= 0 {
		limit = DefaultIdleConns
	}
	c.idleSince = time.Now()
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

// CloseUnused closes the idle connections of all servers that keep does not name, and
// those that have been idle for too long.
func (p *Pool) CloseUnused(now time.Time, keep func(Server) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle := p.MaxIdle
	if maxIdle <= 0 {
		maxIdle = DefaultMaxIdle
	}
	for server, conns := range p.idle {
		known := keep(server)
		conns = slices.DeleteFunc(conns, func(c *conn) bool {
			if known && now.Sub(c.idleSince) < maxIdle {
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

// CloseIdle closes the idle connections to a server, after one of them failed.
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

// body returns its connection to the pool when the answer was read whole.
type body struct {
	io.ReadCloser
	pool    *Pool
	server  Server
	conn    *conn
	stop    func() bool
	written <-chan error
	keep    bool
	whole   bool
	closed  bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.whole = true
	case err != nil:
		err = b.conn.bodyFailure(err)
	}
	return n, err
}

func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	live := b.stop()
	written := false
	select {
	case err := <-b.written:
		written = err == nil
	default:
	}
	if live && b.whole && b.keep && written && b.conn.reader.Buffered() == 0 {
		b.pool.put(b.server, b.conn)
		return nil
	}
	return b.conn.Close()
}
