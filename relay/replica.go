// Package relay passes the configuration on between the nodes of a region, so that only a few of them read
// it from the store. The others ask these, or nodes that asked them, and get the rows that have changed. A
// reply also states how long ago the sender knew that its version was the newest one; a node that gets no
// fresh reply reads the store itself.
package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/config"
)

const (
	// maxUpdates bounds the updates that are kept for nodes that have an earlier version.
	maxUpdates = 32
	// maxUpdateBytes bounds the decoded size of the updates in one reply.
	maxUpdateBytes = 48 << 20
)

// ErrUpdate means that a sequence of updates cannot be decoded or applied.
var ErrUpdate = errors.New("updates of the configuration cannot be applied")

// State is a configuration.
type State struct {
	Snapshot *config.Snapshot
	Limits   config.CallerLimits
}

// Version returns the version of the configuration; 0 means that there is none.
func (s State) Version() uint64 { return s.Snapshot.Version() }

// update is the change from one version to another one. Its encoded form is one gzip member with JSON.
type update struct {
	config.Patch
	Limits config.CallerLimits `json:"limits"`
}

// encodedUpdate is the encoded form of the update between two versions.
type encodedUpdate struct {
	from, to uint64
	data     []byte
}

// Replica holds the configuration in force at a node and the latest updates. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex
	state State
	// updates lead from one version to the next one, up to the version in force.
	updates []encodedUpdate
	// full is the encoded form of the whole state; nil until it is needed.
	full []byte
	// changed is closed, and replaced, when another version comes into force.
	changed chan struct{}
	// inForce is called, one call at a time, with each version that comes into force.
	inForce func(s State, previous uint64)
}

// NewReplica returns a replica without a configuration.
func NewReplica(inForce func(s State, previous uint64)) *Replica {
	return &Replica{
		state:   State{Snapshot: config.NewSnapshot(0, nil, nil, nil)},
		changed: make(chan struct{}),
		inForce: inForce,
	}
}

// State returns the configuration in force.
func (r *Replica) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Changed returns a channel that is closed when another version comes into force.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Replace puts a configuration from the store in force and returns true. It ignores one whose version is
// not higher than that in force.
func (r *Replica) Replace(s State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version() <= r.state.Version() {
		return false
	}
	r.putInForce(s, func(previous *config.Snapshot) ([]byte, error) {
		return encode(update{Patch: s.Snapshot.PatchFrom(previous), Limits: s.Limits})
	})
	return true
}

// putInForce replaces the state. encoded returns the update to it. The caller holds r.mu.
func (r *Replica) putInForce(s State, encoded func(previous *config.Snapshot) ([]byte, error)) {
	previous := r.state
	r.updates = append(r.updates, r.encodedUpdate(s, encoded)...)
	r.updates = r.updates[max(0, len(r.updates)-maxUpdates):]
	r.state, r.full = s, nil
	r.inForce(s, previous.Version())
	close(r.changed)
	r.changed = make(chan struct{})
}

// encodedUpdate returns the update from the state in force to another one, or nothing if it holds all rows
// and so serves no node that has a version.
func (r *Replica) encodedUpdate(to State, encoded func(previous *config.Snapshot) ([]byte, error)) []encodedUpdate {
	if r.state.Version() == 0 {
		return nil
	}
	data, err := encoded(r.state.Snapshot)
	if err != nil {
		r.updates = nil
		return nil
	}
	return []encodedUpdate{{from: r.state.Version(), to: to.Version(), data: data}}
}

// UpdatesSince returns the version in force and the encoded updates that lead to it from another version:
// those in between, or the whole configuration if they are not known. There are none if that version is not
// older.
func (r *Replica) UpdatesSince(version uint64) (current uint64, data []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current = r.state.Version()
	if version >= current {
		return current, nil, nil
	}
	if updates, known := r.updatesFrom(version); known {
		return current, updates, nil
	}
	data, err = r.encodedState()
	return current, data, err
}

func (r *Replica) updatesFrom(version uint64) (data []byte, known bool) {
	for _, u := range r.updates {
		if u.from == version || data != nil {
			data = append(data, u.data...)
		}
	}
	return data, data != nil
}

func (r *Replica) encodedState() ([]byte, error) {
	if r.full != nil {
		return r.full, nil
	}
	data, err := encode(update{Patch: r.state.Snapshot.PatchFrom(nil), Limits: r.state.Limits})
	r.full = data
	return data, err
}

// Apply applies encoded updates from another node and returns the version in force and the number of rows
// that have changed. It returns ErrUpdate if they do not lead from the version in force to a higher one.
func (r *Replica) Apply(data []byte) (version uint64, rows int, err error) {
	updates, err := decode(data)
	if err != nil {
		return 0, 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state
	// The store, or another node, may have been faster than the reply.
	received := len(updates)
	updates = slices.DeleteFunc(updates, func(u update) bool { return u.To <= state.Version() })
	if len(updates) == 0 {
		return state.Version(), 0, nil
	}
	for _, u := range updates {
		snapshot, err := state.Snapshot.Apply(u.Patch)
		if err != nil {
			return r.state.Version(), 0, errors.Mark(err, ErrUpdate)
		}
		state = State{Snapshot: snapshot, Limits: u.Limits}
		rows += u.Rows()
	}
	r.putInForce(state, func(previous *config.Snapshot) ([]byte, error) {
		if len(updates) == received && updates[0].From != 0 {
			return data, nil
		}
		return encode(update{Patch: state.Snapshot.PatchFrom(previous), Limits: state.Limits})
	})
	return state.Version(), rows, nil
}

func encode(u update) ([]byte, error) {
	var data bytes.Buffer
	w, err := gzip.NewWriterLevel(&data, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := errors.CombineErrors(json.NewEncoder(w).Encode(u), w.Close()); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

// decode decodes a sequence of updates. A gzip reader reads several members as one stream.
func decode(data []byte) ([]update, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Mark(err, ErrUpdate)
	}
	decoder := json.NewDecoder(io.LimitReader(r, maxUpdateBytes))
	var updates []update
	for {
		var u update
		err := decoder.Decode(&u)
		if errors.Is(err, io.EOF) && len(updates) > 0 {
			return updates, nil
		}
		if err != nil {
			return nil, errors.Mark(err, ErrUpdate)
		}
		updates = append(updates, u)
	}
}
