package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/membership"
)

func do(t *testing.T, s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(HeaderWorkID, "id")
	s.ServeHTTP(w, r)
	return w
}

// Guards against a run that is missing from the counts at /runs, and against a change of settings at
// /admin/settings that has no effect or is made in spite of an invalid value.
func TestAdminAndRuns(t *testing.T) {
	s := New(DefaultSettings, 1)
	assert.Equal(t, do(t, s, "POST", "/x", "abc").Body.String(), "POST id done 3\nabc")
	assert.Equal(t, do(t, s, "PUT", "/admin/settings", `{"fail_share":1}`).Code, http.StatusOK)
	assert.Equal(t, do(t, s, "GET", "/x", "").Code, http.StatusInternalServerError)
	assert.Equal(t, do(t, s, "GET", "/healthz", "").Code, http.StatusOK)
	assert.Equal(t, do(t, s, "PUT", "/admin/settings", `{"slots":"x"}`).Code, http.StatusBadRequest)
	assert.Equal(t, s.Settings().Slots, DefaultSettings.Slots)
	runs := map[string]int{}
	assert.NilError(t, json.Unmarshal(do(t, s, "GET", "/runs", "").Body.Bytes(), &runs))
	assert.Equal(t, runs["id"], 2)
}

// Guards against more running work than there are slots, and against work that counts as run although
// it was shed. Work is shed while the queue is full, also if its request is already cancelled, and
// while the state is leaving.
func TestSlotsAndShedding(t *testing.T) {
	c := DefaultSettings
	c.Slots, c.Queue = 1, 1
	s := New(c, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	granted := s.enqueue()
	<-granted
	queued := s.enqueue()
	assert.Assert(t, queued != nil)
	assert.Assert(t, s.enqueue() == nil)
	cancel()
	assert.Assert(t, !s.acquireSlot(ctx))
	s.releaseSlot()
	<-queued
	s.releaseSlot()
	s.Change(func(c *Settings) { c.State = membership.StateLeaving })
	assert.Equal(t, do(t, s, "POST", "/x", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, s.Stats().MaxRunning, 1)
	assert.Equal(t, s.Stats().LateWork, 1)
	assert.Equal(t, len(s.Runs()), 0)
}

// Guards against a cold start whose slowness does not fade, and against flapping faults that do not
// switch on and off again.
func TestColdStartAndFlap(t *testing.T) {
	c := Settings{ColdMS: 100, ColdFactor: 5, FlapMS: 10}
	assert.Equal(t, c.coldFactor(0), 5.0)
	assert.Equal(t, c.coldFactor(50*time.Millisecond), 3.0)
	assert.Equal(t, c.coldFactor(time.Second), 1.0)
	assert.Assert(t, !c.faulty(5*time.Millisecond))
	assert.Assert(t, c.faulty(15*time.Millisecond))
	assert.Assert(t, !c.faulty(25*time.Millisecond))
}

// Guards against work that runs past the deadline in the header Request-Timeout.
func TestDeadline(t *testing.T) {
	s := New(DefaultSettings, 1)
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/x", nil)
	r.Header.Set("Request-Timeout", "0.01")
	r.Header.Set(HeaderServiceMS, "3600000")
	s.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
	assert.Equal(t, s.Stats().Cancelled, 1)
}

// Guards against an announcer that gives up when the first guard is unreachable, or that does not
// announce the state leaving before it drains.
func TestAnnouncerFallsBackAndDrains(t *testing.T) {
	announcements := make(chan guard.Announcement, 10)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var a guard.Announcement
		json.NewDecoder(bytes.NewReader(body)).Decode(&a)
		announcements <- a
		w.WriteHeader(http.StatusNoContent)
	}))
	defer up.Close()
	down := httptest.NewServer(nil)
	down.Close()
	c := DefaultSettings
	c.ReportSlots = 99
	a := &Announcer{Server: New(c, 1), Service: "s", Address: "127.0.0.1:1", Credential: "c",
		Guards: []string{strings.TrimPrefix(down.URL, "http://"), strings.TrimPrefix(up.URL, "http://")}}
	assert.NilError(t, a.Announce(context.Background()))
	first := <-announcements
	assert.Equal(t, first.Slots, 99)
	assert.Equal(t, first.State, membership.StateReady)
	assert.NilError(t, a.Drain(context.Background()))
	assert.Equal(t, (<-announcements).State, membership.StateLeaving)
	a.Guards = a.Guards[:1]
	assert.Assert(t, errors.Is(a.Announce(context.Background()), ErrAnnounce))
}
