package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l singleConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// A client that announces a body and doesn't send it must still get its answer.
// Otherwise it could keep a connection open forever, because net/http reads the rest
// of the body before it sends the answer.
func TestAnswersDoNotWaitForUnreadBodies(t *testing.T) {
	s := &Server{settings: DefaultSettings()}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		status  int
	}{
		{"body that the handler does not read", func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "unknown-account", http.StatusUnauthorized)
		}, http.StatusUnauthorized},
		{"body of an operator command", func(w http.ResponseWriter, r *http.Request) {
			var into struct{}
			s.readJSON(w, r, &into)
		}, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				client, server := net.Pipe()
				l := singleConnListener{make(chan net.Conn, 1), make(chan struct{})}
				l.conns <- server
				serving := s.httpServer(c.handler)
				go func() { _ = serving.Serve(l) }()
				defer close(l.done)
				defer client.Close()
				_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(client.SetReadDeadline(time.Now().Add(10 * time.Minute))).To(Succeed())
				answer, err := http.ReadResponse(bufio.NewReader(client), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.StatusCode).To(Equal(c.status))
			})
		})
	}
}
