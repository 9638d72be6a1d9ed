package platform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// Instances returns the platform's list of instances, which lags behind.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	var list InstanceList
	err := c.callJSON(ctx, http.MethodGet, "/instances", nil, &list)
	return list, err
}

// Register tells the platform that an instance in this process is running or, with the
// state Gone, that it has ended.
func (c *Client) Register(ctx context.Context, instance Instance) error {
	registration := Registration{Instance: instance, PID: os.Getpid()}
	return c.callJSON(ctx, http.MethodPut, "/instances/"+url.PathEscape(instance.Name), registration, nil)
}

// KeepRegistered registers an instance immediately and then at each interval until ctx
// ends. Each time it registers what instance returns, and passes any failure to onError,
// which may be nil.
func (c *Client) KeepRegistered(ctx context.Context, interval time.Duration, instance func() Instance, onError func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := c.Register(ctx, instance()); err != nil && onError != nil && ctx.Err() == nil {
			onError(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Weights reads the weights of a model version and returns their size in bytes. It
// passes each block of them to handle, which may be nil. It fails if no byte arrives
// within the client's timeout.
func (c *Client) Weights(ctx context.Context, model, version string, handle func([]byte) error) (int64, error) {
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(c.timeout(), cancel)
	defer idleTimer.Stop()
	req, err := wire.NewRequest(ctx, http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return 0, unavailable(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, unavailable(errors.Newf("GET %s: status %d", path, resp.StatusCode))
	}
	n, err := io.Copy(blockWriter(func(block []byte) error {
		idleTimer.Reset(c.timeout())
		if handle == nil {
			return nil
		}
		return handle(block)
	}), resp.Body)
	if err != nil {
		return n, unavailable(errors.Wrapf(err, "GET %s", path))
	}
	return n, nil
}

// blockWriter is an io.Writer that passes each block to the function.
type blockWriter func([]byte) error

func (w blockWriter) Write(block []byte) (int, error) {
	if err := w(block); err != nil {
		return 0, err
	}
	return len(block), nil
}
