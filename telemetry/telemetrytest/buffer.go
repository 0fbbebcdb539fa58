// Package telemetrytest helps to test what programs log.
package telemetrytest

import (
	"bytes"
	"sync"
)

// Buffer collects log lines. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all lines so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Block makes all calls wait until release is called, as if nobody read the lines.
func (b *Buffer) Block() (release func()) {
	b.mu.Lock()
	return b.mu.Unlock
}
