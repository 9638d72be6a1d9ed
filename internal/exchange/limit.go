package exchange

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"

	"github.com/chicorystall/chicorystall/internal/answer"
)

//go:generate go tool stringer -type=Part -linecomment -output=part_string.go

// Limits for answers of backend servers.
const (
	// maxHeadBytes is the largest size of an answer's head, including informational
	// responses before it. It is four times the limit for the head of a client's request
	// in the platform's documentation.
	maxHeadBytes = 64 << 10
	// maxInformationalAnswers is the largest number of informational responses before
	// an answer. Common servers send at most one 100 and a few 103.
	maxInformationalAnswers = 5
	// maxForeignAnswers is the largest number of answers to other requests that are
	// skipped before the answer to a request.
	maxForeignAnswers = 3
	// maxDrainBytes is the size from which on the body of an answer to another request
	// is not read to its end, so that the connection fails.
	maxDrainBytes = 64 << 10
	noLimit       = math.MaxInt
)

// Part is a part of an answer with a size limit.
type Part int

// Parts of an answer. The texts are used in metric labels.
const (
	Head          Part = iota // head
	Informational             // informational answers
	OtherAnswer               // answer to another request
	Framing                   // chunk framing
	Event                     // event
	Body                      // body
)

// TooLongError reports that a part of an answer exceeds its limit.
type TooLongError struct {
	Part  Part
	Limit int // in bytes, or a number of informational answers; 0 if net/http enforces the limit
}

// Error implements error.
func (e *TooLongError) Error() string {
	if e.Limit == 0 {
		return fmt.Sprintf("%s too long", e.Part)
	}
	return fmt.Sprintf("%s too long: limit is %d", e.Part, e.Limit)
}

// limitedReader reads from a connection. It limits the size of an answer's head and
// records the error of the last failed read.
type limitedReader struct {
	conn      net.Conn
	remaining int // bytes that may still be read
	err       error
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.err = &TooLongError{Part: Head, Limit: maxHeadBytes}
		return 0, r.err
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	if r.remaining != noLimit {
		r.remaining -= n
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

func (r *limitedReader) removeLimit() { r.remaining = noLimit }

// limitHead limits the bytes that are read until removeLimit is called.
func (c *conn) limitHead() { c.input.remaining = maxHeadBytes - c.reader.Buffered() }

// readError returns the error for an answer that net/http failed to read with err.
// An error of the connection or of the size limit takes precedence, since net/http
// may have parsed the data before it as a complete line and reported that as
// malformed.
func (c *conn) readError(err error) error {
	switch {
	case c.input.err == io.EOF:
		return io.ErrUnexpectedEOF
	case c.input.err != nil:
		return c.input.err
	}
	return answer.Malformed(err.Error())
}

// bodyReadError is like readError, but for a body. net/http limits what precedes or
// separates the data of chunks to 16 KiB in a row, and trailers to the size of the
// read buffer. These limits are recognized by the texts of net/http's errors.
func (c *conn) bodyReadError(err error) error {
	if c.input.err != nil {
		return c.readError(err)
	}
	for _, text := range []string{http.ErrLineTooLong.Error(), "too much non-data", "long trailer"} {
		if strings.Contains(err.Error(), text) {
			return &TooLongError{Part: Framing}
		}
	}
	return c.readError(err)
}
