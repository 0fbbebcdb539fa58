package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const traceLog = `2026/12/04 18:00:00 INFO request node=n0 id=other route=book outcome=answer reason="" status=200
2026/12/04 18:00:00 INFO dispatch node=n1 id=a1.call instance=i-2 service=stock outcome=answer reason="" status=500 health=suspect ms=1
2026/12/04 18:00:01 INFO dispatch node=n2 id=a1 instance=i-1 service=svc outcome=answer reason="" status=500 health=healthy ms=9
2026/12/04 18:00:01 INFO request node=n0 id=a1 route=book refusals="full:3 suspect:1" outcome=answer reason="" status=500 ms=12
{"time":"2026/12/04 18:00:02","level":"info","msg":"request","node":"n0","id":"b2","outcome":"not-run","reason":"full","status":503}
2026/12/04 18:00:03 INFO request node=n0 id=c3 route=book outcome=unknown reason=answer-lost status=502 ms=1
2026/12/04 18:00:03 INFO request node=n0 id=a12 route=book outcome=answer reason="" status=200
`

func runTrace(t *testing.T, args []string, stdin string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Main(append([]string{"trace"}, args...), strings.NewReader(stdin), &out, &errOut, "test")
	return code, out.String(), errOut.String()
}

// Guards against lines of other requests in a trace, against calls and formats of the log that it
// leaves out, and against a failure without its cause.
func TestTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(traceLog), 0o600))
	for _, c := range []struct {
		id    string
		lines int
		want  []string
	}{
		{"a1", 3, []string{"-> the backend server failed it and is suspected since", "-> the backend server failed it, most likely because a call"}},
		{"b2", 1, []string{"-> did not run: no backend server that was asked had a slot"}},
		{"c3", 1, []string{"-> may have run: the answer was lost"}},
	} {
		for _, args := range [][]string{{c.id, file}, {c.id}} {
			code, out, errOut := runTrace(t, args, traceLog)
			assert.Equal(t, code, ExitOK, errOut)
			lines := 0
			for line := range strings.Lines(out) {
				if !strings.HasPrefix(line, "  -> ") {
					lines++
				}
			}
			assert.Equal(t, lines, c.lines, out)
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(out, want), "%q lacks %q", out, want)
			}
		}
	}
}

// Guards against bad arguments that are taken for an empty trace.
func TestTraceErrors(t *testing.T) {
	for _, args := range [][]string{{}, {""}, {"nothing"}, {"a1", "/does/not/exist"}} {
		code, out, errOut := runTrace(t, args, traceLog)
		assert.Equal(t, code, ExitInvalid, "%q", args)
		assert.Equal(t, out, "")
		assert.Assert(t, errOut != "")
	}
}

// Guards against status with a word that it does not know being taken for status of the nodes.
func TestStatusArguments(t *testing.T) {
	for _, args := range [][]string{{"status", "foo"}, {"status", "nodes", "backends"}} {
		var out, errOut bytes.Buffer
		assert.Equal(t, Main(args, strings.NewReader(""), &out, &errOut, "test"), ExitInvalid, errOut.String())
	}
}
