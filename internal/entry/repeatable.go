package entry

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// isNonIdempotent reports whether a call matches one of the patterns of
// non-idempotent calls of the service.
func isNonIdempotent(service fleet.Service, method, path string) bool {
	for _, pattern := range service.NonIdempotent {
		wantMethod, wantPath, _ := strings.Cut(pattern, " ")
		if wantMethod == method && matchesPath(wantPath, path) {
			return true
		}
	}
	return false
}

// matchesPath compares a path with a pattern, segment by segment. A segment in
// braces matches any one segment, and a "*" at the end matches any rest. The path is
// compared as a service would read it: decoded, and without repeated or trailing
// slashes.
func matchesPath(pattern, escaped string) bool {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return true // a path that can't be decoded may stand for any path
	}
	prefix, isPrefix := strings.CutSuffix(pattern, "*")
	if isPrefix && strings.HasPrefix(path.Clean(decoded), prefix) {
		return true
	}
	want := strings.Split(path.Clean(pattern), "/")
	got := strings.Split(path.Clean(decoded), "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		wildcard := strings.HasPrefix(want[i], "{") && strings.HasSuffix(want[i], "}")
		if !wildcard && want[i] != got[i] {
			return false
		}
	}
	return true
}

// isIdempotentMethod reports whether a repeated request with the method has the same
// effect as one request (RFC 9110, section 9.2).
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPatch, http.MethodConnect:
		return false
	}
	return true
}
