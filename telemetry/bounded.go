package telemetry

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// boundedBytes is what may wait for a reader of the logs; more is dropped.
	boundedBytes = 1 << 20
	// boundedInterval is the time between two writes, so that many lines take one call.
	boundedInterval = 100 * time.Millisecond
)

// BoundedWriter collects lines and writes them from a goroutine of its own, so that
// a slow or stopped reader of the logs never blocks traffic. Lines beyond a bound
// are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.waiting.Len()+len(line) > boundedBytes {
		w.dropped++
	} else {
		w.waiting.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is waiting, within a limit of time.
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
		case <-time.After(boundedInterval):
		case <-w.closed:
		}
	}
}

func (w *BoundedWriter) flush() {
	w.mu.Lock()
	data := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
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
