package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/guard"
	"github.com/jackdawlane/jackdawlane/membership"
)

// ErrAnnounce marks an announcement that no guard accepted.
var ErrAnnounce = errors.New("no guard accepted the announcement")

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	drainPoll        = 10 * time.Millisecond
)

// Announcer announces a stand-in to the first reachable guard of a list.
type Announcer struct {
	Server     *Server
	Service    string
	Address    string
	Credential string
	// Guards are announce addresses, tried in order.
	Guards []string

	// mu keeps announcements in order, so that leaving is not followed by an older ready.
	mu sync.Mutex
}

// Run announces once a second, and on each change of settings, until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		changed := a.Server.changes()
		// A failed announcement is repeated after the interval.
		_ = a.Announce(context.WithoutCancel(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

func (s *Server) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Announce announces once. It returns ErrAnnounce when no guard accepts.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.Server.Settings()
	body, err := json.Marshal(guard.Announcement{
		Service:     a.Service,
		Address:     a.Address,
		Slots:       s.announcedSlots(),
		Connections: s.announcedConnections(),
		State:       s.State,
		Credential:  a.Credential,
	})
	if err != nil {
		return errors.Mark(err, ErrAnnounce)
	}
	for _, address := range a.Guards {
		if err = post(ctx, address, body); err == nil {
			return nil
		}
	}
	return errors.Mark(errors.Wrap(err, "last guard"), ErrAnnounce)
}

func post(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusNoContent {
		return errors.Newf("guard %s: %s", address, res.Status)
	}
	return nil
}

// Drain announces that the stand-in is leaving and waits until no work runs.
func (a *Announcer) Drain(ctx context.Context) error {
	a.Server.Change(func(s *Settings) { s.State = membership.StateLeaving })
	err := a.Announce(ctx)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for a.Server.Stats().Running > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return err
}
