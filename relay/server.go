package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawlane/jackdawlane/boottime"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/watch"
)

// maxWait bounds how long a request for updates waits.
const maxWait = 30 * time.Second

// renewalShare is the part of the time within which a change must be in force by which a reply without a
// change must make the receiver's knowledge newer; less is not worth a message.
const renewalShare = 0.2

// Metrics counts events by name.
type Metrics interface {
	Add(name string, delta int64)
}

// Server replies to nodes that ask for updates of the configuration.
type Server struct {
	replica  *Replica
	progress *watch.Progress
	// renewal is the least difference of ages for which a reply is sent without a change.
	renewal time.Duration
	metrics Metrics
}

// NewServer returns a server of the configuration in a replica, whose age the progress knows.
func NewServer(r *Replica, p *watch.Progress, maxAge time.Duration, m Metrics) *Server {
	return &Server{replica: r, progress: p, renewal: time.Duration(renewalShare * float64(maxAge)), metrics: m}
}

// Handler returns a handler that replies to requests for updates and passes all others to next.
func (s *Server) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, found := r.Header[hop.HeaderConfigPoll]; !found {
			next.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
}

// poll is a request for updates.
type poll struct {
	// version is the version of the requesting node; 0 asks for all of the configuration.
	version uint64
	// age is the age of what that node knows.
	age time.Duration
	// wait is how long the reply may wait.
	wait time.Duration
}

func parsePoll(h http.Header) (p poll, ok bool) {
	version, versionErr := strconv.ParseUint(h.Get(hop.HeaderConfigVersion), 10, 64)
	age, ageOK := hop.ParseMS(h.Get(hop.HeaderConfigAge))
	wait, waitOK := hop.ParseMS(h.Get(hop.HeaderConfigPoll))
	return poll{version: version, age: age, wait: min(wait, maxWait)}, versionErr == nil && ageOK && waitOK
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	p, ok := parsePoll(r.Header)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	started := boottime.Now()
	if !s.awaitNews(r, p, started) {
		return
	}
	// The age is read before the version: a version that comes into force in between is newer than what the
	// age was about.
	revision, age, held := s.progress.State().Revision, s.progress.Age(), boottime.Now()-started
	version, data, err := s.replica.UpdatesSince(p.version)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Date"] = nil
	h.Set(hop.HeaderConfigVersion, strconv.FormatUint(version, 10))
	// Rounded up, so that nobody takes the version for newer than it is.
	h.Set(hop.HeaderConfigAge, hop.FormatMS(age+time.Millisecond-1))
	h.Set(hop.HeaderConfigHeld, hop.FormatMS(held))
	h.Set(hop.HeaderConfigRevision, strconv.FormatUint(revision, 10))
	h.Set("Content-Length", strconv.Itoa(len(data)))
	s.metrics.Add("relay.served", 1)
	s.metrics.Add("relay.served_bytes", int64(len(data)))
	_, _ = w.Write(data)
}

// awaitNews waits until there is something to tell a node, or its wait is over. It returns false if the
// node has gone.
func (s *Server) awaitNews(r *http.Request, p poll, started time.Duration) bool {
	timer := time.NewTimer(p.wait)
	defer timer.Stop()
	for {
		changed, confirmed := s.replica.Changed(), s.progress.Confirmed()
		receiverAge := p.age + boottime.Now() - started
		if s.replica.State().Version() > p.version || receiverAge-s.progress.Age() >= s.renewal {
			return true
		}
		select {
		case <-changed:
		case <-confirmed:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}
