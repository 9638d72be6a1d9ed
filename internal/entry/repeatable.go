package entry

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/chicorystall/chicorystall/pkg/fleet"
)

// mayNotRepeat reports whether a call matches one of the service's patterns.
func mayNotRepeat(service fleet.Service, method, path string) bool {
	for _, pattern := range service.NonIdempotent {
		wantMethod, wantPath, _ := strings.Cut(pattern, " ")
		if wantMethod == method && matchesPath(wantPath, path) {
			return true
		}
	}
	return false
}

// matchesPath compares a path with a pattern, part by part. A part in braces
// stands for any one part, a "*" at the end for any rest. The path is compared as
// a service would read it: decoded, without doubled or trailing slashes.
func matchesPath(pattern, sent string) bool {
	decoded, err := url.PathUnescape(sent)
	if err != nil {
		return true // what can't be read may be anything
	}
	prefix, open := strings.CutSuffix(pattern, "*")
	if open && strings.HasPrefix(path.Clean(decoded), prefix) {
		return true
	}
	want := strings.Split(path.Clean(pattern), "/")
	got := strings.Split(path.Clean(decoded), "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		wild := strings.HasPrefix(want[i], "{") && strings.HasSuffix(want[i], "}")
		if !wild && want[i] != got[i] {
			return false
		}
	}
	return true
}

// isSafe reports whether a method has no effect, or the same one when it is
// repeated (RFC 9110, section 9.2).
func isSafe(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPatch, http.MethodConnect:
		return false
	}
	return true
}
