package quota

import (
	"time"

	"github.com/jackdawlane/jackdawlane/organisation"
)

// Role is the role of an owner of a part of a limit.
type Role string

// Roles of owners.
const (
	Primary Role = "primary"
	Standby Role = "standby"
)

// Terms are the settings that all nodes share. In any window, at most (rate x window + burst) x
// (1 + Overage) + Slack requests of an organisation get a permit.
type Terms struct {
	// Regions is the number of parts into which each limit is split.
	Regions int
	// Overage is the tolerated excess as a fraction of the limit.
	Overage float64
	// Slack is the tolerated excess as a number of requests.
	Slack float64
	// Window is the length of the window. Permits are returned within it.
	Window time.Duration
}

// primaryShare and standbyShare are the parts of the bound that primaries and standbys hold, where the
// tolerated excess allows it. The rest covers owners that learn late that they have been replaced.
const (
	primaryShare = 0.9
	standbyShare = 0.05
)

// bound returns the number of requests of an organisation that may run in any window.
func (t Terms) bound(limit organisation.Limit) float64 {
	return (limit.Rate*t.Window.Seconds()+limit.Burst)*(1+t.Overage) + t.Slack
}

// Share returns the limit of an owner.
//
// The tolerated excess goes to the callers: a request below the bound is one that the operator would have
// run. So a primary's rate is that at which its part of the bound is used up. Its burst is one request above
// its equal part where the slack allows it. Only whole permits are granted, so without it the fractions left
// in each part would refuse requests within the limit: a burst of 5 in three parts would be one of 3.
func (t Terms) Share(limit organisation.Limit, role Role) organisation.Limit {
	parts := float64(max(1, t.Regions))
	part := t.bound(limit) / parts
	window := t.Window.Seconds()
	// A burst below one request would never grant anything. This exceeds the bound only if the slack is
	// less than one request for each region.
	burst := max(1, limit.Burst/parts+min(1, t.Slack/parts))
	rate := max(limit.Rate/parts, (primaryShare*part-burst)/window)
	if role == Primary {
		return organisation.Limit{Rate: rate, Burst: burst}
	}
	rest := max(0, min(standbyShare*part, part-burst-rate*window))
	standbyBurst := min(rest, max(1, rest/2))
	return organisation.Limit{Rate: (rest - standbyBurst) / window, Burst: standbyBurst}
}
