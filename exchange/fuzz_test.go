package exchange

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// received parses a request as a server does, or returns nil if it is none.
func received(text string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return nil
	}
	return r
}

// forward returns the bytes of the request that NewRequest makes of r.
func forward(t *testing.T, r *http.Request, endToEnd []string) string {
	out, body := NewRequest(t.Context(), r, "127.0.0.1:1", strings.NewReader(""), endToEnd)
	defer body.Close()
	var sent bytes.Buffer
	assert.NilError(t, out.Write(&sent))
	return sent.String()
}

// Guards against a target that is sent on changed, or that ends the request line early.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{
		"/", "/a%2Fb%2fc", "/a|b%7C", "/^{}\"<>`\\[]#'", "//a", "//a|b", "///a%zz?", "/./a/../b;c", "/a?", "/a??", "/a?b=%zz",
		"/a+b%20c", "/\xc3\xbc\xff", "*", "?", "http://host", "http://host?q", "http://u:p@host:80//a|b?c", "HTTP://host/x://y",
		"mailto:a@b", "http:/a", "http:///a", "://a", "/a b", "/a\tb", "/a\x7f", "/%00", "/" + strings.Repeat("a|", 100),
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r := received("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")
		if r == nil {
			return
		}
		got, ok := Target(r)
		if !ok {
			return
		}
		asSent := strings.HasSuffix(r.RequestURI, got) || strings.HasSuffix(r.RequestURI, strings.TrimPrefix(got, "/"))
		assert.Assert(t, asSent, "%q became %q", r.RequestURI, got)
		if strings.HasPrefix(r.RequestURI, "/") {
			assert.Equal(t, got, r.RequestURI)
		}
		line, _, _ := strings.Cut(forward(t, r, nil), "\r\n")
		assert.Equal(t, line, "GET "+got+" HTTP/1.1")
	})
}

// Guards against a Connection header that strips an end-to-end header, and against a header that
// concerns one connection being sent on.
func FuzzConnectionHeader(f *testing.F) {
	for _, names := range []string{
		"keep-alive, Caller", "close, X-Named", " x-NAMED ,\tcaller\t,,", "upgrade", "te, Connection", "Host, Content-Length, Transfer-Encoding",
		"\"Caller\"", "Caller;q=1", "Caller X-Named", "\xc3\xbc", strings.Repeat("a,", 1000),
	} {
		f.Add(names, "Connection: X-Named")
	}
	f.Add("a", "Proxy-Connection: Caller")
	f.Add("a", "CONNECTION: caller\r\nTE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: timeout=5")
	f.Fuzz(func(t *testing.T, names, lines string) {
		r := received("GET / HTTP/1.1\r\nHost: h\r\nCaller: svc\r\nX-Named: 1\r\nConnection: " + names + "\r\n" + lines + "\r\n\r\n")
		if r == nil || r.ContentLength != 0 || len(r.Trailer) > 0 {
			return
		}
		connection := strings.Split(strings.Join(r.Header.Values("Connection"), ","), ",")
		out := received(forward(t, r, []string{"Caller"}))
		assert.Assert(t, out != nil)
		assert.Equal(t, out.Header.Get("Caller"), "svc")
		for _, name := range []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Upgrade"} {
			assert.Equal(t, len(out.Header.Values(name)), 0, name)
		}
		named := slices.ContainsFunc(connection, func(name string) bool { return strings.EqualFold(strings.TrimSpace(name), "X-Named") })
		assert.Equal(t, out.Header.Get("X-Named") == "", named, "%q", connection)
	})
}
