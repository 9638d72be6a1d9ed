package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/exchange"
)

const endlessBytes = 16 << 20 // where the endless streams of these tests stop

// repeatingReader returns first, followed by again over and over, up to endlessBytes.
type repeatingReader struct {
	first, again []byte
	read         int // bytes returned so far
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.read >= endlessBytes {
		return 0, io.EOF
	}
	for i := range p {
		if at := r.read + i; at < len(r.first) {
			p[i] = r.first[at]
		} else {
			p[i] = r.again[(at-len(r.first))%len(r.again)]
		}
	}
	r.read += len(p)
	return len(p), nil
}

func TestEndlessEventIsRejected(t *testing.T) {
	for _, c := range []struct{ name, first, again string }{
		{"one line", "data: ", "x"},
		{"lines of data", "", "data: x\n"},
		{"comments", "id: 1\n", ":\n"},
		{"carriage returns", "data: x", "\r"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			source := &repeatingReader{first: []byte(c.first), again: []byte(c.again)}
			reader := newEventReader(source)
			_, err := reader.next()
			var long *exchange.TooLongError
			g.Expect(errors.As(err, &long)).To(BeTrue(), "error %v after %d bytes", err, source.read)
			g.Expect(long.Part).To(Equal(exchange.Event))
			g.Expect(source.read).To(BeNumerically("<=", maxBufferedBytes+eventReadBufferBytes))
			g.Expect(cap(reader.buf)).To(BeNumerically("<=", 2*maxBufferedBytes))
		})
	}
}

// readEvents returns the events of a stream and the error that ended it.
func readEvents(r io.Reader) (events []string, err error) {
	reader := newEventReader(r)
	for {
		e, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.data))
	}
}

// FuzzEventReader checks that events don't depend on how their bytes are split into
// reads, and that no more than the bound is buffered of an endless event.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\r\ndata: b\r\n\r\n"), []byte("data: x\n"))
	f.Add([]byte("data: a\n\ndata"), []byte("x"))
	f.Add([]byte("\n\r\n:\n"), []byte("\r\n"))
	f.Add([]byte("id: 1\n"), []byte("\r"))
	f.Add([]byte{}, []byte("id: 2\ndata: b\n\n"))
	f.Fuzz(func(t *testing.T, first, again []byte) {
		g := NewWithT(t)
		events, err := readEvents(bytes.NewReader(first))
		eventsAgain, errAgain := readEvents(iotest.OneByteReader(bytes.NewReader(first)))
		g.Expect(eventsAgain).To(Equal(events))
		g.Expect(errAgain == nil).To(Equal(err == nil))
		if len(again) == 0 {
			return
		}
		source := &repeatingReader{first: first, again: again}
		reader := newEventReader(source)
		for range 10 {
			before := source.read - reader.reader.Buffered()
			e, err := reader.next()
			g.Expect(source.read - before).To(BeNumerically("<=", maxBufferedBytes+eventReadBufferBytes))
			g.Expect(cap(reader.buf)).To(BeNumerically("<=", 2*maxBufferedBytes))
			if err != nil {
				return
			}
			g.Expect(len(e.data)).To(BeNumerically("<=", maxBufferedBytes))
		}
	})
}
