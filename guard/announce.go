package guard

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/membership"
	"github.com/jackdawlane/jackdawlane/route"
)

const (
	maxAnnouncementBytes = 4 << 10
	// maxAnnouncedCount bounds the slots and the connections of an announcement.
	maxAnnouncedCount = 1 << 16
)

// ErrAnnouncement marks an announcement with an invalid field.
var ErrAnnouncement = errors.New("invalid announcement")

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Service     string           `json:"service"`
	Address     string           `json:"address"`
	Slots       int              `json:"slots"`
	Connections int              `json:"connections"`
	State       membership.State `json:"state"`
	Credential  string           `json:"credential"`
}

// Validate returns nil for a valid announcement. Otherwise it returns an error that
// wraps ErrAnnouncement and names the first invalid field.
func (a Announcement) Validate() error {
	if !route.ValidName(a.Service) {
		return errors.Wrapf(ErrAnnouncement, "service %q is not a valid name", a.Service)
	}
	if ap, err := netip.ParseAddrPort(a.Address); err != nil || ap.Port() == 0 || ap.String() != a.Address {
		return errors.Wrapf(ErrAnnouncement, "address %q: want an IP number and port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxAnnouncedCount {
		return errors.Wrapf(ErrAnnouncement, "slots %d is outside 1 to %d", a.Slots, maxAnnouncedCount)
	}
	if a.Connections < 1 || a.Connections > maxAnnouncedCount {
		return errors.Wrapf(ErrAnnouncement, "connections %d is outside 1 to %d", a.Connections, maxAnnouncedCount)
	}
	switch a.State {
	case membership.StateStarting, membership.StateReady, membership.StateLeaving:
		return nil
	}
	return errors.Wrapf(ErrAnnouncement, "state %q: want starting, ready or leaving", a.State)
}

func (a Announcement) backend() membership.Backend {
	return membership.Backend{
		ID:          membership.BackendID(a.Service, a.Address),
		Service:     a.Service,
		Address:     a.Address,
		Slots:       a.Slots,
		Connections: a.Connections,
		State:       a.State,
	}
}

// AnnounceHandler returns the handler for the address to which backend servers send
// their announcements.
func (g *Guard) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", g.serveAnnounce)
	return mux
}

func (g *Guard) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if g.stopping() {
		http.Error(w, "stopping; announce to another node", http.StatusServiceUnavailable)
		return
	}
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a)
	if err == nil {
		err = a.Validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !g.config.MayAnnounce(a.Service, a.Credential) {
		http.Error(w, "the credential does not allow this service", http.StatusForbidden)
		return
	}
	g.registry.announce(a.backend(), "", time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// Register records what a backend server announced about itself. instance identifies the
// process of the backend server. Requests to it carry the instance, so that a later
// process at the same address runs none of them.
func (g *Guard) Register(b membership.Backend, instance string) {
	g.registry.announce(b, instance, time.Now())
}
