package engine

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

const testEventBytes = 64

// readEvents returns the events as "id|data" and the error that ended them.
func readEvents(r io.Reader) ([]string, error) {
	reader := newEventReader(r, testEventBytes)
	var events []string
	for {
		ev, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(ev.id)+"|"+string(ev.data))
	}
}

func TestEventReader(t *testing.T) {
	tests := []struct {
		name   string
		input  string
		events []string
		err    error
	}{
		{"empty", "", nil, io.EOF},
		{"one", "id: 1\ndata: a\n\n", []string{"1|a"}, io.EOF},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", []string{"1|a"}, io.EOF},
		{"no space", "id:1\ndata:a\n\n", []string{"1|a"}, io.EOF},
		{"two lines of data", "data: a\ndata: b\n\n", []string{"|a\nb"}, io.EOF},
		{"empty data", "data\n\n", []string{"|"}, io.EOF},
		{"comment", ": waiting\n\ndata: a\n\n", []string{"|a"}, io.EOF},
		{"id without data", "id: 1\n\ndata: a\n\n", []string{"|a"}, io.EOF},
		{"other field", "event: x\nretry: 5\ndata: a\n\n", []string{"|a"}, io.EOF},
		{"cut after the data", "data: a\n\nid: 2\ndata: b\n", []string{"|a"}, io.ErrUnexpectedEOF},
		{"cut inside a line", "data: a\n\ndat", []string{"|a"}, io.ErrUnexpectedEOF},
		{"line too long", "data: " + strings.Repeat("x", testEventBytes), nil, ErrTooLarge},
		{"too many lines", strings.Repeat("data: x\n", testEventBytes), nil, ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			events, err := readEvents(strings.NewReader(test.input))
			g.Expect(events).To(Equal(test.events))
			g.Expect(err).To(MatchError(test.err))
		})
	}
}

// FuzzEventReader checks that the events do not depend on how the input is split into
// reads, and stay within the size limit.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\r\ndata: b\r\n\r\n"))
	f.Add([]byte("data: a\n\ndata"))
	f.Add([]byte("\n\r\n:\n"))
	f.Add(bytes.Repeat([]byte("data: x\n"), 20))
	f.Fuzz(func(t *testing.T, input []byte) {
		g := NewWithT(t)
		events, err := readEvents(bytes.NewReader(input))
		bytewise, bytewiseErr := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		g.Expect(bytewise).To(Equal(events))
		g.Expect(bytewiseErr).To(Equal(err))
		for _, ev := range events {
			g.Expect(len(ev)).To(BeNumerically("<=", testEventBytes))
		}
	})
}
