package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// ServiceOptions configure a Service. Each field except Address may be zero, for a
// default.
type ServiceOptions struct {
	Address        string        // IP:port
	DialTimeout    time.Duration // 2 s if 0
	IdleTimeout    time.Duration // longest time without a byte of an answer; 15 s if 0
	MaxAnswerBytes int           // 16 MiB if 0
}

// Service calls one worker of a plain service. It sends each call at most once.
type Service struct {
	options  ServiceOptions
	pooled   sender
	unpooled sender // opens a new connection for each call
}

// NewService returns a client of the worker at options.Address.
func NewService(options ServiceOptions) *Service {
	setDefault(&options.DialTimeout, defaultDialTimeout)
	setDefault(&options.IdleTimeout, defaultIdleTimeout)
	setDefault(&options.MaxAnswerBytes, defaultMaxAnswerBytes)
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	unpooled := newTransport(wire.Dial(dialer.DialContext))
	unpooled.DisableKeepAlives = true
	return &Service{
		options:  options,
		pooled:   sender{transport: newTransport(wire.Dial(dialer.DialContext)), idleTimeout: options.IdleTimeout},
		unpooled: sender{transport: unpooled, idleTimeout: options.IdleTimeout},
	}
}

// Close closes the idle connections.
func (s *Service) Close() { s.pooled.transport.CloseIdleConnections() }

// Call is a call of a plain service.
type Call struct {
	ID             string // request ID
	Method         string
	Path           string // with the query
	Header         http.Header
	Body           []byte
	IdempotencyKey string // of a call that must not run twice; empty otherwise
}

// Reply is a complete answer of a plain service, with any status. With status 503 and
// NotStarted set, the worker states that the call did not run.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	NotStarted bool
	RetryAfter time.Duration
}

// Do sends the call and returns its complete answer. An error is a *CallError. A call
// with an idempotency key gets a new connection, since a worker may close an idle
// connection just as the call is written to it, and the call could not be repeated.
func (s *Service) Do(ctx context.Context, call Call) (*Reply, error) {
	sender := s.pooled
	if call.IdempotencyKey != "" {
		sender = s.unpooled
	}
	resp, err := sender.send(ctx, "", func(ctx context.Context) (*http.Request, error) {
		return s.request(ctx, call)
	})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body, s.options.MaxAnswerBytes)
	if err != nil {
		return nil, &CallError{Sent: true, Err: err}
	}
	return &Reply{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       body,
		NotStarted: resp.Header.Get(HeaderNotStarted) == "true",
		RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After")),
	}, nil
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func (s *Service) request(ctx context.Context, call Call) (*http.Request, error) {
	req, err := wire.NewRequest(ctx, call.Method, "http://"+s.options.Address+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(HeaderRequestID, call.ID)
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return req, nil
}
