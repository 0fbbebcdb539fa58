package route

import (
	"net/netip"
	"slices"
	"strings"
)

// Matcher finds the route of a request. It is immutable.
type Matcher struct {
	routes map[matchKey][]Route
}

// matchKey makes the cost of a match follow the depth of the path and not the
// number of an organisation's routes, which may be thousands.
type matchKey struct {
	organisation string
	host         string
	// prefix has no trailing slash, so "/" is the empty prefix.
	prefix string
}

// NewMatcher returns a matcher over routes, which it copies.
func NewMatcher(routes []Route) *Matcher {
	m := &Matcher{routes: make(map[matchKey][]Route, len(routes))}
	for _, r := range routes {
		key := matchKey{r.Organisation, r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
		m.routes[key] = append(m.routes[key], r)
	}
	for _, same := range m.routes {
		slices.SortFunc(same, compareMethods)
	}
	return m
}

// compareMethods orders a route with methods before one without, then by name.
func compareMethods(a, b Route) int {
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		if len(a.Methods) > 0 {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// Match returns the most specific route of the organisation for a request: a
// route with the host before one without, then the longest path prefix, then a
// route with the method before one without. Host may carry a port.
func (m *Matcher) Match(organisation, host, method, path string) (Route, bool) {
	for _, host := range []string{hostWithoutPort(host), ""} {
		prefix := strings.TrimSuffix(path, "/")
		for {
			if r, ok := m.matchMethod(matchKey{organisation, host, prefix}, method); ok {
				return r, true
			}
			slash := strings.LastIndexByte(prefix, '/')
			if slash < 0 {
				break
			}
			prefix = prefix[:slash]
		}
	}
	return Route{}, false
}

func (m *Matcher) matchMethod(key matchKey, method string) (Route, bool) {
	for _, r := range m.routes[key] {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return Route{}, false
}

func hostWithoutPort(hostport string) string {
	if address, err := netip.ParseAddrPort(hostport); err == nil {
		return address.Addr().String()
	}
	host, _, _ := strings.Cut(hostport, ":")
	return strings.ToLower(host)
}
