package telemetry

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait to be written; further lines are dropped.
	maxPendingBytes = 1 << 20
	// flushInterval is the time between two writes. It lets one write take many lines.
	flushInterval = 100 * time.Millisecond
)

// BoundedWriter buffers log lines and writes them in a goroutine of its own, so that
// a slow or stopped reader of the logs never blocks traffic. If the buffer is full, it
// drops lines and counts them.
type BoundedWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer that writes to out until it is closed.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
	} else {
		w.pending.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the pending lines and stops the writer. It waits at most limit.
func (w *BoundedWriter) Close(limit time.Duration) {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
		case <-w.closed:
			w.flush()
			return
		}
		w.flush()
		select {
		case <-time.After(flushInterval):
		case <-w.closed:
		}
	}
}

func (w *BoundedWriter) flush() {
	w.mu.Lock()
	data := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		data = append(data, "WARN log lines dropped count="+strconv.Itoa(dropped)+"\n"...)
	}
	if len(data) > 0 {
		_, _ = w.out.Write(data)
	}
}
