package engine

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Answer is a whole answer that was not streamed.
type Answer struct {
	BootID string
	Group  string
	Epoch  int64
	Body   []byte
}

// Complete sends a request that is not streamed and returns its whole answer.
// An error is a *CallError or a *RefusedError.
func (c *Client) Complete(ctx context.Context, r Request) (*Answer, error) {
	resp, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != 200 {
		return nil, refused(resp)
	}
	defer resp.Body.Close()
	body, err := readWhole(resp.Body, c.options.MaxAnswerBytes)
	if err != nil {
		return nil, &CallError{Sent: true, Err: err}
	}
	if err := checkIdentity(resp.Header.Get(HeaderRequestID), body, r.ID); err != nil {
		return nil, &CallError{Sent: true, Err: err}
	}
	epoch, _ := strconv.ParseInt(resp.Header.Get(HeaderEpoch), 10, 64)
	return &Answer{
		BootID: resp.Header.Get(HeaderBootID),
		Group:  resp.Header.Get(HeaderGroup),
		Epoch:  epoch,
		Body:   body,
	}, nil
}

// checkIdentity compares the request ID in the header and in the body.
func checkIdentity(header string, body []byte, want string) error {
	if disabledIdentity {
		return nil
	}
	if header != want {
		return errors.Wrapf(ErrCrossed, "request ID %q, want %q", header, want)
	}
	var object struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &object); err != nil {
		return errors.Wrap(err, "answer")
	}
	if object.ID != want {
		return errors.Wrapf(ErrCrossed, "answer ID %q, want %q", object.ID, want)
	}
	return nil
}
