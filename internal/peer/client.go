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
	// callTimeout bounds a call that is answered from memory.
	callTimeout = 2 * time.Second
	// forwardIdleTimeout is how long a forwarded answer may send nothing. The
	// server sends an empty chunk at least every ForwardHeartbeat.
	forwardIdleTimeout = 5 * time.Second
	// ForwardHeartbeat is the longest time between two chunks of a forwarded answer.
	ForwardHeartbeat = 1 * time.Second
	// idlePerAddress bounds the idle connections kept to one address.
	idlePerAddress = 64
	// idleExpiration closes an idle connection before the server does.
	idleExpiration = time.Minute
)

// ErrSilent reports that the other entry instance sent nothing for too long.
var ErrSilent = errors.New("peer connection went silent")

type connPool = drpcpool.Pool[string, *drpcconn.Conn]

// Client calls other entry instances. The zero value works without TLS.
type Client struct {
	// Sender is the name of the calling entry instance.
	Sender string
	// TLS is used for every connection when it is set.
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

// Hello introduces this instance to the one at address, and returns the
// instances known there.
func (c *Client) Hello(ctx context.Context, address string, self *peerpb.Instance) ([]*peerpb.Instance, error) {
	var instances []*peerpb.Instance
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		list, err := peer.Hello(ctx, self)
		instances = list.GetInstances()
		return err
	})
	return instances, err
}

// Exchange sends one heartbeat message and returns the messages in answer.
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

// FetchState asks the instance at address for its newest state of a stream. The
// answer has no snapshot when it is not newer than after.
func (c *Client) FetchState(ctx context.Context, address, stream string, after int64) (*peerpb.FetchStateReply, error) {
	var reply *peerpb.FetchStateReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		var err error
		reply, err = peer.FetchState(ctx, &peerpb.FetchStateRequest{Stream: stream, AfterOffset: after})
		return err
	})
	return reply, err
}

// Forward runs a request at the instance at address and hands each chunk of the
// answer to receive, in order. It returns nil after the chunk that carries the
// end mark, and an error when the answer was cut.
func (c *Client) Forward(
	ctx context.Context, address string, request *peerpb.ForwardRequest,
	receive func(*peerpb.ForwardChunk) error,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(forwardIdleTimeout, func() { cancel(ErrSilent) })
	defer idle.Stop()

	stream, err := c.peer(ctx, address).Forward(ctx, request)
	if err != nil {
		return c.failed(ctx, address, err)
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errors.Wrapf(io.ErrUnexpectedEOF, "forwarded answer from %s", address)
		}
		if err != nil {
			return c.failed(ctx, address, err)
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
	ctx, cancel := context.WithTimeoutCause(ctx, callTimeout, ErrSilent)
	defer cancel()
	if err := do(ctx, c.peer(ctx, address)); err != nil {
		return c.failed(ctx, address, err)
	}
	return nil
}

// failed drops the idle connections to an address that went silent: what lost
// track of one connection has probably lost track of all.
func (c *Client) failed(ctx context.Context, address string, err error) error {
	if errors.Is(context.Cause(ctx), ErrSilent) {
		c.mu.Lock()
		pool := c.pools[address]
		delete(c.pools, address)
		c.mu.Unlock()
		if pool != nil {
			_ = pool.Close()
		}
		err = errors.Mark(err, ErrSilent)
	}
	return errors.Wrapf(err, "peer %s", address)
}

func (c *Client) peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
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
