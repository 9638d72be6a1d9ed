package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/chicorystall/chicorystall/internal/exchange"
)

const eventReadBufferBytes = 4 << 10

// event is one server-sent event with the bytes that the backend server sent,
// including the blank line at its end.
type event struct {
	data  []byte // valid until the next event is read
	id    int64
	hasID bool
}

// eventReader splits a stream into events. An event has at most maxBufferedBytes.
type eventReader struct {
	reader *bufio.Reader
	buf    []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventReadBufferBytes)}
}

// next reads one complete event. It returns io.EOF if the stream ended between
// two events, and io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	var e event
	for {
		start := len(r.buf)
		line, err := r.readLine()
		if err != nil {
			if err == io.EOF && start+len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		switch text := bytes.TrimRight(line, "\r\n"); {
		case len(text) == 0:
			e.data = r.buf
			return e, nil
		default:
			if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
				id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
				e.id, e.hasID = id, err == nil
			}
		}
	}
}

// readLine appends one line, including its line feed, to the buffer and returns it.
func (r *eventReader) readLine() ([]byte, error) {
	start := len(r.buf)
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.buf)+len(part) > maxBufferedBytes {
			return nil, &exchange.TooLongError{Part: exchange.Event, Limit: maxBufferedBytes}
		}
		r.buf = append(r.buf, part...)
		if err == nil {
			return r.buf[start:], nil
		}
		if err != bufio.ErrBufferFull {
			return r.buf[start:], err
		}
	}
}

// hasBuffered reports whether bytes are buffered, so that another event may be
// available without waiting.
func (r *eventReader) hasBuffered() bool { return r.reader.Buffered() > 0 }
