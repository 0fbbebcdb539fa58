package guard

import (
	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
)

// CountsByPriority returns how the attempts of each priority fared in the queues of this guard
// since its start. The names of the priorities are bounded in number.
func (g *Guard) CountsByPriority() map[string]admission.Counts {
	counts := make(map[string]admission.Counts)
	for rank, c := range g.registry.counts() {
		counts[rank.Label()] = c
	}
	return counts
}

// counts returns the sum over the queues of the present and the past backend servers.
func (r *registry) counts() map[admission.Rank]admission.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := make(map[admission.Rank]admission.Counts)
	addCounts(sum, r.pastCounts)
	for _, s := range r.servers {
		addCounts(sum, s.queue.counts())
	}
	return sum
}

func addCounts(sum, more map[admission.Rank]admission.Counts) {
	for rank, c := range more {
		sum[rank] = sum[rank].Plus(c)
	}
}

func (q *queue) counts() map[admission.Rank]admission.Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Counts()
}

// logNoRoom logs a displaced attempt, and a call that found no room.
func (g *Guard) logNoRoom(req attemptRequest, s server, reason hop.Reason) {
	noRoom := reason == hop.ReasonFull || reason == hop.ReasonTimeout
	if g.config.Logger == nil || reason != hop.ReasonDisplaced && !(noRoom && req.call) {
		return
	}
	load := s.queue.load()
	g.config.Logger.Info("no room",
		"id", req.requestID, "instance", s.instance, "service", req.service, "priority", req.priority.String(), "repeat", string(req.repeat), "call", req.call,
		"reason", string(reason), "again_ms", req.again.Milliseconds(), "running", load.Running, "limit", load.Limit, "queued", load.Queued)
}
