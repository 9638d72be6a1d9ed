package broken

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

//go:generate go tool stringer -type=End -linecomment -output=end_string.go

// UploadBytes is a size of request that socket buffers don't hold, so that it is still
// being written when a Server that reads only its head answers.
const UploadBytes = 8 << 20

// End is how a connection ends after an answer.
type End int

// The ends.
const (
	Close           End = iota // closed
	Reset                      // reset
	HalfClose                  // closed for writing, the request is read on
	HalfCloseUnread            // closed for writing, the request isn't read on
	None                       // left open
)

// Answer is what a Server does with each request.
type Answer struct {
	Text string // the bytes of the answer
	// ReadsRequest tells whether the request is read to its end before the answer is
	// sent; otherwise only its head is.
	ReadsRequest bool
	Delay        time.Duration // between the answer and the end of the connection
	End          End
}

// Server is a backend server that sends one answer on each connection.
type Server struct {
	Address  string // IP:port
	answer   Answer
	requests atomic.Int32
}

// Start starts a server on a free port of the loopback address. It runs until ctx ends.
func Start(ctx context.Context, answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	s := &Server{Address: listener.Addr().String(), answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(ctx, conn.(*net.TCPConn))
		}
	}()
	return s, nil
}

// Requests returns the number of requests that arrived.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// serve answers the request of one connection. Errors end the connection, which the
// caller then sees.
func (s *Server) serve(ctx context.Context, conn *net.TCPConn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// The head is read byte by byte, so that the body stays in the socket.
	source := &limitedReader{Reader: conn, limit: 1}
	r, err := http.ReadRequest(bufio.NewReader(source))
	if err != nil {
		return
	}
	s.requests.Add(1)
	source.limit = math.MaxInt
	if s.answer.ReadsRequest {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	if _, err := io.WriteString(conn, s.answer.Text); err != nil {
		return
	}
	time.Sleep(s.answer.Delay)
	switch s.answer.End {
	case Close:
		return
	case Reset:
		_ = conn.SetLinger(0) // fails only on a closed connection
		return
	case HalfClose:
		_ = conn.CloseWrite()
	case HalfCloseUnread:
		_ = conn.CloseWrite()
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the caller closes the connection
}

// limitedReader reads at most limit bytes at a time.
type limitedReader struct {
	io.Reader
	limit int
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.limit)]) }
