package directory

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Errors of a Writer.
var (
	// ErrMissing says that the object to replace or delete does not exist.
	ErrMissing = errors.New("record does not exist")
	// ErrExists says that the object to create exists.
	ErrExists = errors.New("record exists")
)

// Writer writes records to the store.
type Writer interface {
	// Create returns ErrExists when there is a record of the name.
	Create(ctx context.Context, name string, value []byte) error
	// Replace returns ErrMissing when there is none.
	Replace(ctx context.Context, name string, value []byte) error
	// Delete returns ErrMissing when there is none.
	Delete(ctx context.Context, name string) error
}

const (
	// writeTimeout bounds one write.
	writeTimeout = time.Second
	// confirmWithin is the time in which a write shows in the directory. Stale reads
	// may be seconds behind; after that the write is taken as lost.
	confirmWithin = 8 * time.Second
	// minWriteBackoff and maxWriteBackoff bound the pause after a failed write.
	minWriteBackoff = 250 * time.Millisecond
	maxWriteBackoff = 2 * time.Second
)

// Publisher keeps the record of one node in the store as it should be. A write whose
// answer was lost may take effect late; the directory then shows another record, and
// the publisher writes again.
type Publisher struct {
	node      string
	directory *Directory
	writer    Writer
	logger    *log.Logger
	wanted    chan *Record
	changed   chan struct{}
}

// NewPublisher returns a publisher for the node.
func NewPublisher(node string, d *Directory, w Writer, logger *log.Logger) *Publisher {
	return &Publisher{node: node, directory: d, writer: w, logger: logger, wanted: make(chan *Record, 1), changed: make(chan struct{}, 1)}
}

// Want sets the record that should be in the store; nil means none.
func (p *Publisher) Want(r *Record) {
	for {
		select {
		case p.wanted <- r:
			return
		default:
		}
		select {
		case <-p.wanted:
		default:
		}
	}
}

// DirectoryChanged tells the publisher to compare the directory again.
func (p *Publisher) DirectoryChanged() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// position is what a publisher has written.
type position struct {
	wanted *Record
	// started is false until a record was wanted; an old record stays until then.
	started bool
	written bool
	at      time.Time
	backoff time.Duration
}

// Run writes until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	var now position
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now.wanted = <-p.wanted:
			now.started, now.written, now.backoff = true, false, 0
		case <-p.changed:
		case <-timer.C:
		}
		if wait := p.reconcile(ctx, &now); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// reconcile writes when the store differs from what is wanted. It returns when to
// look again, 0 when only a change makes that useful.
func (p *Publisher) reconcile(ctx context.Context, now *position) time.Duration {
	stored, found, loaded := p.directory.Record(p.node)
	if !now.started || !loaded && !now.written {
		return minWriteBackoff
	}
	if same(now.wanted, stored, found) {
		return 0
	}
	if now.written && time.Since(now.at) < confirmWithin {
		return confirmWithin - time.Since(now.at)
	}
	if err := p.write(ctx, now.wanted, found); err != nil {
		now.backoff = min(max(2*now.backoff, minWriteBackoff), maxWriteBackoff)
		p.logger.Warn("record not written", "err", err.Error(), "retry_ms", now.backoff.Milliseconds())
		return now.backoff
	}
	p.logger.Info("record written", "record", describe(now.wanted))
	now.written, now.at, now.backoff = true, time.Now(), 0
	return confirmWithin
}

func same(wanted *Record, stored Record, found bool) bool {
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
