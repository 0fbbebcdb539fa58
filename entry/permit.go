package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/organisation"
	"github.com/jackdawlane/jackdawlane/quota"
)

// Permits grants the requests of organisations with a limit.
type Permits interface {
	// Take returns a permit for one request of the organisation, or why there is none.
	Take(ctx context.Context, o organisation.Organisation) (quota.Permit, *quota.Refusal)
	// Preview returns which owner Take would ask first, or the refusal that it would return without asking
	// any. It takes no permit and changes nothing.
	Preview(o organisation.Organisation) (quota.Ask, *quota.Refusal)
	// Return gives back a permit whose request certainly did not run. It does not block.
	Return(p quota.Permit)
}

// permitUse is the permit of a request, or why it got none.
type permitUse struct {
	permit  quota.Permit
	refusal *quota.Refusal
}

// takePermit gets the permit of a request whose organisation has a limit. It returns the reply to a
// request that gets none.
func (rs *requestState) takePermit(ctx context.Context) *ErrorReply {
	if !rs.needsPermit() {
		return nil
	}
	rs.permit = &permitUse{}
	rs.permit.permit, rs.permit.refusal = rs.entry.config.Permits.Take(ctx, rs.caller)
	return permitReply(rs.permit.refusal)
}

func (rs *requestState) needsPermit() bool {
	return rs.entry.config.Permits != nil && rs.caller.Name != "" && !rs.caller.Limit.Unlimited()
}

// permitReply returns the reply to a request without a permit; nil if there is no refusal.
func permitReply(refusal *quota.Refusal) *ErrorReply {
	switch {
	case refusal == nil:
		return nil
	case refusal.Unavailable:
		return NotRun(http.StatusServiceUnavailable, hop.ReasonQuotaUnavailable, "no node that keeps the organisation's request limit can be reached")
	default:
		reply := NotRun(http.StatusTooManyRequests, hop.ReasonRateLimit, "the organisation has used up its request limit")
		// At least 1 ms, because a permit that is due now would otherwise read as one without a time.
		reply.RetryAfter = max(refusal.After, time.Millisecond)
		return reply
	}
}

// returnPermit gives the permit of a request back if the request certainly did not run.
func (rs *requestState) returnPermit(result *ErrorReply) {
	if rs.permit != nil && result != nil && result.buffered == nil && result.Outcome == hop.OutcomeNotRun {
		rs.entry.config.Permits.Return(rs.permit.permit)
	}
}

// logFields returns what the decision about the permit rested on, for the log.
func (u *permitUse) logFields() []any {
	if u == nil {
		return nil
	}
	if u.refusal == nil {
		return []any{"permit", string(u.permit.Role), "permit_owner", u.permit.Node.ID}
	}
	return []any{"permit", "refused", "permit_owner", u.refusal.Node, "permit_role", string(u.refusal.Role),
		"permit_after_ms", u.refusal.After.Milliseconds(), "permit_age_ms", u.refusal.Age.Milliseconds()}
}
