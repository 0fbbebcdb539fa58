package exchange

import (
	"net/http"
	"strings"
)

// Target returns the path and the query of a request exactly as its sender wrote them, which
// r.URL does not tell. It returns false if the request target has no path, as "mailto:x".
func Target(r *http.Request) (string, bool) {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") || target == "*" {
		return target, true
	}
	if target == "" {
		// Only a request that no server has read is without a RequestURI.
		return r.URL.RequestURI(), true
	}
	_, afterScheme, ok := strings.Cut(target, "://")
	if !ok || r.URL.Host == "" {
		return "", false
	}
	start := strings.IndexAny(afterScheme, "/?")
	switch {
	case start < 0:
		return "/", true
	case afterScheme[start] == '?':
		return "/" + afterScheme[start:], true
	}
	return afterScheme[start:], true
}

// TargetPath returns the part of a target before its query.
func TargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
