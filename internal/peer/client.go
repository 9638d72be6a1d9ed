package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
)

const (
	// callTimeout is the timeout of dialling and of each call except Forward. The calls
	// are answered from memory.
	callTimeout = 2 * time.Second
	// forwardIdleTimeout is the longest time between two chunks of a forwarded answer
	// before the call fails. The server sends an empty chunk at least every
	// ForwardHeartbeat.
	forwardIdleTimeout = 5 * time.Second
	// ForwardHeartbeat is the longest time between two chunks that the server sends of a
	// forwarded answer.
	ForwardHeartbeat = 1 * time.Second
	// idlePerAddress limits the idle connections kept to one address.
	idlePerAddress = 64
	// idleExpiration is how long an idle connection is kept. It is shorter than the
	// server's idleConnectionTimeout, so that the client closes the connection first.
	idleExpiration = time.Minute
)

// ErrTimeout means that the other entry instance sent nothing within the timeout.
var ErrTimeout = errors.New("entry instance sent nothing within the timeout")

type connPool = drpcpool.Pool[string, *drpcconn.Conn]

// Client calls other entry instances. The zero value is ready to use, without TLS.
type Client struct {
	// Sender is the name of the calling entry instance.
	Sender string
	// TLS is the configuration of all connections; nil means no TLS.
	TLS *tls.Config

	mu    sync.Mutex
	pools map[string]*connPool
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		_ = pool.Close()
	}
	c.pools = nil
}

// Hello announces this instance to the one at address, and returns the instances that
// the other one knows.
func (c *Client) Hello(ctx context.Context, address string, self *peerpb.Instance) ([]*peerpb.Instance, error) {
	var instances []*peerpb.Instance
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		list, err := peer.Hello(ctx, self)
		instances = list.GetInstances()
		return err
	})
	return instances, err
}

// Exchange sends one heartbeat message and returns the messages of the answer.
func (c *Client) Exchange(ctx context.Context, address string, message []byte) ([][]byte, error) {
	var answers [][]byte
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		list, err := peer.Exchange(ctx, &peerpb.Envelope{Sender: c.Sender, Body: message})
		for _, answer := range list.GetMessages() {
			answers = append(answers, answer.GetBody())
		}
		return err
	})
	return answers, err
}

// Limits sends a message about limits on backend servers and returns its answer.
func (c *Client) Limits(ctx context.Context, address string, message []byte) ([]byte, error) {
	var body []byte
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		answer, err := peer.Limits(ctx, &peerpb.Envelope{Sender: c.Sender, Body: message})
		body = answer.GetBody()
		return err
	})
	return body, err
}

// AskClaim asks the instance at address about a key that it claimed.
func (c *Client) AskClaim(ctx context.Context, address string, message []byte) ([]byte, error) {
	var body []byte
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		answer, err := peer.AskClaim(ctx, &peerpb.Envelope{Sender: c.Sender, Body: message})
		body = answer.GetBody()
		return err
	})
	return body, err
}

// FetchState asks the instance at address for its newest state of a log stream. The reply
// has no snapshot if the state is not newer than the offset after.
func (c *Client) FetchState(ctx context.Context, address, stream string, after int64) (*peerpb.FetchStateReply, error) {
	var reply *peerpb.FetchStateReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		var err error
		reply, err = peer.FetchState(ctx, &peerpb.FetchStateRequest{Stream: stream, AfterOffset: after})
		return err
	})
	return reply, err
}

// Forward runs a request at the instance at address and calls receive for each chunk of
// the answer, in order. It returns nil after the chunk with the end mark, and an error if
// the answer ends before it.
func (c *Client) Forward(
	ctx context.Context, address string, request *peerpb.ForwardRequest,
	receive func(*peerpb.ForwardChunk) error,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(forwardIdleTimeout, func() { cancel(ErrTimeout) })
	defer idle.Stop()

	stream, err := c.peerClient(ctx, address).Forward(ctx, request)
	if err != nil {
		return c.handleError(ctx, address, err)
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.Wrapf(io.ErrUnexpectedEOF, "forwarded answer from %s", address)
		}
		if err != nil {
			return c.handleError(ctx, address, err)
		}
		idle.Stop()
		if err := receive(chunk); err != nil {
			return err
		}
		if chunk.GetEnd() {
			return nil
		}
		idle.Reset(forwardIdleTimeout)
	}
}

func (c *Client) call(ctx context.Context, address string, do func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeoutCause(ctx, callTimeout, ErrTimeout)
	defer cancel()
	if err := do(ctx, c.peerClient(ctx, address)); err != nil {
		return c.handleError(ctx, address, err)
	}
	return nil
}

// handleError wraps the error of a call. After a timeout it also closes the idle
// connections to the address: the fault that broke one connection has probably broken all
// of them.
func (c *Client) handleError(ctx context.Context, address string, err error) error {
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		c.mu.Lock()
		pool := c.pools[address]
		delete(c.pools, address)
		c.mu.Unlock()
		if pool != nil {
			_ = pool.Close()
		}
		err = errors.Mark(err, ErrTimeout)
	}
	return errors.Wrapf(err, "peer %s", address)
}

func (c *Client) peerClient(ctx context.Context, address string) peerpb.DRPCPeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[string]*connPool)
	}
	pool := c.pools[address]
	if pool == nil {
		pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: idlePerAddress,
		})
		c.pools[address] = pool
	}
	return peerpb.NewDRPCPeerClient(pool.Get(ctx, address, c.dial))
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.TLS != nil {
		conn = tls.Client(conn, c.TLS)
	}
	options := drpcconn.Options{Manager: managerOptions()}
	return drpcconn.NewWithOptions(&deadlineConn{Conn: conn}, options), nil
}
