package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/chicorystall/chicorystall/internal/peer/peerpb"
)

const (
	// maxMessageBytes limits the size of one message between entry instances.
	maxMessageBytes = 8 << 20
	// writeTimeout is the timeout of one write to a connection.
	writeTimeout = 10 * time.Second
	// idleConnectionTimeout is how long a connection is kept on which no data arrives.
	idleConnectionTimeout = 2 * time.Minute
)

// errNotServed is the answer to a call for which the Handler has no function.
var errNotServed = errors.New("call is not served by this entry instance")

// Handler answers the calls of other entry instances. Calls whose field is nil are
// refused.
type Handler struct {
	// Hello records the caller and returns the instances that this one knows.
	Hello func(ctx context.Context, caller *peerpb.Instance) ([]*peerpb.Instance, error)
	// Exchange handles one heartbeat message and returns the messages of the answer.
	Exchange func(ctx context.Context, sender string, message []byte) ([][]byte, error)
	// Forward runs a request at this instance and sends the answer in chunks.
	Forward func(ctx context.Context, request *peerpb.ForwardRequest, send func(*peerpb.ForwardChunk) error) error
	// Limits answers a message about limits on backend servers.
	Limits func(ctx context.Context, sender string, message []byte) ([]byte, error)
	// FetchState returns this instance's newest state of a log stream.
	FetchState func(ctx context.Context, stream string, after int64) (*peerpb.FetchStateReply, error)
	// AskClaim returns what this instance knows about a claimed key.
	AskClaim func(ctx context.Context, sender string, message []byte) ([]byte, error)
}

// Server serves a Handler to other entry instances.
type Server struct {
	Handler Handler
}

// Serve accepts connections until ctx ends, then closes the listener.
func (s Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handler: s.Handler}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	err := server.Serve(ctx, &deadlineListener{Listener: listener})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: idleConnectionTimeout,
	}
}

// service adapts a Handler to the generated server interface.
type service struct {
	handler Handler
}

func (s *service) Hello(ctx context.Context, in *peerpb.Instance) (*peerpb.InstanceList, error) {
	if s.handler.Hello == nil {
		return nil, errNotServed
	}
	instances, err := s.handler.Hello(ctx, in)
	return &peerpb.InstanceList{Instances: instances}, err
}

func (s *service) Exchange(ctx context.Context, in *peerpb.Envelope) (*peerpb.EnvelopeList, error) {
	if s.handler.Exchange == nil {
		return nil, errNotServed
	}
	answers, err := s.handler.Exchange(ctx, in.GetSender(), in.GetBody())
	if err != nil {
		return nil, err
	}
	list := &peerpb.EnvelopeList{}
	for _, answer := range answers {
		list.Messages = append(list.Messages, &peerpb.Envelope{Body: answer})
	}
	return list, nil
}

func (s *service) Forward(in *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	if s.handler.Forward == nil {
		return errNotServed
	}
	return s.handler.Forward(stream.Context(), in, stream.Send)
}

func (s *service) Limits(ctx context.Context, in *peerpb.Envelope) (*peerpb.Envelope, error) {
	return answerEnvelope(ctx, in, s.handler.Limits)
}

func (s *service) AskClaim(ctx context.Context, in *peerpb.Envelope) (*peerpb.Envelope, error) {
	return answerEnvelope(ctx, in, s.handler.AskClaim)
}

func (s *service) FetchState(ctx context.Context, in *peerpb.FetchStateRequest) (*peerpb.FetchStateReply, error) {
	if s.handler.FetchState == nil {
		return nil, errNotServed
	}
	return s.handler.FetchState(ctx, in.GetStream(), in.GetAfterOffset())
}

func answerEnvelope(
	ctx context.Context, in *peerpb.Envelope,
	answer func(context.Context, string, []byte) ([]byte, error),
) (*peerpb.Envelope, error) {
	if answer == nil {
		return nil, errNotServed
	}
	body, err := answer(ctx, in.GetSender(), in.GetBody())
	if err != nil {
		return nil, err
	}
	return &peerpb.Envelope{Body: body}, nil
}

// deadlineListener sets a deadline for each write of its connections, so that a peer
// that stopped reading cannot block a stream forever.
type deadlineListener struct {
	net.Listener
}

func (l *deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn}, nil
}

type deadlineConn struct {
	net.Conn
}

func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
