package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/telemetry"
)

// blockedWriter blocks each write until it is released, like a reader of the logs that
// has stopped.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a stopped reader of the logs that blocks traffic, or that makes the
// pending log lines use unbounded memory.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	started := time.Now()
	for range 100_000 {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(started) < 5*time.Second)
	close(out.release)
	w.Close(5 * time.Second)
	assert.Assert(t, out.text.Len() < 3<<20, "%d bytes were written, expected less than 3 MiB", out.text.Len())
	assert.Assert(t, strings.Contains(out.text.String(), "log lines dropped"))
}
