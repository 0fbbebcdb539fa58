package exchange

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that differs from what the sender wrote, which chooses another route.
func TestTargetIsAsSent(t *testing.T) {
	for sent, want := range map[string]string{
		"/a%2Fb%2fc/%62?q=%zz&r=%20": "/a%2Fb%2fc/%62?q=%zz&r=%20",
		"//a/./b/../c;d":             "//a/./b/../c;d",
		"*":                          "*",
		"http://host":                "/",
		"http://host/":               "/",
		"http://host?q=/x":           "/?q=/x",
		"http://host/a|b%2F?":        "/a|b%2F?",
		"//a%2F?b|c":                 "//a%2F?b|c",
		"http://host//a|b":           "",
		"//a|b":                      "",
		"HTTP://u:p@host:80/a%2Fb?c": "/a%2Fb?c",
		"http://host/x://y/z":        "/x://y/z",
		"/x://y/z":                   "/x://y/z",
		"mailto:a@b":                 "",
		"http:/x":                    "",
		"http:///x":                  "",
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + sent + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		assert.NilError(t, err, sent)
		got, ok := Target(r)
		assert.Check(t, got == want && ok == (want != ""), "%s: got %q, %t, want %q", sent, got, ok, want)
	}
}

// Guards against a request line with a space in its target, which makes the rest of the target
// something else.
func TestTargetWithSpaceIsRefused(t *testing.T) {
	r := &http.Request{Method: http.MethodGet, RequestURI: "/a b", URL: &url.URL{Path: "/a b"}}
	_, ok := Target(r)
	assert.Assert(t, !ok)
}
