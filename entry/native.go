package entry

import (
	"encoding/base64"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawlane/jackdawlane/config"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/organisation"
)

const authenticateRealm = `Basic realm="jackdawlane"`

// Native is the project's own interface to callers: credentials of an organisation, the
// Request-Timeout header, and reply headers that state the outcome.
type Native struct{}

// ParseRequest implements Protocol.
func (Native) ParseRequest(r *http.Request, s *config.Snapshot) (RequestInfo, *ErrorReply) {
	name, secret, ok := credentials(r.Header)
	if !ok || !s.Authenticate(name, secret) {
		return RequestInfo{}, noCredential()
	}
	timeout, ok := requestTimeout(r.Header)
	if !ok {
		return RequestInfo{}, NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "Request-Timeout is not a positive number of seconds")
	}
	return RequestInfo{Organisation: name, Timeout: timeout}, nil
}

// RequestInfo implements Protocol.
func (Native) RequestInfo(o organisation.Organisation, _ *config.Snapshot) (RequestInfo, *ErrorReply) {
	if o.Name == "" {
		return RequestInfo{}, noCredential()
	}
	return RequestInfo{Organisation: o.Name}, nil
}

func noCredential() *ErrorReply {
	return NotRun(http.StatusProxyAuthRequired, hop.ReasonNoCredential, "Proxy-Authorization is missing or wrong")
}

func credentials(h http.Header) (name, secret string, ok bool) {
	scheme, encoded, _ := strings.Cut(h.Get("Proxy-Authorization"), " ")
	if !strings.EqualFold(scheme, "Basic") {
		return "", "", false
	}
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(decoded), ":")
}

// requestTimeout returns the timeout that the caller asks for, 0 when it asks for none, and
// false when the header is malformed.
func requestTimeout(h http.Header) (time.Duration, bool) {
	text := h.Get("Request-Timeout")
	if text == "" {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return max(1, time.Duration(seconds*float64(time.Second))), true
}

// EndToEndHeaders implements Protocol.
func (Native) EndToEndHeaders() []string { return nil }

// AnnotateAnswer implements Protocol.
func (Native) AnnotateAnswer(h http.Header) { h.Set(hop.HeaderOutcome, string(hop.OutcomeAnswer)) }

// WriteError implements Protocol.
func (Native) WriteError(w http.ResponseWriter, f *ErrorReply) {
	body, _ := json.Marshal(map[string]string{
		"outcome": string(f.Outcome),
		"reason":  string(f.Reason),
		"detail":  f.Detail,
	})
	body = append(body, '\n')
	h := w.Header()
	h.Set(hop.HeaderOutcome, string(f.Outcome))
	h.Set(hop.HeaderReason, string(f.Reason))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.Status == http.StatusProxyAuthRequired {
		h.Set("Proxy-Authenticate", authenticateRealm)
	}
	if f.Status == http.StatusServiceUnavailable || f.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	w.Write(body)
}
