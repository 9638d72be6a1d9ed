package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// State asks the engine for its report.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, StatePath, "", nil, &state)
	return state, err
}

// Order gives the process with the boot ID an order; an empty boot ID stands
// for any. A *RefusedError with status 409 means that the fencing number is old.
func (c *Client) Order(ctx context.Context, bootID string, order Order) (OrderAnswer, error) {
	var answer OrderAnswer
	err := c.call(ctx, http.MethodPost, OrderPath, bootID, order, &answer)
	return answer, err
}

// CacheEvents asks for the cache events after a number.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, CacheEventsPath+"?After="+strconv.FormatInt(after, 10), "", nil, &events)
	return events, err
}

// Export returns the prefixes that the engine has cached.
func (c *Client) Export(ctx context.Context) (KVCache, error) {
	var cache KVCache
	err := c.call(ctx, http.MethodPost, ExportPath, "", struct{}{}, &cache)
	return cache, err
}

// Import gives the engine prefixes of another one.
func (c *Client) Import(ctx context.Context, cache KVCache) error {
	return c.call(ctx, http.MethodPost, ImportPath, "", cache, nil)
}

// call makes one small call and reads its whole answer.
func (c *Client) call(ctx context.Context, method, path, bootID string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return &CallError{Err: err}
		}
	}
	resp, err := c.control.send(ctx, bootID, func(ctx context.Context) (*http.Request, error) {
		return wire.NewRequest(ctx, method, "http://"+c.options.Address+path, body)
	})
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	defer resp.Body.Close()
	data, err := readWhole(resp.Body, c.options.MaxAnswerBytes)
	if err != nil {
		return &CallError{Sent: true, Err: err}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &CallError{Sent: true, Err: errors.Wrapf(err, "answer of %s %s", method, path)}
	}
	return nil
}
