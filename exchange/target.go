package exchange

import (
	"net/http"
	"net/url"
	"strings"
)

// Target returns the path and the query of a request exactly as its sender wrote them; r.URL may hold
// them decoded. It returns false if the target has no path, such as "mailto:x", or cannot be sent
// unchanged.
func Target(r *http.Request) (string, bool) {
	target, ok := originForm(r)
	// An HTTP/2 request can have a space in its target.
	if !ok || strings.Contains(target, " ") || targetURL(target).RequestURI() != target {
		return "", false
	}
	return target, true
}

// TargetPath returns the part of a target before its query.
func TargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// originForm returns the request target without the scheme and the host of an absolute URI.
func originForm(r *http.Request) (string, bool) {
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

// targetURL returns the URL that http.Transport writes as the target. It must be opaque, because
// the transport encodes a path anew if that has a byte which is not valid there: "/a|b%2F" would
// become "/a%7Cb/". An opaque URL that begins with "//" would be sent with a scheme.
func targetURL(target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		if u, err := url.ParseRequestURI(target); err == nil {
			return u
		}
	}
	return &url.URL{Opaque: target}
}
