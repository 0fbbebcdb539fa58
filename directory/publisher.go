package directory

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Errors of a Writer.
var (
	// ErrMissing means that the record to replace or delete does not exist.
	ErrMissing = errors.New("node record to replace or delete does not exist")
	// ErrExists means that the record to create already exists.
	ErrExists = errors.New("node record to create already exists")
)

// Writer writes records to the store.
type Writer interface {
	// Create returns ErrExists if there is a record of this name.
	Create(ctx context.Context, name string, value []byte) error
	// Replace returns ErrMissing if there is no record of this name.
	Replace(ctx context.Context, name string, value []byte) error
	// Delete returns ErrMissing if there is no record of this name.
	Delete(ctx context.Context, name string) error
}

const (
	// writeTimeout bounds one write.
	writeTimeout = time.Second
	// confirmTimeout is the time within which the directory must show a write. Reads of
	// the store may be seconds out of date; a write that the directory does not show
	// after this time is assumed to be lost and is repeated.
	confirmTimeout = 8 * time.Second
	// minWriteBackoff and maxWriteBackoff bound the pause after a failed write.
	minWriteBackoff = 250 * time.Millisecond
	maxWriteBackoff = 2 * time.Second
)

// Publisher keeps the record of one node in the store equal to the wanted record. A
// write whose response was lost may take effect late. If the directory then shows
// another record, the publisher writes the wanted one again once confirmTimeout has
// passed since its last write, or when SetWanted is called again.
type Publisher struct {
	node      string
	directory *Directory
	writer    Writer
	logger    *log.Logger
	wanted    chan target
	changed   chan struct{}
}

// target is a record that the store should hold; nil means none.
type target struct {
	record *Record
	// stored is closed when the store has acknowledged the record.
	stored chan struct{}
}

// NewPublisher returns a publisher for the node.
func NewPublisher(node string, d *Directory, w Writer, logger *log.Logger) *Publisher {
	return &Publisher{node: node, directory: d, writer: w, logger: logger, wanted: make(chan target, 1), changed: make(chan struct{}, 1)}
}

// SetWanted sets the record that the store should hold; nil means that it should hold none. The
// returned channel is closed when the store has acknowledged that, which does not happen if another
// record is wanted before.
func (p *Publisher) SetWanted(r *Record) <-chan struct{} {
	t := target{record: r, stored: make(chan struct{})}
	for {
		select {
		case p.wanted <- t:
			return t.stored
		default:
		}
		select {
		case <-p.wanted:
		default:
		}
	}
}

// DirectoryChanged makes the publisher compare the wanted record with the directory
// again.
func (p *Publisher) DirectoryChanged() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// writeState is the wanted record of a publisher and the state of its writes.
type writeState struct {
	target
	// hasWanted is false until SetWanted is called; a record of an earlier process stays
	// in the store until then.
	hasWanted bool
	// written is set once the store has acknowledged the wanted record.
	written   bool
	writtenAt time.Time
	backoff   time.Duration
	// tried is set once a write of the wanted record was sent, wroteOther when a write of another
	// record was sent after the last acknowledged one. The directory may not show such a write yet.
	tried, wroteOther bool
}

// mustWrite reports whether the wanted record is to be written whatever the directory shows. The
// directory may be seconds out of date, and a departure counts only once the store has acknowledged
// it.
func (s *writeState) mustWrite() bool {
	return !s.written && (s.wroteOther || s.record != nil && s.record.Leaving)
}

// Run keeps the stored record equal to the wanted one until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	var state writeState
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case state.target = <-p.wanted:
			state.wroteOther = state.wroteOther || state.tried
			state.hasWanted, state.written, state.tried, state.backoff = true, false, false, 0
		case <-p.changed:
		case <-timer.C:
		}
		if wait := p.reconcile(ctx, &state); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// reconcile writes the wanted record if the directory shows another one. It returns
// the time after which to compare again, 0 if only a change makes that useful.
func (p *Publisher) reconcile(ctx context.Context, state *writeState) time.Duration {
	stored, found, loaded := p.directory.Record(p.node)
	if !state.hasWanted || !loaded && !state.written && !state.mustWrite() {
		return minWriteBackoff
	}
	if matches(state.record, stored, found) && !state.mustWrite() {
		return 0
	}
	if state.written && time.Since(state.writtenAt) < confirmTimeout {
		return confirmTimeout - time.Since(state.writtenAt)
	}
	state.tried = true
	if err := p.write(ctx, state.record, found); err != nil {
		state.backoff = min(max(2*state.backoff, minWriteBackoff), maxWriteBackoff)
		p.logger.Warn("record not written", "err", err.Error(), "retry_ms", state.backoff.Milliseconds())
		return state.backoff
	}
	p.logger.Info("record written", "record", describe(state.record))
	if !state.written {
		close(state.stored)
	}
	state.written, state.wroteOther, state.writtenAt, state.backoff = true, false, time.Now(), 0
	return confirmTimeout
}

func matches(wanted *Record, stored Record, found bool) bool {
	if wanted == nil {
		return !found
	}
	return found && *wanted == stored
}

func describe(r *Record) string {
	if r == nil {
		return "none"
	}
	data, err := r.Encode()
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (p *Publisher) write(ctx context.Context, r *Record, found bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if r == nil {
		if err := p.writer.Delete(ctx, p.node); !errors.Is(err, ErrMissing) {
			return err
		}
		return nil
	}
	value, err := r.Encode()
	if err != nil {
		return err
	}
	if !found {
		if err := p.writer.Create(ctx, p.node, value); !errors.Is(err, ErrExists) {
			return err
		}
	}
	err = p.writer.Replace(ctx, p.node, value)
	if found && errors.Is(err, ErrMissing) {
		return p.writer.Create(ctx, p.node, value)
	}
	return err
}
