package broken

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection to a server that answers and resets it while the request
// is written. The write meets the reset, so that reads see only the end of the connection,
// and it returns after that was read. Other methods than those below must not be called.
type Conn struct {
	net.Conn
	answer    *strings.Reader
	available int // bytes that can still be written before the reset
	written   func()
	writing   <-chan struct{}
	ended     func()
	end       <-chan struct{}
}

// NewConn returns a connection with an answer, which can be read as soon as a write has
// begun. A write fails if more than size bytes have been written by its end.
func NewConn(answer string, size int) *Conn {
	writing, end := make(chan struct{}), make(chan struct{})
	return &Conn{
		answer: strings.NewReader(answer), available: size,
		written: sync.OnceFunc(func() { close(writing) }), writing: writing,
		ended: sync.OnceFunc(func() { close(end) }), end: end,
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	<-c.writing
	n, err := c.answer.Read(p)
	if err == io.EOF {
		c.ended()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.written()
	if c.available -= len(p); c.available >= 0 {
		return len(p), nil
	}
	<-c.end
	return 0, syscall.ECONNRESET
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.written()
	c.ended()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
