package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/engine/wire"
)

// State returns the engine's report about itself.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, StatePath, "", nil, &state)
	return state, err
}

// Order sends an order to the process with the boot ID, or to any process if bootID is
// empty. A *RefusedError with status 409 means that the engine has seen a higher
// fencing number.
func (c *Client) Order(ctx context.Context, bootID string, order Order) (OrderAnswer, error) {
	var answer OrderAnswer
	err := c.call(ctx, http.MethodPost, OrderPath, bootID, order, &answer)
	return answer, err
}

// CacheEvents returns the cache events whose numbers are above after.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, CacheEventsPath+"?After="+strconv.FormatInt(after, 10), "", nil, &events)
	return events, err
}

// Export returns the prefixes in the engine's cache.
func (c *Client) Export(ctx context.Context) (KVCache, error) {
	var cache KVCache
	err := c.call(ctx, http.MethodPost, ExportPath, "", struct{}{}, &cache)
	return cache, err
}

// Import adds prefixes of another engine to the engine's cache.
func (c *Client) Import(ctx context.Context, cache KVCache) error {
	return c.call(ctx, http.MethodPost, ImportPath, "", cache, nil)
}

// call sends a control call with in as its JSON body, and decodes the answer into out.
// Either may be nil.
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
		return readRefusal(resp)
	}
	defer resp.Body.Close()
	data, err := readBody(resp.Body, c.options.MaxAnswerBytes)
	if err != nil {
		return &CallError{Sent: true, Err: err}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &CallError{Sent: true, Err: errors.Wrapf(err, "decode answer of %s %s", method, path)}
	}
	return nil
}
