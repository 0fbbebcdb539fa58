package entry

import (
	"github.com/jackdawlane/jackdawlane/admission"
	"github.com/jackdawlane/jackdawlane/hop"
)

// priority returns the priority of the request: that of its organisation, then that of its route.
func (rs *requestState) priority() admission.Priority {
	return admission.Priority{Organisation: rs.caller.Priority, Route: rs.route.Priority}
}

// rank returns the rank at which the guards serve the attempts of the request.
func (rs *requestState) rank() admission.Rank {
	return admission.Rank{Call: rs.origin.MayBeCall, Priority: rs.priority()}
}

// lackedRoom reports whether an attempt was refused because the backend server had no slot for it
// in time.
func lackedRoom(r hop.Reason) bool {
	return r == hop.ReasonFull || r == hop.ReasonDisplaced || r == hop.ReasonTimeout
}
