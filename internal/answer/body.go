package answer

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrEarlyEnd marks the error of a body that ended with its connection before the request
// was written.
var ErrEarlyEnd = errors.New("answer ended before its request was written")

// EndsWithConn reports whether the body of an answer has neither a length nor chunks, so
// that its end is that of its connection.
func EndsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Body returns the body of an answer to a request that may still be written. Its reads
// return io.EOF only if it is whole. ctx is that of the request and ends a wait for the
// write.
//
// net/http ensures that for a body with a length or chunks. The end of any other is that
// of its connection, which must have ended without an error after the request was written.
// The reads alone don't show that: if the server resets a connection that is written to,
// the system may report the reset to the write, and only the end to the reads.
func Body(ctx context.Context, resp *http.Response, write Write) io.ReadCloser {
	// What net/http has decompressed has a checksum at its end.
	if !EndsWithConn(resp) || resp.Uncompressed {
		return resp.Body
	}
	return &connBody{ReadCloser: resp.Body, ctx: ctx, write: write}
}

// connBody is a body that ends with its connection.
type connBody struct {
	io.ReadCloser
	ctx   context.Context // of the request
	write Write
}

// Read implements io.Reader.
func (b *connBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if writeErr := b.write.Wait(b.ctx); writeErr != nil {
		err = errors.Mark(errors.Wrap(writeErr, ErrEarlyEnd.Error()), ErrEarlyEnd)
	}
	return n, err
}
