package answer

import (
	"context"
	"io"
	"net"
	"time"
)

// DialFunc opens a connection. net.Dialer.DialContext is a DialFunc.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// maxWriteWait is how long a read waits at the end of the connection for a write that is
// under way. One that has met a reset returns at once.
const maxWriteWait = time.Second

// Dial returns a DialFunc whose connections report the error of a failed write to the
// reads after it, which otherwise see only the end of the connection. A nil dial is that
// of the zero net.Dialer.
func Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, lock: make(chan struct{}, 1)}, nil
	}
}

// conn is a connection whose reads report the error of a failed write.
type conn struct {
	net.Conn
	lock     chan struct{} // holds an element during a write, and while writeErr is used
	writeErr error         // of the first write that failed
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	select {
	case c.lock <- struct{}{}:
	case <-time.After(maxWriteWait):
		return n, ErrEarlyEnd
	}
	defer func() { <-c.lock }()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}
