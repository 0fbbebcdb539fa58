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
	announceInterval  = time.Second
	announceTimeout   = 500 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// Announcer announces a stand-in backend server to the first guard of a list that accepts the announcement.
type Announcer struct {
	Server     *Server
	Service    string
	Address    string
	Credential string
	// Guards are the announce addresses of the guards, tried in order.
	Guards []string

	// mu keeps announcements in order, so that an older announcement of the state ready never follows
	// the announcement of the state leaving.
	mu sync.Mutex
}

// Run announces the stand-in once a second, and on each change of its settings, until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		changed := a.Server.nextChange()
		// The error is ignored, because the next announcement follows after the interval.
		_ = a.Announce(context.WithoutCancel(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// nextChange returns a channel that is closed at the next change of the settings.
func (s *Server) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Announce announces the stand-in once. It returns ErrAnnounce if every guard fails to accept the
// announcement.
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
		if err = postAnnouncement(ctx, address, body); err == nil {
			return nil
		}
	}
	return errors.Mark(errors.Wrap(err, "last guard tried"), ErrAnnounce)
}

func postAnnouncement(ctx context.Context, address string, body []byte) error {
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
		return errors.Newf("guard %s answered the announcement with %s", address, res.Status)
	}
	return nil
}

// Drain announces the state leaving and waits until no work runs.
func (a *Announcer) Drain(ctx context.Context) error {
	a.Server.Change(func(s *Settings) { s.State = membership.StateLeaving })
	err := a.Announce(ctx)
	ticker := time.NewTicker(drainPollInterval)
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
