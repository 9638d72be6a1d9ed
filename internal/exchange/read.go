package exchange

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// read reads the head of the answer to the request and skips answers to others.
func (c *conn) read(r *Request, reused bool) (answer *Answer, keep bool, err error) {
	method := &http.Request{Method: r.Method}
	defer c.source.unbind()
	c.bindHead()
	informational := 0
	for foreign := 0; foreign <= maxForeign; {
		resp, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, false, errors.Wrap(c.failure(err), "reading the answer")
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			if informational++; informational > maxInformational {
				return nil, false, &TooLongError{Part: Informational, Limit: maxInformational}
			}
			continue
		}
		if r.OwnsAnswer != nil && !r.OwnsAnswer(resp.StatusCode, resp.Header, reused) {
			foreign++
			c.source.unbind()
			if err := c.skip(resp); err != nil {
				return nil, false, errors.Mark(err, ErrForeignAnswer)
			}
			c.bindHead()
			reused = true
			continue
		}
		c.idleFor = keepAliveTimeout(resp.Header)
		keep := !resp.Close && foreign == 0 && resp.StatusCode != http.StatusSwitchingProtocols && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, ContentLength: resp.ContentLength}, keep, nil
	}
	return nil, false, ErrForeignAnswer
}

// skip reads an answer to another request to its end. The body is not closed,
// since http.Response.Body would be read on until its end, which may never come.
func (c *conn) skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("an answer to another request has no end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrain))
	if err != nil {
		return c.bodyFailure(err)
	}
	if n == maxDrain {
		return &TooLongError{Part: OtherAnswer, Limit: maxDrain}
	}
	return nil
}
