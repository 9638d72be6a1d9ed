package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

const (
	defaultDialTimeout    = 2 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultControlTimeout = 3 * time.Second
	defaultMaxEventBytes  = 1 << 20
	defaultMaxAnswerBytes = 16 << 20
	maxHeaderBytes        = 64 << 10
	maxRefusalBytes       = 4 << 10
	maxIdleConns          = 64
)

// Options configure a Client. Each field except Address may be zero, for a default.
type Options struct {
	Address        string        // IP:port
	DialTimeout    time.Duration // to connect and to get the boot ID; 2 s if 0
	IdleTimeout    time.Duration // longest time without a byte of an answer; 15 s if 0
	ControlTimeout time.Duration // for a state, order or cache call; 3 s if 0
	MaxEventBytes  int           // of one chunk; 1 MiB if 0
	MaxAnswerBytes int           // of one answer that is not streamed, and of the events dropped between two chunks; 16 MiB if 0
}

// Client calls one backend server. It asks for the boot ID of the process on each new
// connection before a request may use the connection.
type Client struct {
	options Options
	sender  sender
	control sender
}

// New returns a Client of the backend server at options.Address.
func New(options Options) *Client {
	setDefault(&options.DialTimeout, defaultDialTimeout)
	setDefault(&options.IdleTimeout, defaultIdleTimeout)
	setDefault(&options.ControlTimeout, defaultControlTimeout)
	setDefault(&options.MaxEventBytes, defaultMaxEventBytes)
	setDefault(&options.MaxAnswerBytes, defaultMaxAnswerBytes)
	c := &Client{options: options}
	transport := newTransport(c.dial)
	c.sender = sender{transport: transport, idleTimeout: options.IdleTimeout}
	c.control = sender{transport: transport, idleTimeout: options.ControlTimeout}
	return c
}

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

func newTransport(dial answer.DialFunc) *answer.Transport {
	return &answer.Transport{Transport: http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

// Address returns the backend server's IP:port.
func (c *Client) Address() string { return c.options.Address }

// Close closes the idle connections.
func (c *Client) Close() { c.sender.transport.CloseIdleConnections() }

// dial opens a connection and asks for the boot ID of the process on it.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	conn, err := answer.Dial(nil)(ctx, network, address)
	if err != nil {
		return nil, err
	}
	bootID, err := fetchBootID(ctx, conn, address)
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "get boot ID of %s", address)
	}
	return &wire.Conn{Conn: conn, BootID: bootID}, nil
}

// fetchBootID requests the engine's state on the connection, which can take a request
// afterwards, and returns the boot ID.
func fetchBootID(ctx context.Context, conn net.Conn, address string) (string, error) {
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	state, err := requestState(conn, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return state.BootID, err
}

func requestState(conn net.Conn, address string) (State, error) {
	var state State
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", StatePath, address); err != nil {
		return state, err
	}
	limited := &io.LimitedReader{R: conn, N: maxHeaderBytes}
	reader := bufio.NewReader(limited)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return state, err
	}
	if err := answer.CheckHead(resp); err != nil {
		return state, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return state, err
	}
	if resp.StatusCode != http.StatusOK {
		return state, newRefusedError(resp, body)
	}
	if resp.Close || reader.Buffered() > 0 {
		return state, errors.New("connection cannot be used after the state call")
	}
	return state, json.Unmarshal(body, &state)
}

// bootCheck returns a gate check that admits only connections to the process with the
// boot ID, or nil if there is nothing to check.
func bootCheck(bootID string) func(*wire.Conn) error {
	if bootID == "" || disabledBootCheck {
		return nil
	}
	return func(conn *wire.Conn) error {
		if conn.BootID != bootID {
			return errors.Wrapf(ErrBootChanged, "connection has boot ID %q, want %q", conn.BootID, bootID)
		}
		return nil
	}
}

// disabledBootCheck turns the boot check off, so that a test can show what the check
// prevents.
var disabledBootCheck bool
