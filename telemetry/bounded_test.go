package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/telemetry"
)

// stuck is a reader of the logs that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against traffic that waits for the reader of the logs, and memory that grows with it.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
	assert.Assert(t, out.text.Len() < 3<<20, "%d bytes", out.text.Len())
	assert.Assert(t, strings.Contains(out.text.String(), "log lines dropped"))
}
