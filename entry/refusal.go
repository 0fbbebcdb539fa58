package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/jackdawlane/jackdawlane/hop"
)

const (
	retryAfterSeconds = "1"
	authenticateRealm = `Basic realm="jackdawlane"`
)

// refusal is a reply of the entry itself.
type refusal struct {
	status  int
	outcome hop.Outcome
	reason  hop.Reason
	detail  string
	// final is set when another attempt would be refused for the same reason.
	final bool
}

func notRun(status int, reason hop.Reason, detail string) *refusal {
	return &refusal{status: status, outcome: hop.OutcomeNotRun, reason: reason, detail: detail}
}

func unknown(reason hop.Reason, detail string) *refusal {
	status := http.StatusBadGateway
	if reason == hop.ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: hop.OutcomeUnknown, reason: reason, detail: detail}
}

// ended returns the refusal as one that no further attempt follows.
func (f *refusal) ended() *refusal {
	f.final = true
	return f
}

func (f *refusal) write(w http.ResponseWriter) {
	body, _ := json.Marshal(map[string]string{
		"outcome": string(f.outcome),
		"reason":  string(f.reason),
		"detail":  f.detail,
	})
	body = append(body, '\n')
	h := w.Header()
	h.Set(hop.HeaderOutcome, string(f.outcome))
	h.Set(hop.HeaderReason, string(f.reason))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.status == http.StatusProxyAuthRequired {
		h.Set("Proxy-Authenticate", authenticateRealm)
	}
	if f.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(f.status)
	w.Write(body)
}
