package engine

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Answer is a complete answer that was not streamed.
type Answer struct {
	BootID string
	Group  string
	Epoch  int64
	Body   []byte
}

// Complete sends a request that is not streamed and returns its complete answer. An
// error is a *CallError or a *RefusedError.
func (c *Client) Complete(ctx context.Context, r Request) (*Answer, error) {
	resp, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != 200 {
		return nil, readRefusal(resp)
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body, c.options.MaxAnswerBytes)
	if err != nil {
		return nil, &CallError{Sent: true, Err: err}
	}
	if err := checkRequestID(resp.Header.Get(HeaderRequestID), body, r.ID); err != nil {
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

// checkRequestID checks that the header and the body have the wanted request ID.
func checkRequestID(header string, body []byte, want string) error {
	if disabledIDCheck {
		return nil
	}
	if header != want {
		return errors.Wrapf(ErrWrongRequest, "answer header has request ID %q, want %q", header, want)
	}
	var object struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &object); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if object.ID != want {
		return errors.Wrapf(ErrWrongRequest, "answer body has ID %q, want %q", object.ID, want)
	}
	return nil
}
