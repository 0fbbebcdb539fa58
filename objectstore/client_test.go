package objectstore_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/objectstore"
	standin "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

func newTestClient(t *testing.T, handler http.Handler) (*objectstore.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := objectstore.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(client.Close)
	return client, server
}

// Guards against a client and a stand-in that disagree on versions, conditions and the
// errors of failed calls.
func TestConditionalCalls(t *testing.T) {
	ctx := t.Context()
	client, _ := newTestClient(t, standin.New(0))
	_, err := client.Get(ctx, "a/1")
	assert.ErrorIs(t, err, objectstore.ErrNotFound)
	first, err := client.Put(ctx, "a/1", []byte("one"), objectstore.Condition{IfNoneMatch: true})
	assert.NilError(t, err)
	_, err = client.Put(ctx, "a/1", []byte("x"), objectstore.Condition{IfNoneMatch: true})
	assert.ErrorIs(t, err, objectstore.ErrConflict)
	second, err := client.Put(ctx, "a/1", []byte("two"), objectstore.Condition{IfMatch: first})
	assert.NilError(t, err)
	_, err = client.Put(ctx, "a/1", []byte("x"), objectstore.Condition{IfMatch: first})
	assert.ErrorIs(t, err, objectstore.ErrConflict)
	o, err := client.Get(ctx, "a/1")
	assert.NilError(t, err)
	assert.DeepEqual(t, o, objectstore.Object{Value: []byte("two"), ETag: second})
	_, err = client.Put(ctx, "b", nil, objectstore.Condition{})
	assert.NilError(t, err)
	entries, err := client.List(ctx, "a/")
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []objectstore.ListEntry{{Key: "a/1", ETag: second}})
	assert.ErrorIs(t, client.Delete(ctx, "a/1", objectstore.Condition{IfMatch: first}), objectstore.ErrConflict)
	assert.NilError(t, client.Delete(ctx, "a/1", objectstore.Condition{IfMatch: second}))
	assert.ErrorIs(t, client.Delete(ctx, "a/1", objectstore.Condition{}), objectstore.ErrNotFound)
}

func TestLimits(t *testing.T) {
	client, server := newTestClient(t, standin.New(3))
	_, err := client.Put(t.Context(), "k", make([]byte, objectstore.MaxValueBytes), objectstore.Condition{})
	assert.NilError(t, err)
	_, err = client.Put(t.Context(), "k", make([]byte, objectstore.MaxValueBytes+1), objectstore.Condition{})
	assert.ErrorIs(t, err, objectstore.ErrTooLarge)
	req, err := http.NewRequest(http.MethodPut, server.URL+"/objects/k", bytes.NewReader(make([]byte, objectstore.MaxValueBytes+1)))
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
	for range 10 {
		if _, err = client.Get(t.Context(), "k"); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, objectstore.ErrRateLimited)
}

// Guards against a watch that does not report a change at once, or that reports one when
// its wait ended without a change.
func TestWatch(t *testing.T) {
	ctx := t.Context()
	server := standin.New(0)
	client, _ := newTestClient(t, server)
	etag, err := client.Put(ctx, "k", []byte("one"), objectstore.Condition{})
	assert.NilError(t, err)
	_, changed, err := client.Watch(ctx, "k", etag, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	for _, key := range []string{"k", "new"} {
		known := map[string]string{"k": etag}[key]
		time.AfterFunc(20*time.Millisecond, func() { _, _ = client.Put(ctx, key, []byte("two"), objectstore.Condition{}) })
		o, changed, err := client.Watch(ctx, key, known, 10*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.Equal(t, string(o.Value), "two")
	}
	assert.Equal(t, server.Counters().Watches, uint64(3))
}

// Guards against a client that does not distinguish a write whose response was lost, which
// may have taken effect, from a call that had no effect because the store was down or slow.
func TestFaults(t *testing.T) {
	server := standin.New(0)
	client, listener := newTestClient(t, server)
	server.SetFaults(standin.Faults{LoseAnswers: 1})
	_, err := client.Put(t.Context(), "k", []byte("one"), objectstore.Condition{IfNoneMatch: true})
	assert.ErrorIs(t, err, objectstore.ErrUncertain)
	o, err := client.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "one")

	server.SetFaults(standin.Faults{StaleWatches: true})
	_, err = client.Put(t.Context(), "k", []byte("two"), objectstore.Condition{})
	assert.NilError(t, err)
	_, changed, err := client.Watch(t.Context(), "k", o.ETag, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !changed)

	server.SetFaults(standin.Faults{SlowMS: 10_000})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Get(ctx, "k")
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	server.SetFaults(standin.Faults{Down: true})
	_, err = client.Get(t.Context(), "k")
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)

	listener.Close()
	_, err = client.Put(t.Context(), "k", nil, objectstore.Condition{})
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
}

// Guards against a watch that keeps waiting until its end although the store went down.
func TestDownBreaksWatch(t *testing.T) {
	server := standin.New(0)
	client, _ := newTestClient(t, server)
	etag, err := client.Put(t.Context(), "k", nil, objectstore.Condition{})
	assert.NilError(t, err)
	time.AfterFunc(20*time.Millisecond, func() { server.SetFaults(standin.Faults{Down: true}) })
	_, _, err = client.Watch(t.Context(), "k", etag, 30*time.Second)
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
}

// Guards against a scenario that sets a misspelt fault over HTTP and runs without it: the
// stand-in must reject unknown names.
func TestAdmin(t *testing.T) {
	server := standin.New(0)
	_, listener := newTestClient(t, server)
	for body, status := range map[string]int{`{"down":true}`: http.StatusOK, `{"dwon":true}`: http.StatusBadRequest} {
		req, err := http.NewRequest(http.MethodPut, listener.URL+"/admin/faults", strings.NewReader(body))
		assert.NilError(t, err)
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, status)
	}
	assert.Assert(t, server.Faults().Down)
}
