package endless

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
)

//go:generate go tool stringer -type=Part -linecomment -output=part_string.go

// Part is the part of an answer that doesn't end.
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

// Parts returns all parts.
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
	return fmt.Errorf("part %q of an answer is not known", text)
}

// NoLimit writes until the peer closes.
const NoLimit = math.MaxInt64

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	stream  = "Content-Type: text/event-stream\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
	// pieceBytes is how much is written at once.
	pieceBytes = 32 << 10
)

// text returns what an answer begins with and what then follows without end.
// The header lines belong to the answer.
func (p Part) text(header string) (first, again string) {
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

// Write writes the answer until the peer closes, or until limit bytes. It
// returns how much was written.
func (p Part) Write(w io.Writer, header string, limit int64) (int64, error) {
	first, again := p.text(header)
	piece := []byte(strings.Repeat(again, max(pieceBytes/len(again), 1)))
	n, err := io.WriteString(w, first)
	written := int64(n)
	for err == nil && written < limit {
		n, err = w.Write(piece)
		written += int64(n)
	}
	return written, err
}

// Answer writes the answer on the connection of a request that a server of
// net/http has read, and closes the connection at the end.
func (p Part) Answer(rw http.ResponseWriter, header string, limit int64) error {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = p.Write(conn, header, limit)
	return err
}
