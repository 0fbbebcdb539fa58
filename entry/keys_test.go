package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	pb "github.com/jackdawlane/jackdawlane/gen/jackdawlane/v1"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/objectstore"
	"github.com/jackdawlane/jackdawlane/register"
	"github.com/jackdawlane/jackdawlane/settings"
	"github.com/jackdawlane/jackdawlane/standin/backend"
	store "github.com/jackdawlane/jackdawlane/standin/objectstore"
)

// localKeys calls a register in the same process, in place of one on another node.
type localKeys struct{ *register.Register }

func (k localKeys) Claim(ctx context.Context, r *pb.ClaimKeyRequest) *pb.ClaimKeyResponse {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := k.ClaimKey(ctx, r)
	if err != nil {
		return &pb.ClaimKeyResponse{}
	}
	return reply
}

func (k localKeys) Settle(ctx context.Context, r *pb.SettleKeyRequest) { k.SettleKey(ctx, r) }

func newLocalKeys(t testing.TB, f *fleet) localKeys {
	f.store = store.New(0)
	s := httptest.NewServer(f.store)
	t.Cleanup(s.Close)
	r := register.New(register.Config{
		Store:        objectstore.New(netip.MustParseAddrPort(s.Listener.Addr().String())),
		StoreTimeout: 500 * time.Millisecond,
		Keys:         settings.Keys{Retention: 10 * time.Minute, BatchInterval: time.Millisecond},
		Incarnation:  1,
		Logger:       log.New(io.Discard),
	})
	t.Cleanup(r.Close)
	return localKeys{r}
}

func sendWithKey(f *fleet, path, key, id string) response {
	r := f.request("POST", path, "content")
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set(backend.HeaderWorkID, id)
	return f.do(r)
}

func newKeyFleet(t *testing.T) (*fleet, *backend.Server) {
	b := backend.New(backend.DefaultSettings, 1)
	n := newNode(t)
	n.addBackend(t, b.HTTPServer())
	return newFleet(t, n), b
}

// Guards against running work again when a caller repeats a request with the same key, and
// against accepting a key for a second, different request.
func TestKeyRunsOnce(t *testing.T) {
	f, b := newKeyFleet(t)
	first := sendWithKey(f, "/jobs", "k", "w")
	assert.Equal(t, first.outcome(), "answer", first.body)
	again := sendWithKey(f, "/jobs", "k", "w")
	assert.Equal(t, again.outcome(), "answer", again.body)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, b.Runs()["w"], 1)
	other := sendWithKey(f, "/jobs/other", "k", "other")
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, other.reason(), hop.ReasonKeyReused)
	assert.Equal(t, b.Runs()["other"], 0)
}

// Guards against a key that stays claimed after its attempt was refused, so that the caller
// could never send the work again.
func TestKeyOfRefusedWorkIsFree(t *testing.T) {
	f, b := newKeyFleet(t)
	// The entry claims a key only once it has a reading of the guard's clock, which it gets from
	// the first answer.
	assert.Equal(t, sendWithKey(f, "/jobs", "other", "other").outcome(), "answer")
	f.nodes[0].guard.Stop()
	assert.Equal(t, sendWithKey(f, "/jobs", "k", "w").outcome(), "not-run")
	f.nodes[0].start(nil)
	waitUntil(t, "backend server is announced", func() bool { return len(f.nodes[0].backends()) == 1 })
	// The guard that refused the attempt was replaced and cannot be asked about it, so only
	// settling the key frees it.
	waitUntil(t, "the key of the refused request is free again", func() bool { return sendWithKey(f, "/jobs", "k", "w").outcome() == "answer" })
	assert.Equal(t, b.Runs()["w"], 1)
}

// Guards against running work without a recorded claim while the store is down.
func TestNewKeyNeedsTheStore(t *testing.T) {
	f, b := newKeyFleet(t)
	assert.Equal(t, sendWithKey(f, "/jobs", "k", "w").outcome(), "answer")
	f.store.SetFaults(store.Faults{Down: true})
	refused := sendWithKey(f, "/jobs", "new", "new")
	assert.Equal(t, refused.outcome(), "not-run")
	assert.Equal(t, refused.reason(), hop.ReasonKeyRegister)
	assert.Equal(t, b.Runs()["new"], 0)
	assert.Equal(t, sendWithKey(f, "/jobs", "k", "w").outcome(), "answer", "a request with a known key must be answered while the store is down")
	f.store.SetFaults(store.Faults{})
	waitUntil(t, "the key is claimed", func() bool { return sendWithKey(f, "/jobs", "new", "new").outcome() == "answer" })
	assert.Equal(t, b.Runs()["new"], 1)
}

// Guards against a key status that reveals the keys of another route, and against serving it
// without a credential. Keys of another organisation are not part of the test.
func TestKeyStatus(t *testing.T) {
	f, _ := newKeyFleet(t)
	assert.Equal(t, sendWithKey(f, "/jobs", "a/b", "w").outcome(), "answer")
	const path = "/.well-known/jackdawlane/keys/a/b"
	state := func(query string) string { return f.do(f.request("GET", path+query, "")).body }
	assert.Equal(t, state("?route=work"), "{\"state\":\"answered\"}\n")
	assert.Equal(t, state("?route=long-work"), "{\"state\":\"unclaimed\"}\n")
	assert.Equal(t, f.do(f.request("GET", path, "")).StatusCode, http.StatusBadRequest)
	r := f.request("GET", path+"?route=work", "")
	r.Header.Del("Proxy-Authorization")
	assert.Equal(t, f.do(r).StatusCode, http.StatusProxyAuthRequired)
}
