package peer

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/chicorystall/chicorystall/internal/fake/proxy"
	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
)

// serve starts a server behind a proxy, and returns the proxy and a client.
func serve(t *testing.T, handler Handler) (*proxy.Proxy, *Client) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Server{Handler: handler}.Serve(ctx, listener) }()
	frontProxy, err := proxy.Start(ctx, "127.0.0.1:0", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	client := &Client{Sender: "entry-1"}
	t.Cleanup(func() {
		client.Close()
		cancel()
		g.Expect(<-done).To(Succeed())
	})
	return frontProxy, client
}

// echo is an Exchange handler that answers with the sender and the message.
func echo(_ context.Context, sender string, message []byte) ([][]byte, error) {
	return [][]byte{[]byte(sender), message}, nil
}

func expectEcho(t *testing.T, client *Client, address string) {
	t.Helper()
	g := NewWithT(t)
	answers, err := client.Exchange(t.Context(), address, []byte("state"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answers).To(Equal([][]byte{[]byte("entry-1"), []byte("state")}))
}

func TestExchange(t *testing.T) {
	frontProxy, client := serve(t, Handler{Exchange: echo})
	expectEcho(t, client, frontProxy.Address())
	expectEcho(t, client, frontProxy.Address())
	NewWithT(t).Expect(frontProxy.Accepted()).To(Equal(1), "both calls use one connection")
}

func TestCallWithoutHandler(t *testing.T) {
	frontProxy, client := serve(t, Handler{})
	_, err := client.Exchange(t.Context(), frontProxy.Address(), nil)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring(errNotServed.Error())))
}

func TestForward(t *testing.T) {
	errHandler := errors.New("worker is gone")
	for _, test := range []struct {
		name   string
		chunks []*peerpb.ForwardChunk
		fault  error // of the handler, after the chunks
		cut    bool  // the connection, after the chunks
		want   OmegaMatcher
	}{
		{"with end mark", []*peerpb.ForwardChunk{{Body: []byte("a")}, {Body: []byte("b")}, {End: true}}, nil, false, BeNil()},
		{"without end mark", []*peerpb.ForwardChunk{{Body: []byte("a")}}, nil, false, MatchError(io.ErrUnexpectedEOF)},
		{"no chunk", nil, nil, false, MatchError(io.ErrUnexpectedEOF)},
		{"handler fails", []*peerpb.ForwardChunk{{Body: []byte("a")}}, errHandler, false, MatchError(ContainSubstring(errHandler.Error()))},
		{"connection is cut", []*peerpb.ForwardChunk{{Body: []byte("a")}}, nil, true, HaveOccurred()},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			forward := func(ctx context.Context, _ *peerpb.ForwardRequest, send func(*peerpb.ForwardChunk) error) error {
				for _, chunk := range test.chunks {
					if err := send(chunk); err != nil {
						return err
					}
				}
				if test.cut {
					<-ctx.Done()
				}
				return test.fault
			}
			frontProxy, client := serve(t, Handler{Forward: forward})
			var bodies []string
			err := client.Forward(t.Context(), frontProxy.Address(), &peerpb.ForwardRequest{}, func(chunk *peerpb.ForwardChunk) error {
				bodies = append(bodies, string(chunk.GetBody()))
				if test.cut {
					frontProxy.CutOpen()
				}
				return nil
			})
			g.Expect(err).To(test.want)
			g.Expect(bodies).To(HaveLen(len(test.chunks)))
		})
	}
}

func TestNewConnectionAfterTimeout(t *testing.T) {
	forward := func(_ context.Context, _ *peerpb.ForwardRequest, send func(*peerpb.ForwardChunk) error) error {
		return send(&peerpb.ForwardChunk{End: true})
	}
	for _, test := range []struct {
		name string
		call func(ctx context.Context, client *Client, address string) error
	}{
		{"exchange", func(ctx context.Context, client *Client, address string) error {
			_, err := client.Exchange(ctx, address, []byte("state"))
			return err
		}},
		{"forward", func(ctx context.Context, client *Client, address string) error {
			return client.Forward(ctx, address, &peerpb.ForwardRequest{}, func(*peerpb.ForwardChunk) error { return nil })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			frontProxy, client := serve(t, Handler{Exchange: echo, Forward: forward})
			expectEcho(t, client, frontProxy.Address())
			frontProxy.SilenceOpen()
			err := test.call(t.Context(), client, frontProxy.Address())
			g.Expect(errors.Is(err, ErrTimeout)).To(BeTrue(), "%v", err)
			g.Expect(frontProxy.Accepted()).To(Equal(1))
			expectEcho(t, client, frontProxy.Address())
			g.Expect(frontProxy.Accepted()).To(Equal(2))
		})
	}
}
