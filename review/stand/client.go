package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// client is a client with one connection, which it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// smallWindow gives a connection the segment size of an Ethernet link and a small receive
// buffer, so that the buffers of the loopback device don't hide that a client reads slowly.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	const segmentBytes, bufferBytes = 1448, 16 << 10
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes),
		)
	})
	return errors.Join(controlErr, err)
}

func dial(ctx context.Context, address string) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: smallWindow}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}, nil
}

func (c *client) close() { c.conn.Close() }

// call is a request of a client.
type call struct {
	method, path, id string
	key              string        // empty for apiKey
	budget           time.Duration // X-Deadline-Ms
	model            string        // empty for a plain service
	prompt           int           // tokens
	body             string
}

// send writes a whole request.
func (c *client) send(q call) error {
	key := cmp.Or(q.key, apiKey)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, serveHost, q.id, q.budget.Milliseconds(), key)
	if q.model != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Counts: %d,400\r\nX-Prefix-Hash: %s:%d\r\n", q.model, q.prompt, "5c1e07a2", q.prompt)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// answer is what a client received.
type answer struct {
	header http.Header
	status int // 0 if the connection ended before the head of an answer
	bytes  int // of the body
	whole  bool
	err    error
	took   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %v, after %d ms, error: %v", a.status, a.bytes, a.whole, a.took.Milliseconds(), a.err)
}

// receive reads an answer. pause, if not nil, is called before each read of the body with
// the number of bytes read so far.
func (c *client) receive(sent time.Time, limit time.Duration, pause func(read int)) answer {
	if err := c.conn.SetReadDeadline(sent.Add(limit)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, took: time.Since(sent)}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	buf := make([]byte, 8<<10)
	for {
		if pause != nil {
			pause(a.bytes)
		}
		n, err := resp.Body.Read(buf)
		a.bytes += n
		if err != nil {
			a.whole, a.took = err == io.EOF, time.Since(sent)
			if err != io.EOF {
				a.err = err
			}
			return a
		}
	}
}

// exchange sends a request and reads its answer.
func (c *client) exchange(q call, limit time.Duration, pause func(read int)) answer {
	sent := time.Now()
	if err := c.send(q); err != nil {
		return answer{err: err}
	}
	return c.receive(sent, limit, pause)
}

// waitServed repeats a request, each time with another ID and on a new connection, until it
// is answered with 200.
func waitServed(ctx context.Context, e *env, address string, q call) error {
	id := q.id
	for n := 0; ctx.Err() == nil; n++ {
		c, err := dial(ctx, address)
		if err == nil {
			q.id = fmt.Sprintf("%s-%d", id, n)
			a := c.exchange(q, 5*time.Second, nil)
			c.close()
			if a.status == http.StatusOK && a.whole {
				e.record("client: %s is served", q.path)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s was never served", q.path)
}
