// Package wire reports whether any byte of an HTTP request was written, and ensures
// that a request is written at most once.
//
//	transport := &answer.Transport{Transport: http.Transport{DialContext: wire.Dial(dialer.DialContext)}}
//	gate := &wire.Gate{}
//	req, err := wire.NewRequest(gate.Context(ctx), "POST", url, body)
//	resp, err := transport.RoundTrip(req)
//	if err != nil && !gate.Seal() {
//		// no byte was written or will be written
//	}
package wire
