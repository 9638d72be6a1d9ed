package exchange

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chicorystall/chicorystall/internal/answer"
)

// readAnswer reads the head of the answer to a request and skips answers to other
// requests. reusable states whether the connection can be reused after the body.
func (c *conn) readAnswer(r *Request, reused bool) (resp *http.Response, reusable bool, err error) {
	request := &http.Request{Method: r.Method}
	defer c.input.removeLimit()
	c.limitHead()
	informationalCount := 0
	for foreignCount := 0; foreignCount <= maxForeignAnswers; {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, errors.Wrap(c.readError(err), "reading the answer")
		}
		if err := answer.CheckHead(resp); err != nil {
			return nil, false, errors.Wrap(err, "reading the answer")
		}
		if resp.StatusCode < http.StatusOK {
			if informationalCount++; informationalCount > maxInformationalAnswers {
				return nil, false, &TooLongError{Part: Informational, Limit: maxInformationalAnswers}
			}
			continue
		}
		if r.OwnsAnswer != nil && !r.OwnsAnswer(resp.StatusCode, resp.Header, reused) {
			foreignCount++
			c.input.removeLimit()
			if err := c.discardAnswer(resp); err != nil {
				return nil, false, errors.Mark(err, ErrForeignAnswer)
			}
			c.limitHead()
			reused = true
			continue
		}
		c.serverIdleTimeout = parseKeepAliveTimeout(resp.Header)
		reusable := !resp.Close && foreignCount == 0 && !answer.EndsWithConn(resp)
		return resp, reusable, nil
	}
	return nil, false, ErrForeignAnswer
}

// discardAnswer reads an answer to another request to its end, but at most
// maxDrainBytes of its body. The body is not closed, since Close would read it to
// its end, which may never come.
func (c *conn) discardAnswer(resp *http.Response) error {
	if answer.EndsWithConn(resp) {
		return errors.New("answer to another request has neither a length nor chunked encoding")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	if err != nil {
		return c.bodyReadError(err)
	}
	if n == maxDrainBytes {
		return &TooLongError{Part: OtherAnswer, Limit: maxDrainBytes}
	}
	return nil
}
