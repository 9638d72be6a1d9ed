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

// Instances returns the platform's lagging list.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	var list InstanceList
	err := c.callJSON(ctx, http.MethodGet, "/instances", nil, &list)
	return list, err
}

// Register tells the platform about an instance of this process, that it still
// runs, or, with the state Gone, that it has ended.
func (c *Client) Register(ctx context.Context, instance Instance) error {
	registration := Registration{Instance: instance, PID: os.Getpid()}
	return c.callJSON(ctx, http.MethodPut, "/instances/"+url.PathEscape(instance.Name), registration, nil)
}

// KeepRegistered registers the instance at once and then at each interval until
// the context ends. The function tells what to register each time, and report
// gets each failure; it may be nil.
func (c *Client) KeepRegistered(ctx context.Context, interval time.Duration, instance func() Instance, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := c.Register(ctx, instance()); err != nil && report != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Weights reads a model version's weights and returns their size in bytes.
// Each piece is handed to use, which may be nil. It fails when no byte arrives
// for the client's timeout.
func (c *Client) Weights(ctx context.Context, model, version string, use func([]byte) error) (int64, error) {
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(c.timeout(), cancel)
	defer idle.Stop()
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
	n, err := io.Copy(pieceWriter(func(piece []byte) error {
		idle.Reset(c.timeout())
		if use == nil {
			return nil
		}
		return use(piece)
	}), resp.Body)
	if err != nil {
		return n, unavailable(errors.Wrapf(err, "GET %s", path))
	}
	return n, nil
}

type pieceWriter func([]byte) error

func (w pieceWriter) Write(piece []byte) (int, error) {
	if err := w(piece); err != nil {
		return 0, err
	}
	return len(piece), nil
}
