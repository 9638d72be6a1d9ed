package endless

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
)

//go:generate go tool stringer -type=Part -linecomment -output=part_string.go

// Part is the part of an HTTP answer that never ends.
type Part int

// The parts.
const (
	None                Part = iota // none
	StatusLine                      // status line
	HeaderValue                     // header value
	HeaderLines                     // header lines
	Informational                   // informational answers
	OtherRequestAnswers             // answers to others
	OtherRequestBody                // body of an answer to another
	ChunkExtension                  // chunk extension
	ChunkExtensions                 // chunk extensions
	Trailers                        // trailers
	EventLine                       // event line
	EventLines                      // event lines
	EmptyEvents                     // empty events
	RepeatedEvent                   // repeated event
	Body                            // body
)

// Parts returns all parts except None.
func Parts() []Part {
	var parts []Part
	for p := StatusLine; p <= Body; p++ {
		parts = append(parts, p)
	}
	return parts
}

// MarshalText returns the part's name.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses a part's name.
func (p *Part) UnmarshalText(text []byte) error {
	for _, part := range append(Parts(), None) {
		if part.String() == string(text) {
			*p = part
			return nil
		}
	}
	return fmt.Errorf("unknown part of an endless answer: %q", text)
}

// NoLimit is the limit for writing until the reader closes the connection.
const NoLimit = math.MaxInt64

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	stream  = "Content-Type: text/event-stream\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
	// pieceBytes is the approximate size of each write.
	pieceBytes = 32 << 10
)

// content returns the start of an answer and the text that is repeated after it
// without end. The header lines are left out if the endless part comes before the
// header or belongs to the answer of another request.
func (p Part) content(header string) (start, repeated string) {
	switch p {
	case StatusLine:
		return "HTTP/1.1 200 ", "x"
	case HeaderValue:
		return ok + header + "X-Long: ", "x"
	case HeaderLines:
		return ok + header, "X-Line: value\r\n"
	case Informational:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
	case OtherRequestAnswers:
		return "", ok + "X-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
	case OtherRequestBody:
		return ok + "X-Request-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", "x"
	case ChunkExtension:
		return ok + header + stream + chunked + "1;", "x"
	case ChunkExtensions:
		return ok + header + stream + chunked, "1;" + strings.Repeat("x", 1000) + "\r\n:\r\n"
	case Trailers:
		return ok + header + stream + chunked + "2\r\n:\n\r\n0\r\n", "X-Line: value\r\n"
	case EventLine:
		return ok + header + stream + "\r\ndata: ", "x"
	case EventLines:
		return ok + header + stream + "\r\n", "data: x\n"
	case EmptyEvents:
		return ok + header + stream + "\r\n", ":\n\n"
	case RepeatedEvent:
		return ok + header + stream + "\r\nid: 1\ndata: event 1\n\n", "id: 1\ndata: event 1\n\n"
	}
	return ok + header + "\r\n", "body\n"
}

// Write writes the answer until the reader closes the connection or at least limit
// bytes are written. It returns the number of bytes written.
func (p Part) Write(w io.Writer, header string, limit int64) (int64, error) {
	start, repeated := p.content(header)
	piece := []byte(strings.Repeat(repeated, max(pieceBytes/len(repeated), 1)))
	n, err := io.WriteString(w, start)
	written := int64(n)
	for err == nil && written < limit {
		n, err = w.Write(piece)
		written += int64(n)
	}
	return written, err
}

// Answer writes the answer to the connection of a net/http request, and then closes
// the connection.
func (p Part) Answer(rw http.ResponseWriter, header string, limit int64) error {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = p.Write(conn, header, limit)
	return err
}
