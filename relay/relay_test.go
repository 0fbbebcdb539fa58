package relay

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/pool"
	"github.com/jackdawlane/jackdawlane/route"
	"github.com/jackdawlane/jackdawlane/telemetry"
	"github.com/jackdawlane/jackdawlane/watch"
)

// state returns a configuration with many routes, one of which differs by version.
func state(version uint64) State {
	routes := []route.Route{{Name: "changed", PathPrefix: fmt.Sprintf("/%d/", version), Pool: "p"}}
	for i := range 500 {
		routes = append(routes, route.Route{Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/r%d/", i), Pool: "p"})
	}
	return State{Snapshot: config.NewSnapshot(version, routes, []pool.Pool{{Name: "p", Service: "s"}}, nil), Limits: config.CallerLimits{BodyBytes: int64(version)}}
}

func newReplica(versions ...uint64) *Replica {
	r := NewReplica(func(State, uint64) {})
	for _, v := range versions {
		r.Replace(state(v))
	}
	return r
}

// Guards against a change whose cost grows with the number of routes on its way between nodes, and against
// updates that do not lead to the version of the sender.
func TestUpdatesHoldOnlyChanges(t *testing.T) {
	sender := newReplica(2, 3, 5, 9)
	for _, from := range []uint64{0, 1, 2, 3, 5} {
		receiver := newReplica()
		if from > 0 {
			receiver.Replace(state(from))
		}
		current, data, err := sender.UpdatesSince(from)
		assert.NilError(t, err)
		assert.Equal(t, current, uint64(9))
		version, _, err := receiver.Apply(data)
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(9))
		assert.Equal(t, receiver.State().Snapshot.Digest(), sender.State().Snapshot.Digest())
		assert.Equal(t, receiver.State().Limits.BodyBytes, int64(9))
		if from >= 2 {
			assert.Assert(t, len(data) < 1000, "%d bytes from version %d", len(data), from)
		}
		// What it received serves others too.
		last := newReplica(5)
		_, data, err = receiver.UpdatesSince(5)
		assert.NilError(t, err)
		_, _, err = last.Apply(data)
		assert.NilError(t, err)
	}
	_, data, err := sender.UpdatesSince(9)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 0)
}

// Guards against all rows being asked for because the store was faster with a part of the updates.
func TestUpdatesThatOverlapAreApplied(t *testing.T) {
	sender := newReplica(2, 3, 5, 9)
	_, data, err := sender.UpdatesSince(2)
	assert.NilError(t, err)
	for _, version := range []uint64{3, 5, 9} {
		receiver := newReplica(2, version)
		got, _, err := receiver.Apply(data)
		assert.NilError(t, err)
		assert.Equal(t, got, uint64(9))
		assert.Equal(t, receiver.State().Snapshot.Digest(), sender.State().Snapshot.Digest())
	}
}

// Guards against an older configuration, or one of odd bytes, that replaces the one in force.
func TestUpdatesNeverGoBack(t *testing.T) {
	r := newReplica(5)
	_, older, err := newReplica(3).UpdatesSince(0)
	assert.NilError(t, err)
	version, _, err := r.Apply(older)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(5))
	_, other, err := newReplica(6, 7).UpdatesSince(6)
	assert.NilError(t, err)
	for _, data := range [][]byte{other, older[:len(older)/2], []byte("odd"), nil} {
		_, _, err := r.Apply(data)
		assert.Assert(t, errors.Is(err, ErrUpdate), "%v", err)
	}
	assert.Assert(t, !r.Replace(state(4)))
	assert.Equal(t, r.State().Version(), uint64(5))
}

// startClient starts a client of a node whose only source is the server of a replica. The store never
// answers it.
func startClient(t *testing.T, source *Replica, progress *watch.Progress) (*Replica, *watch.Progress) {
	server := httptest.NewServer(NewServer(source, progress, testMaxAge, telemetry.NewMetrics()).Handler(nil))
	t.Cleanup(server.CloseClientConnections)
	replica, own := newReplica(), watch.NewProgress()
	child, sources := childOf(50)
	for i := range sources {
		sources[i].Address = strings.TrimPrefix(server.URL, "http://")
	}
	c := NewClient(Config{
		Self: child.self, MaxAge: testMaxAge, Replica: replica, Progress: own, Store: silentStore{},
		Apply: func(watch.Batch) {}, Follow: func(ctx context.Context) { <-ctx.Done() },
		Metrics: telemetry.NewMetrics(), Logger: log.New(io.Discard),
	})
	c.selector = child
	close(c.known)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return replica, own
}

// silentStore answers no call.
type silentStore struct{}

func (silentStore) List(ctx context.Context, _ func()) (watch.Batch, error) {
	<-ctx.Done()
	return watch.Batch{}, ctx.Err()
}

func (s silentStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (watch.Batch, error) {
	return s.List(ctx, nil)
}

func waitForVersion(t *testing.T, r *Replica, version uint64, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); r.State().Version() != version; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "version %d after %s; want %d", r.State().Version(), limit, version)
	}
}

// Guards against a change that a node learns of only when its request for updates ends, and against an age of
// the configuration that is stated younger than it is.
func TestChangeIsPassedOnAtOnce(t *testing.T) {
	t.Parallel()
	source, sourceProgress := newReplica(1), watch.NewProgress()
	replica, progress := startClient(t, source, sourceProgress)
	waitForVersion(t, replica, 1, testMaxAge)
	for v := uint64(2); v < 6; v++ {
		confirmed := boottime.Now()
		sourceProgress.Learn(confirmed, 100+v)
		source.Replace(state(v))
		waitForVersion(t, replica, v, testMaxAge/10)
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, progress.Age() >= boottime.Now()-confirmed-time.Millisecond)
		assert.Equal(t, progress.State().Revision, 100+v)
	}
}

// Guards against a node that takes a source for one that knows the newest version although it cannot know.
func TestAgeIsPassedOn(t *testing.T) {
	t.Parallel()
	source, sourceProgress := newReplica(1), watch.NewProgress()
	replica, progress := startClient(t, source, sourceProgress)
	waitForVersion(t, replica, 1, testMaxAge)
	time.Sleep(testMaxAge)
	assert.Assert(t, progress.Age() >= sourceProgress.Age()-time.Millisecond, "%s, the source %s", progress.Age(), sourceProgress.Age())
	assert.Assert(t, progress.SinceAnswer() >= testMaxAge*9/10)
	sourceProgress.Learn(boottime.Now(), 7)
	time.Sleep(testMaxAge)
	assert.Assert(t, progress.State().Revision == 7)
}

// Guards against a node that asks no source while it waits for a silent store, and learns of a change late.
func TestSilentStoreDoesNotKeepNodeFromItsSources(t *testing.T) {
	t.Parallel()
	source, sourceProgress := newReplica(1), watch.NewProgress()
	sourceProgress.Learn(boottime.Now(), 5)
	replica, _ := startClient(t, source, sourceProgress)
	waitForVersion(t, replica, 1, testMaxAge)
	time.Sleep(testMaxAge)
	sourceProgress.Learn(boottime.Now(), 7)
	source.Replace(state(2))
	waitForVersion(t, replica, 2, testMaxAge/2)
}
