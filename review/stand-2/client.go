package stand2

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a client's request.
type Request struct {
	Method, Path, ID string
	Deadline         time.Duration
	Key              string // empty for Key
	Header           map[string]string
	Body             []byte
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // there is no complete answer
}

// Client sends requests and keeps connections.
type Client struct{ transport http.Transport }

// Send sends a request to an entry instance and reads the answer to its end.
func (c *Client) Send(ctx context.Context, e *Entry, r Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Front+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", r.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+cmp.Or(r.Key, Key))
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}

// Stream returns a request for a stream whose prompt has the given parts.
func Stream(id, parts string) Request {
	return Request{
		Method: http.MethodPost, Path: "/reply/2f", ID: id, Deadline: 6 * time.Second, Body: bytes.Repeat([]byte("x"), 700),
		Header: map[string]string{"X-Model": Model, "X-Token-Counts": "714,80", "X-Prefix-Hash": parts},
	}
}

// String describes an answer for a record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d", a.Status)
}
