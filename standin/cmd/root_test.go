package cmd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/membership"
)

// Guards against a backend command that does not announce itself, or that exits without announcing
// that it is leaving.
func TestBackendCommandAnnouncesAndLeaves(t *testing.T) {
	announced := make(chan guard.Announcement, 100)
	g := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a guard.Announcement
		json.NewDecoder(r.Body).Decode(&a)
		announced <- a
		w.WriteHeader(http.StatusNoContent)
	}))
	defer g.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	root := NewRootCommand()
	root.SetArgs([]string{"backend", "--service", "s", "--secret", "c", "--settings", `{"slots":3}`,
		"--guard", strings.TrimPrefix(g.URL, "http://")})
	done := make(chan error, 1)
	go func() { done <- root.ExecuteContext(ctx) }()
	first := <-announced
	assert.Equal(t, first.Slots, 3)
	assert.Equal(t, first.Credential, "c")
	res, err := http.Get("http://" + first.Address + "/healthz")
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	cancel()
	assert.NilError(t, <-done)
	last := first
	for len(announced) > 0 {
		last = <-announced
	}
	assert.Equal(t, last.State, membership.StateLeaving)
}
