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
	// maxAnnounced bounds announced slots and connections.
	maxAnnounced = 1 << 16
)

// ErrAnnouncement marks an announcement with a field that is not allowed.
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

// Validate returns ErrAnnouncement with the first field that is not allowed.
func (a Announcement) Validate() error {
	if !route.ValidName(a.Service) {
		return errors.Wrapf(ErrAnnouncement, "service %q is not a valid name", a.Service)
	}
	if ap, err := netip.ParseAddrPort(a.Address); err != nil || ap.Port() == 0 || ap.String() != a.Address {
		return errors.Wrapf(ErrAnnouncement, "address %q: want an IP number and port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxAnnounced {
		return errors.Wrapf(ErrAnnouncement, "slots %d is outside 1 to %d", a.Slots, maxAnnounced)
	}
	if a.Connections < 1 || a.Connections > maxAnnounced {
		return errors.Wrapf(ErrAnnouncement, "connections %d is outside 1 to %d", a.Connections, maxAnnounced)
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

// AnnounceHandler returns the handler of the announce address.
func (g *Guard) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", g.serveAnnounce)
	return mux
}

func (g *Guard) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
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

// Register records what a backend server said of itself. instance identifies its
// process; requests name it, so that a later process at the address runs none of them.
func (g *Guard) Register(b membership.Backend, instance string) {
	g.registry.announce(b, instance, time.Now())
}
