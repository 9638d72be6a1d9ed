package engine

import (
	"bufio"
	"bytes"
	"io"
)

// event is a server-sent event. Its slices are valid until the next read.
type event struct {
	id   []byte
	data []byte
}

// eventReader parses server-sent events. Lines end with LF or CRLF. Comments, and
// fields other than id and data, are skipped.
type eventReader struct {
	reader    *bufio.Reader
	maxBytes  int // of one event
	id        []byte
	data      []byte
	bytesRead int // bytes read since the last event that was returned
}

func newEventReader(r io.Reader, maxBytes int) *eventReader {
	return &eventReader{reader: bufio.NewReader(r), maxBytes: maxBytes}
}

// next returns the next event that has data. Events without data are skipped, and
// count towards the size of the next one. At the end of the input the error is io.EOF,
// or io.ErrUnexpectedEOF if the input ends inside an event.
func (r *eventReader) next() (event, error) {
	r.reset()
	hasData := false
	for {
		line, err := r.line()
		if err != nil {
			return event{}, r.endError(err, len(line) > 0 || hasData || len(r.id) > 0)
		}
		if len(line) == 0 {
			if hasData {
				return event{id: r.id, data: r.data}, nil
			}
			r.id = r.id[:0]
			continue
		}
		name, value := parseField(line)
		switch string(name) {
		case "id":
			r.id = append(r.id[:0], value...)
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		}
	}
}

func (r *eventReader) reset() {
	r.id, r.data, r.bytesRead = r.id[:0], r.data[:0], 0
}

func (r *eventReader) endError(err error, partial bool) error {
	if err == io.EOF && partial {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line returns the next line without its line ending. It is valid until the next read.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	r.bytesRead += len(line)
	if r.bytesRead > r.maxBytes {
		return line, ErrTooLarge
	}
	if err != nil {
		return line, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// longLine reads the rest of a line that does not fit the buffer.
func (r *eventReader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if r.bytesRead+len(line) > r.maxBytes {
			return line, ErrTooLarge
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

func parseField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}
