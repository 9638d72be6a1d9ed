package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// ServiceOptions configure a Service. The zero value of each field but Address
// works.
type ServiceOptions struct {
	Address        string        // IP:port
	DialTimeout    time.Duration // 0 counts as 2 s
	IdleTimeout    time.Duration // longest silence of the worker; 0 counts as 15 s
	MaxAnswerBytes int           // 0 counts as 16 MiB
}

// Service calls one worker of a plain service. It sends each call at most once.
type Service struct {
	options ServiceOptions
	pooled  sender
	fresh   sender // a new connection for each call
}

// NewService returns a client of the worker.
func NewService(options ServiceOptions) *Service {
	setDefault(&options.DialTimeout, defaultDialTimeout)
	setDefault(&options.IdleTimeout, defaultIdleTimeout)
	setDefault(&options.MaxAnswerBytes, defaultMaxAnswerBytes)
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	fresh := newTransport(wire.Dial(dialer.DialContext))
	fresh.DisableKeepAlives = true
	return &Service{
		options: options,
		pooled:  sender{transport: newTransport(wire.Dial(dialer.DialContext)), idle: options.IdleTimeout},
		fresh:   sender{transport: fresh, idle: options.IdleTimeout},
	}
}

// Close drops the idle connections.
func (s *Service) Close() { s.pooled.transport.CloseIdleConnections() }

// Call is one call of a plain service.
type Call struct {
	ID             string // request ID
	Method         string
	Path           string // with the query
	Header         http.Header
	Body           []byte
	IdempotencyKey string // of a call that may not be repeated; empty otherwise
}

// Reply is a whole answer of a plain service, whatever its status. A status of
// 503 with NotStarted set is the worker's word that the call did not run.
type Reply struct {
	Status     int
	Header     http.Header
	Body       []byte
	NotStarted bool
	RetryAfter time.Duration
}

// Do sends the call and returns its whole answer. An error is a *CallError.
// A call with an idempotency key gets a connection of its own, since a worker
// may close an idle connection in the moment in which it is used.
func (s *Service) Do(ctx context.Context, call Call) (*Reply, error) {
	sender := s.pooled
	if call.IdempotencyKey != "" {
		sender = s.fresh
	}
	resp, err := sender.send(ctx, "", func(ctx context.Context) (*http.Request, error) {
		return s.request(ctx, call)
	})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := readWhole(resp.Body, s.options.MaxAnswerBytes)
	if err != nil {
		return nil, &CallError{Sent: true, Err: err}
	}
	return &Reply{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       body,
		NotStarted: resp.Header.Get(HeaderNotStarted) == "true",
		RetryAfter: retryAfter(resp.Header.Get("Retry-After")),
	}, nil
}

// hopHeaders concern one connection and are not passed on.
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
