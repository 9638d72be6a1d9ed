package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// startClosingServer starts a server that answers the first request of each connection,
// and closes the connection without an answer after it has read the second.
func startClosingServer(t *testing.T) (address string, received *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	received = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, received)
		}
	}()
	return listener.Addr().String(), received
}

func answerOnce(conn net.Conn, received *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		received.Add(1)
		if i == 0 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// TestNoSecondSending checks that a request is not sent twice. net/http sends a request
// with an idempotency key again if the reused connection was closed.
func TestNoSecondSending(t *testing.T) {
	rewindable := func(ctx context.Context, url string) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	}
	notRewindable := func(ctx context.Context, url string) (*http.Request, error) {
		return NewRequest(ctx, http.MethodPost, url, nil)
	}
	tests := []struct {
		name     string
		build    func(ctx context.Context, url string) (*http.Request, error)
		gateOff  bool
		received int32
	}{
		{"net/http alone sends twice", rewindable, true, 3},
		{"gate prevents the second sending", rewindable, false, 2},
		{"request that cannot be rewound", notRewindable, true, 2},
		{"gate and request that cannot be rewound", notRewindable, false, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			disabledGate = test.gateOff
			defer func() { disabledGate = false }()
			address, received := startClosingServer(t)
			transport := &http.Transport{DialContext: Dial((&net.Dialer{}).DialContext)}
			defer transport.CloseIdleConnections()
			send := func() (bool, error) {
				gate := &Gate{}
				req, err := test.build(gate.Context(t.Context()), "http://"+address)
				g.Expect(err).NotTo(HaveOccurred())
				req.Header.Set("Idempotency-Key", "k1")
				resp, err := transport.RoundTrip(req)
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				return gate.Seal(), err
			}
			sent, err := send()
			g.Expect(sent, err).To(BeTrue())
			sent, _ = send()
			g.Expect(sent).To(BeTrue())
			g.Expect(received.Load()).To(Equal(test.received))
		})
	}
}

// TestSeal checks which writes the gate allows, in particular that none follows after
// Seal has returned false.
func TestSeal(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*Gate, *Conn)
		gateOff bool
		want    error
	}{
		{"admitted", (*Gate).admit, false, nil},
		{"sealed before the first write", func(g *Gate, c *Conn) { g.admit(c); g.Seal() }, false, ErrSealed},
		{"sealed before the first write, gate disabled", func(g *Gate, c *Conn) { g.admit(c); g.Seal() }, true, nil},
		{"refused by the check", func(g *Gate, c *Conn) {
			g.Check = func(*Conn) error { return io.ErrNoProgress }
			g.admit(c)
		}, false, ErrSealed},
		{"written on another connection", func(g *Gate, c *Conn) {
			other := &Conn{}
			g.admit(other)
			g.startWrite(other)
			g.admit(c)
		}, false, ErrSealed},
		{"first write failed without a byte, then sealed", func(g *Gate, c *Conn) {
			broken, _ := net.Pipe()
			broken.Close()
			other := &Conn{Conn: broken, gate: g}
			g.admit(other)
			other.Write([]byte("x"))
			g.admit(c)
			if g.Seal() {
				panic("Seal reports a write, but no byte was written")
			}
		}, false, ErrSealed},
		{"first write failed without a byte, then on another connection", func(g *Gate, c *Conn) {
			broken, _ := net.Pipe()
			broken.Close()
			other := &Conn{Conn: broken, gate: g}
			g.admit(other)
			other.Write([]byte("x"))
			g.admit(c)
		}, false, nil},
		{"sealed after the first write", func(g *Gate, c *Conn) {
			g.admit(c)
			g.startWrite(c)
			g.Seal()
		}, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			disabledGate = test.gateOff
			defer func() { disabledGate = false }()
			near, far := net.Pipe()
			defer near.Close()
			go io.Copy(io.Discard, far)
			gate, conn := &Gate{}, &Conn{Conn: near}
			conn.setGate(gate)
			test.prepare(gate, conn)
			_, err := conn.Write([]byte("x"))
			if test.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(test.want))
			}
		})
	}
}
