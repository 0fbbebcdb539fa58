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

// localKeys calls a register in the same process.
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
	g := register.New(register.Config{
		Store:        objectstore.New(netip.MustParseAddrPort(s.Listener.Addr().String())),
		StoreTimeout: 500 * time.Millisecond,
		Keys:         settings.Keys{Retention: 10 * time.Minute, BatchInterval: time.Millisecond},
		Incarnation:  1,
		Logger:       log.New(io.Discard),
	})
	t.Cleanup(g.Close)
	return localKeys{g}
}

func keyed(f *fleet, path, key, id string) response {
	r := f.request("POST", path, "content")
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set(backend.HeaderWorkID, id)
	return f.do(r)
}

func keyFleet(t *testing.T) (*fleet, *backend.Server) {
	b := backend.New(backend.DefaultSettings, 1)
	n := newNode(t)
	n.addBackend(t, b.HTTPServer())
	return newFleet(t, n), b
}

// Guards against work that runs again when it is sent again, and against a key
// that stands for two different requests.
func TestKeyRunsOnce(t *testing.T) {
	f, b := keyFleet(t)
	first := keyed(f, "/jobs", "k", "w")
	assert.Equal(t, first.outcome(), "answer", first.body)
	again := keyed(f, "/jobs", "k", "w")
	assert.Equal(t, again.outcome(), "answer", again.body)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, b.Runs()["w"], 1)
	other := keyed(f, "/jobs/other", "k", "other")
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, other.reason(), hop.ReasonKeyReused)
	assert.Equal(t, b.Runs()["other"], 0)
}

// Guards against a key that stays taken by work that did not run.
func TestKeyOfRefusedWorkIsFree(t *testing.T) {
	f, b := keyFleet(t)
	// The first exchange brings the guard's clock, without which nothing is claimed.
	assert.Equal(t, keyed(f, "/jobs", "other", "other").outcome(), "answer")
	f.nodes[0].guard.Stop()
	assert.Equal(t, keyed(f, "/jobs", "k", "w").outcome(), "not-run")
	f.nodes[0].start(nil)
	until(t, "backend server is announced", func() bool { return len(f.nodes[0].backends()) == 1 })
	// The guard of the refused attempt is gone, so only the settlement frees the key.
	until(t, "work is answered", func() bool { return keyed(f, "/jobs", "k", "w").outcome() == "answer" })
	assert.Equal(t, b.Runs()["w"], 1)
}

// Guards against work that runs without a claim while the store is out.
func TestKeyNeedsTheStore(t *testing.T) {
	f, b := keyFleet(t)
	assert.Equal(t, keyed(f, "/jobs", "k", "w").outcome(), "answer")
	f.store.SetFaults(store.Faults{Down: true})
	refused := keyed(f, "/jobs", "new", "new")
	assert.Equal(t, refused.outcome(), "not-run")
	assert.Equal(t, refused.reason(), hop.ReasonKeyRegister)
	assert.Equal(t, b.Runs()["new"], 0)
	assert.Equal(t, keyed(f, "/jobs", "k", "w").outcome(), "answer", "a known key needs no write")
	f.store.SetFaults(store.Faults{})
	until(t, "the key is claimed", func() bool { return keyed(f, "/jobs", "new", "new").outcome() == "answer" })
	assert.Equal(t, b.Runs()["new"], 1)
}

// Guards against a status that shows keys of other routes or organisations, or
// one that is given without the credential.
func TestKeyStatus(t *testing.T) {
	f, _ := keyFleet(t)
	assert.Equal(t, keyed(f, "/jobs", "a/b", "w").outcome(), "answer")
	const path = "/.well-known/jackdawlane/keys/a/b"
	state := func(query string) string { return f.do(f.request("GET", path+query, "")).body }
	assert.Equal(t, state("?route=work"), "{\"state\":\"answered\"}\n")
	assert.Equal(t, state("?route=long-work"), "{\"state\":\"unclaimed\"}\n")
	assert.Equal(t, f.do(f.request("GET", path, "")).StatusCode, http.StatusBadRequest)
	r := f.request("GET", path+"?route=work", "")
	r.Header.Del("Proxy-Authorization")
	assert.Equal(t, f.do(r).StatusCode, http.StatusProxyAuthRequired)
}
