package balance

import (
	"slices"
	"time"

	"github.com/jackdawlane/jackdawlane/admission"
)

// maxRefusals bounds the ranks for which a refusal of a backend server is kept.
const maxRefusals = 8

// refusals holds, by rank, until when a backend server is expected to have no slot for an
// attempt. What it states to a less urgent attempt does not apply to a more urgent one, for
// which it may displace another.
type refusals []refusal

type refusal struct {
	rank  admission.Rank
	until time.Duration
}

// add replaces the last refusal of an attempt of the rank and removes those that are over.
func (rs *refusals) add(now time.Duration, rank admission.Rank, until time.Duration) {
	*rs = slices.DeleteFunc(*rs, func(r refusal) bool { return r.rank == rank || r.until <= now })
	if len(*rs) == maxRefusals {
		*rs = slices.Delete(*rs, 0, 1)
	}
	*rs = append(*rs, refusal{rank, until})
}

// freeAt returns when the backend server is expected to have a slot for an attempt of the rank.
func (rs refusals) freeAt(rank admission.Rank) time.Duration {
	var latest time.Duration
	for _, r := range rs {
		if r.rank.Compare(rank) <= 0 {
			latest = max(latest, r.until)
		}
	}
	return latest
}
