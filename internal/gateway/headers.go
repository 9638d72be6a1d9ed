package gateway

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passOn returns a copy of a header without what concerns one connection.
// Values are shared with the original.
func passOn(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}
