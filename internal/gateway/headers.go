package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are valid for one connection only and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of a header without the hop-by-hop headers and
// Content-Length. Values are shared with the original.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}
