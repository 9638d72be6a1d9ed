// Package wire tells whether any byte of an HTTP request was written, and makes
// sure that a request is written at most once.
//
//	transport := &http.Transport{DialContext: wire.Dial(dialer.DialContext)}
//	gate := &wire.Gate{}
//	req, err := wire.NewRequest(gate.Context(ctx), "POST", url, body)
//	resp, err := transport.RoundTrip(req)
//	if err != nil && !gate.Seal() {
//		// nothing was written and nothing ever will be
//	}
package wire
