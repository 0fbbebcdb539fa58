package balance

import (
	"net/netip"
	"time"

	"github.com/jackdawlane/jackdawlane/membership"
)

// Summary is the condition of the backend servers of a service in the entry's region, as the entry
// knows it.
type Summary struct {
	// Servers is the number of backend servers, Suspected that of those that are suspected, ejected or
	// out of reach.
	Servers, Suspected int
	// Load is the mean estimated load of the others, as a ratio to their limits.
	Load float64
	// ReportAge is the time since the last load report; negative if there was none.
	ReportAge time.Duration
}

// Summarise returns the condition of the candidates.
func (p *Picker) Summarise(now time.Duration, candidates []membership.Backend) Summary {
	s := Summary{ReportAge: -1}
	load := 0.0
	for i := range candidates {
		backend := &candidates[i]
		if p.locality(backend) == OtherRegion || backend.State != membership.StateReady {
			continue
		}
		s.Servers++
		known := p.loads.byID[backend.ID]
		if known != nil && known.hasReport && (s.ReportAge < 0 || now-known.reportedAt < s.ReportAge) {
			s.ReportAge = now - known.reportedAt
		}
		if p.tier(now, backend, Attempt{QueueWait: -1}) != tierReady {
			s.Suspected++
			continue
		}
		load += p.loads.estimate(now, backend.ID, backend.Slots)
	}
	if others := s.Servers - s.Suspected; others > 0 {
		s.Load = load / float64(others)
	}
	return s
}

// OfOtherVMs returns the candidates that run on another VM than the given backend server: those with
// another guard and another IP address. Loopback addresses are not compared, because there all
// backend servers of a test fleet have the same one.
func OfOtherVMs(candidates []membership.Backend, than membership.Backend) []membership.Backend {
	var out []membership.Backend
	own, err := netip.ParseAddrPort(than.Address)
	hasIP := err == nil && !own.Addr().IsLoopback()
	for _, b := range candidates {
		other, err := netip.ParseAddrPort(b.Address)
		sameIP := hasIP && err == nil && other.Addr() == own.Addr()
		if b.Guard.NodeID != than.Guard.NodeID && !sameIP {
			out = append(out, b)
		}
	}
	return out
}
