package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// Request is a completion request for a model engine.
type Request struct {
	ID       string
	Path     string // ChatPath or CompletionPath
	Body     []byte // JSON of the OpenAI API; "stream" must agree with the method called
	Priority int
	BootID   string // the process to send it to; empty for any
}

// Chunk is an event of a streamed answer. Data is valid until the next read.
type Chunk struct {
	Number int // counts from 1 without gaps
	Data   []byte
}

// Stats counts the chunks that a stream dropped.
type Stats struct {
	Repeated     int // chunks with a number that was read before
	WrongRequest int // chunks of another request
}

// Stream is a streamed answer. It is not safe for concurrent use.
type Stream struct {
	BootID string
	Group  string
	Epoch  int64
	Stats  Stats

	requestID       string
	body            io.ReadCloser
	events          *eventReader
	nextNumber      int
	droppedBytes    int // since the last chunk
	maxDroppedBytes int // limit on droppedBytes
	endErr          error
}

// Stream sends the request and returns the stream of its answer. An error is a
// *CallError or a *RefusedError. The stream ends when ctx ends.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	resp, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.newStream(resp, r.ID, 1)
}

// Resume returns the stream of the answer to a request that was sent before, from the
// chunk with the number from.
func (c *Client) Resume(ctx context.Context, r Request, from int) (*Stream, error) {
	resp, err := c.sender.send(ctx, r.BootID, func(ctx context.Context) (*http.Request, error) {
		return wire.NewRequest(ctx, http.MethodGet, c.streamURL(r.ID)+"?From="+strconv.Itoa(from), nil)
	})
	if err != nil {
		return nil, err
	}
	return c.newStream(resp, r.ID, from)
}

// Cancel tells the engine to stop working on a request.
func (c *Client) Cancel(ctx context.Context, r Request) error {
	return c.call(ctx, http.MethodDelete, StreamPath+url.PathEscape(r.ID), r.BootID, nil, nil)
}

func (c *Client) streamURL(id string) string {
	return "http://" + c.options.Address + StreamPath + url.PathEscape(id)
}

func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	return c.sender.send(ctx, r.BootID, func(ctx context.Context) (*http.Request, error) {
		req, err := wire.NewRequest(ctx, http.MethodPost, "http://"+c.options.Address+r.Path, r.Body)
		if err != nil {
			return nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(HeaderRequestID, r.ID)
		req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
		return req, nil
	})
}

func (c *Client) newStream(resp *http.Response, id string, from int) (*Stream, error) {
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	if got := resp.Header.Get(HeaderRequestID); got != id {
		resp.Body.Close()
		return nil, &CallError{Sent: true, Err: errors.Wrapf(ErrWrongRequest, "answer header has request ID %q, want %q", got, id)}
	}
	epoch, _ := strconv.ParseInt(resp.Header.Get(HeaderEpoch), 10, 64)
	return &Stream{
		BootID:          resp.Header.Get(HeaderBootID),
		Group:           resp.Header.Get(HeaderGroup),
		Epoch:           epoch,
		requestID:       id,
		body:            resp.Body,
		events:          newEventReader(resp.Body, c.options.MaxEventBytes),
		nextNumber:      from,
		maxDroppedBytes: c.options.MaxAnswerBytes,
	}, nil
}

// NextNumber returns the number of the next chunk, from which to resume.
func (s *Stream) NextNumber() int { return s.nextNumber }

// Next returns the next chunk. It returns io.EOF after the end mark. Any other error is
// a *CallError and means that the answer is incomplete.
func (s *Stream) Next() (Chunk, error) {
	if s.endErr != nil {
		return Chunk{}, s.endErr
	}
	for {
		chunk, ok, err := s.readChunk()
		if err != nil {
			s.end(err)
			return Chunk{}, s.endErr
		}
		if ok {
			s.droppedBytes = 0
			return chunk, nil
		}
		if s.droppedBytes += s.events.bytesRead; s.droppedBytes > s.maxDroppedBytes {
			s.end(errors.Wrapf(ErrTooLarge, "%d bytes dropped since the last chunk", s.droppedBytes))
			return Chunk{}, s.endErr
		}
	}
}

// Close stops reading. The engine keeps the answer for some seconds, so that the stream
// can be resumed.
func (s *Stream) Close() error { return s.body.Close() }

func (s *Stream) end(err error) {
	s.endErr = err
	if err != io.EOF {
		s.endErr = &CallError{Sent: true, Err: err}
	} else if body, ok := s.body.(*idleTimeoutBody); ok {
		body.drain()
	}
	s.body.Close()
}

// endMark is the data of the event that follows the last chunk.
var endMark = []byte("[DONE]")

// readChunk reads one event. It returns false if the event is dropped.
func (s *Stream) readChunk() (Chunk, bool, error) {
	ev, err := s.events.next()
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return Chunk{}, false, ErrTruncated
	}
	if err != nil {
		return Chunk{}, false, err
	}
	number, err := strconv.Atoi(string(ev.id))
	if err != nil {
		return Chunk{}, false, errors.Wrap(err, "parse chunk number")
	}
	isEnd := bytes.Equal(ev.data, endMark)
	switch {
	case !isEnd && !s.hasRequestID(ev.data):
		s.Stats.WrongRequest++
		return Chunk{}, false, nil
	case number < s.nextNumber:
		s.Stats.Repeated++
		return Chunk{}, false, nil
	case number > s.nextNumber:
		return Chunk{}, false, errors.Wrapf(ErrMissingChunk, "got chunk %d, want %d", number, s.nextNumber)
	case isEnd:
		return Chunk{}, false, io.EOF
	}
	s.nextNumber++
	return Chunk{Number: number, Data: ev.data}, true, nil
}

// hasRequestID reports whether the chunk's JSON has the ID of the stream's request.
// It decodes the JSON only if the ID is not at its beginning.
func (s *Stream) hasRequestID(data []byte) bool {
	if disabledIDCheck {
		return true
	}
	const prefix = `{"id":"`
	if rest, ok := bytes.CutPrefix(data, []byte(prefix)); ok {
		rest, ok = bytes.CutPrefix(rest, []byte(s.requestID))
		if ok && bytes.HasPrefix(rest, []byte(`"`)) {
			return true
		}
	}
	var object struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &object) == nil && object.ID == s.requestID
}

// disabledIDCheck turns the check of request IDs off, so that a test can show what the
// check prevents.
var disabledIDCheck bool
