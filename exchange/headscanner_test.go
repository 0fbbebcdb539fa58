package exchange

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed name of a field that is not found, or a well-formed response that is taken for
// malformed, depending on where the bytes that are read end.
func TestHeadScannerAtAnyCut(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nA-b_1: c d:\t\xc3\xbc\r\n"
	for _, c := range []struct {
		desc, wellFormed, malformed string
	}{
		{"length", ok + "Content-Length: 3\r\n\r\na b: c\r\n\x00", ""},
		{"bare line feeds", "HTTP/1.1 200\nA: b\n\na b: c", ""},
		{"no reason", "HTTP/1.1 200\r\nA: b\r\n\r\n : c", ""},
		{"no field", "HTTP/1.1 200 OK\r\n\r\n : c", ""},
		{"empty value", "HTTP/1.1 200 OK\r\nA:\r\n\r\n", ""},
		{"interim", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100\r\n\r\n" + ok + "\r\n1 : 1", ""},
		{"blank in a name", ok + "X", " Y: z\r\n\r\n"},
		{"blank behind a name", ok + "X", " : z\r\n\r\n"},
		{"tab behind a name", ok + "X", "\t: z\r\n\r\n"},
		{"folded line", ok, " X: z\r\n\r\n"},
		{"folded line with a tab", ok, "\tX\r\n\r\n"},
		{"control byte", ok, "\x01X: z\r\n\r\n"},
		{"letter beyond ASCII", ok + "X", "\xc3\xbc: z\r\n\r\n"},
		{"empty name", ok, ": z\r\n\r\n"},
		{"no colon", ok + "X", "\r\n\r\n"},
		{"carriage return at the start", ok + "\r", "X: z\r\n\r\n"},
		{"behind an interim head", "HTTP/1.1 103 x\r\nA: b\r\n\r\n" + ok + "X", " : z\r\n\r\n"},
		{"in an interim head", "HTTP/1.1 103 x\r\nX", " : z\r\n\r\n" + ok},
	} {
		text := c.wellFormed + c.malformed
		for cut := range len(text) + 1 {
			var s headScanner
			first, err := s.scan([]byte(text[:cut]))
			second := 0
			if err == nil {
				second, err = s.scan([]byte(text[cut:]))
			}
			assert.Check(t, first+second == len(c.wellFormed), "%s, cut at %d: %d", c.desc, cut, first+second)
			assert.Check(t, (err != nil) == (c.malformed != ""), "%s, cut at %d: %v", c.desc, cut, err)
			if err != nil {
				n, again := s.scan([]byte(strings.Repeat("x", 3)))
				assert.Check(t, n == 0 && again == errMalformedHead, "%s, cut at %d: goes on after %d bytes", c.desc, cut, n)
			}
		}
	}
}

// Guards against a transfer coding that is not found, and against a field with a similar name that passes for
// one.
func TestHeadScannerFindsCoding(t *testing.T) {
	for line, want := range map[string]bool{
		"Transfer-Encoding: chunked": true, "tRANSFER-eNCODING:": true, "A: b\r\nTransfer-Encoding: x\r\nB: c": true,
		"Transfer-Encodin: x": false, "Transfer-Encodings: x": false, "X-Transfer-Encoding: x": false, "A: Transfer-Encoding: x": false,
		"Transfer-EncodingTransfer-Encoding: x": false,
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 x\r\nTransfer-Encoding: chunked\r\n\r\n"} {
			text := interim + "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nTransfer-Encoding: chunked\r\n"
			for cut := range len(text) + 1 {
				var s headScanner
				_, first := s.scan([]byte(text[:cut]))
				_, second := s.scan([]byte(text[cut:]))
				assert.Check(t, first == nil && second == nil && s.coded == want, "%q, cut at %d", text, cut)
			}
		}
	}
}
