package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jackdawlane/jackdawlane/balance"
	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
	"github.com/jackdawlane/jackdawlane/organisation"
)

// ExplainPath is the path at which ExplainHandler answers.
const ExplainPath = "/explain"

const (
	// maxExplained bounds the candidates in an explanation.
	maxExplained = 64
	// maxExplainedName bounds the host and the organisation of a query in bytes.
	maxExplainedName = 255
)

// Errors of Explain.
var (
	// ErrBadQuery marks a query that no request could match.
	ErrBadQuery = errors.New("bad request")
	// ErrUnknownOrganisation is the error for an organisation that is not in the configuration in force.
	ErrUnknownOrganisation = errors.New("unknown organisation")
)

// Query is a request to explain.
type Query struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	// Organisation is the name of the sender; empty for a request without a credential.
	Organisation string `json:"organisation,omitempty"`
}

// Explanation states where an entry would send a request, and why.
type Explanation struct {
	Query
	Version    uint64 `json:"version"`
	Route      string `json:"route,omitempty"`
	Idempotent bool   `json:"idempotent"`
	Pool       string `json:"pool,omitempty"`
	Service    string `json:"service,omitempty"`
	// PermitOwner is the owner of a request limit that would be asked for a permit. Whether it grants one
	// is not known.
	PermitOwner string `json:"permit_owner,omitempty"`
	// Choice is the ID of the backend server that would be tried first.
	Choice  string          `json:"choice,omitempty"`
	Why     string          `json:"why,omitempty"`
	Refusal *ExplainRefusal `json:"refusal,omitempty"`
	Notes   []string        `json:"notes,omitempty"`
	// Candidates begins with the choice. Omitted counts those that are left out.
	Candidates []ExplainCandidate `json:"candidates"`
	Omitted    int                `json:"omitted,omitempty"`
}

// ExplainRefusal states why a request would be refused.
type ExplainRefusal struct {
	Reason hop.Reason `json:"reason"`
	Status int        `json:"status"`
	Detail string     `json:"detail"`
	// WaitsMS is how long the request would wait for a backend server before; AfterMS the time until the
	// next permit is due.
	WaitsMS int64 `json:"waits_ms,omitempty"`
	AfterMS int64 `json:"after_ms,omitempty"`
}

// ExplainCandidate is a backend server of the service with what a choice knows of it.
type ExplainCandidate struct {
	ID        string `json:"id"`
	Guard     string `json:"guard"`
	Distance  string `json:"distance,omitempty"`
	Condition string `json:"condition"`
	// Compared is set when its load was compared with that of other candidates.
	Compared bool    `json:"compared"`
	Load     float64 `json:"load"`
	// LoadAgeMS is nil without a load report.
	LoadAgeMS          *int64  `json:"load_age_ms"`
	InFlight           int     `json:"in_flight"`
	FailureProbability float64 `json:"failure_probability,omitempty"`
	BackoffMS          int64   `json:"backoff_ms,omitempty"`
	RoomInMS           int64   `json:"room_in_ms,omitempty"`
}

// Explain returns where a request would go now. It sends nothing, takes no permit, and changes no state
// of the entry.
func (e *Entry) Explain(q Query) (Explanation, error) {
	out := Explanation{Query: q, Candidates: []ExplainCandidate{}}
	r, target, err := e.queriedRequest(q)
	if err != nil {
		return out, err
	}
	if e.stop.refusing.Load() {
		return out.refused(stopping()), nil
	}
	if e.stop.times.Load() != nil {
		out.Notes = append(out.Notes, "this node is stopping")
	}
	s, errReply := e.snapshot()
	if errReply != nil {
		return out.refused(errReply), nil
	}
	out.Version = s.Version()
	var o organisation.Organisation
	if q.Organisation != "" {
		var known bool
		if o, known = s.Organisation(q.Organisation); !known {
			return out, errors.Wrapf(ErrUnknownOrganisation, "%q is not in version %d", q.Organisation, s.Version())
		}
	}
	now := time.Now()
	rs := &requestState{entry: e, received: now, headerSize: int64(headerBytes(r))}
	info, errReply := e.config.Protocol.RequestInfo(o, s)
	if errReply == nil {
		errReply = rs.matchRoute(s, info, q.Host, q.Method, exchange.TargetPath(target))
	}
	if rs.route.Name != "" {
		out.Route, out.Idempotent = rs.route.Key(), rs.route.Idempotent
	}
	if errReply != nil {
		return out.refused(errReply), nil
	}
	poolName, drawn := e.splitter.Peek(rs.route)
	if !drawn {
		poolName = rs.route.Split[0].Pool
		out.Notes = append(out.Notes, "the pool of the first request of this split route is random; the first pool of the split is shown")
	}
	out.Pool = poolName
	if errReply := rs.usePool(s, poolName); errReply != nil {
		return out.refused(errReply), nil
	}
	out.Service, rs.deadline = rs.pool.Service, now.Add(rs.route.Timeout())
	if rs.needsPermit() {
		ask, refusal := e.config.Permits.Preview(rs.caller)
		if errReply := permitReply(refusal); errReply != nil {
			out = out.refused(errReply)
			out.Refusal.AfterMS = refusal.After.Milliseconds()
			return out, nil
		}
		out.PermitOwner = fmt.Sprintf("%s (%s)", ask.Node.ID, ask.Role)
	}
	return rs.explainChoice(out), nil
}

func (x Explanation) refused(f *ErrorReply) Explanation {
	x.Refusal = &ExplainRefusal{Reason: f.Reason, Status: f.Status, Detail: f.Detail}
	return x
}

// explainChoice adds the choice of the backend server for the first attempt.
func (rs *requestState) explainChoice(out Explanation) Explanation {
	a := balance.Attempt{Bytes: rs.headerSize}
	rs.describeAttempt(&a)
	p := rs.entry.balancer.preview(rs.pool.Service, rs.entry.candidates(rs.pool), a)
	out.Why = string(p.Rule)
	if p.OK {
		out.Choice = p.Choice.Backend.ID
	} else {
		out = out.refused(noBackend())
		if rs.mayWait() {
			out.Refusal.WaitsMS = rs.waitLeft().Milliseconds()
		}
	}
	if rs.route.Idempotent && len(rs.unhealthyBackends()) > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("%.0f %% of idempotent requests go first to a suspected or ejected backend server, to detect its recovery", 100*retestShare))
	}
	for _, c := range p.Candidates {
		out.add(explainCandidate(c))
	}
	for _, b := range rs.entry.config.View().Backends(rs.pool.Service) {
		if why := exclusion(rs.pool, b); why != "" {
			out.add(ExplainCandidate{ID: b.ID, Guard: b.Guard.NodeID, Condition: why})
		}
	}
	return out
}

func (x *Explanation) add(c ExplainCandidate) {
	if len(x.Candidates) == maxExplained {
		x.Omitted++
		return
	}
	x.Candidates = append(x.Candidates, c)
}

func explainCandidate(c balance.Candidate) ExplainCandidate {
	out := ExplainCandidate{
		ID: c.Backend.ID, Guard: c.Backend.Guard.NodeID, Distance: c.Locality.String(), Condition: c.Condition,
		Compared: c.Compared, Load: c.Load, InFlight: c.InFlight, FailureProbability: c.FailureProbability,
		BackoffMS: c.Backoff.Milliseconds(), RoomInMS: c.RoomIn.Milliseconds(),
	}
	if c.ReportAge >= 0 {
		age := c.ReportAge.Milliseconds()
		out.LoadAgeMS = &age
	}
	return out
}

// queriedRequest returns the request of a query and its target, or ErrBadQuery.
func (e *Entry) queriedRequest(q Query) (*http.Request, string, error) {
	r, err := http.NewRequest(q.Method, "http://host/", nil)
	switch {
	case err != nil || q.Method == "":
		return nil, "", errors.Wrapf(ErrBadQuery, "method %.32q is not valid", q.Method)
	case len(q.Host) > maxExplainedName || strings.ContainsFunc(q.Host, notInHost):
		return nil, "", errors.Wrap(ErrBadQuery, "host is not valid")
	case len(q.Organisation) > maxExplainedName:
		return nil, "", errors.Wrap(ErrBadQuery, "organisation is too long")
	case !strings.HasPrefix(q.Path, "/") && q.Path != "*":
		return nil, "", errors.Wrap(ErrBadQuery, "path must begin with /")
	}
	r.Host, r.RequestURI = q.Host, q.Path
	if errReply := checkRequest(r, e.config.Limits.MaxHeaderBytes); errReply != nil {
		return nil, "", errors.Wrap(ErrBadQuery, errReply.Detail)
	}
	target, ok := exchange.Target(r)
	if !ok {
		return nil, "", errors.Wrap(ErrBadQuery, "path is not valid")
	}
	return r, target, nil
}

func notInHost(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(`/?#@\"`, c) }

// ExplainHandler returns a handler that answers requests for ExplainPath with an Explanation in JSON, and
// passes all others to next. It is for addresses of the fleet only.
func (e *Entry) ExplainHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != ExplainPath {
			next.ServeHTTP(w, r)
			return
		}
		q, err := parseQuery(r)
		var x Explanation
		if err == nil {
			x, err = e.Explain(q)
		}
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		switch {
		case errors.Is(err, ErrUnknownOrganisation):
			w.WriteHeader(http.StatusNotFound)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
		if err != nil {
			_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(x)
	})
}

// parseQuery reads a query. Unknown parameters are refused, so that nobody passes a key or a secret.
func parseQuery(r *http.Request) (Query, error) {
	if r.Method != http.MethodGet {
		return Query{}, errors.Wrapf(ErrBadQuery, "%.32s: only GET is served", r.Method)
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return Query{}, errors.Wrap(ErrBadQuery, "the query cannot be parsed")
	}
	q := Query{Method: http.MethodGet}
	fields := map[string]*string{"method": &q.Method, "host": &q.Host, "path": &q.Path, "organisation": &q.Organisation}
	for name, v := range values {
		field := fields[name]
		if field == nil || len(v) != 1 {
			return Query{}, errors.Wrapf(ErrBadQuery, "parameter %.32q is unknown or repeated", name)
		}
		*field = v[0]
	}
	return q, nil
}
