package answer

import (
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport whose answers have valid heads, and bodies as Body returns
// them. It doesn't check informational answers, of which net/http keeps nothing. Its
// connections have to be opened through Dial, since net/http doesn't tell of an error of
// the last piece of a request.
type Transport struct{ http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	write := NewWrite()
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { write.restart() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { write.End(info.Err) },
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	resp.Body = Body(ctx, resp, write)
	return resp, nil
}
