// Package answer decides which bytes of a server are a whole answer. All readers of HTTP
// answers use it: those that read from a connection by CheckHead and Body, those that use
// net/http's Transport by Transport.
//
//	transport := &answer.Transport{Transport: http.Transport{DialContext: answer.Dial(dialer.DialContext)}}
//	resp, err := transport.RoundTrip(req)
//	data, err := io.ReadAll(resp.Body)
//	if errors.Is(err, answer.ErrEarlyEnd) {
//		// the connection ended before the request was written
//	}
package answer
