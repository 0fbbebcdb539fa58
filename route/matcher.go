package route

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// shardCount is the number of maps into which a matcher divides the organisations. A
// change copies the array of maps, and those maps that hold routes of an organisation
// that it touches. With more maps the cost of copying the array would dominate.
const shardCount = 1024

// Matcher finds the route of a request. It is immutable; the zero value has no routes.
type Matcher struct {
	shards [shardCount]map[matchKey][]*Route
}

// matchKey is the key under which a matcher stores a route. Because a match looks up
// one key for each prefix of the path, its cost depends on the depth of the path and
// not on the number of routes of an organisation, which may be thousands.
type matchKey struct {
	organisation string
	host         string
	// prefix is the path prefix without a trailing slash; it is empty for "/".
	prefix string
}

// NewMatcher returns a matcher over routes, which must not change afterwards.
func NewMatcher(routes []Route) *Matcher { return new(Matcher).Replace(nil, [][]Route{routes}) }

// Replace returns a matcher that has the routes of m, without those in removed and with
// those in added. Both are lists of pages of the configuration, and a page is a list
// of routes. The added pages must not change afterwards. The new matcher shares the
// other routes with m.
func (m *Matcher) Replace(removed, added [][]Route) *Matcher {
	next := *m
	cloned := make(map[int]bool)
	updateRoutes := func(r *Route, update func([]*Route) []*Route) {
		i := shardOf(r.Organisation)
		if !cloned[i] {
			cloned[i] = true
			next.shards[i] = cloneShard(m.shards[i])
		}
		key := keyOf(r)
		if routesOfKey := update(slices.Clone(next.shards[i][key])); len(routesOfKey) > 0 {
			next.shards[i][key] = routesOfKey
		} else {
			delete(next.shards[i], key)
		}
	}
	for _, page := range removed {
		for i := range page {
			updateRoutes(&page[i], func(routesOfKey []*Route) []*Route {
				return slices.DeleteFunc(routesOfKey, func(r *Route) bool { return r.Name == page[i].Name })
			})
		}
	}
	for _, page := range added {
		for i := range page {
			updateRoutes(&page[i], func(routesOfKey []*Route) []*Route {
				routesOfKey = append(routesOfKey, &page[i])
				slices.SortFunc(routesOfKey, compareMethods)
				return routesOfKey
			})
		}
	}
	return &next
}

func cloneShard(shard map[matchKey][]*Route) map[matchKey][]*Route {
	if shard == nil {
		return make(map[matchKey][]*Route)
	}
	return maps.Clone(shard)
}

func keyOf(r *Route) matchKey {
	return matchKey{r.Organisation, r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
}

// shardOf returns the index of the map for an organisation, by the FNV-1a hash of its
// name.
func shardOf(organisation string) int {
	hash := uint32(2166136261)
	for i := range len(organisation) {
		hash = (hash ^ uint32(organisation[i])) * 16777619
	}
	return int(hash % shardCount)
}

// compareMethods orders routes with methods before routes without, and both by name.
func compareMethods(a, b *Route) int {
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		if len(a.Methods) > 0 {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// Match returns the most specific route of the organisation for a request. A route
// with the host of the request goes before one without a host, then a longer path
// prefix before a shorter one, then a route with the method of the request before
// one without methods. Host may carry a port.
func (m *Matcher) Match(organisation, host, method, path string) (Route, bool) {
	for _, host := range []string{hostWithoutPort(host), ""} {
		prefix := strings.TrimSuffix(path, "/")
		for {
			if r, ok := m.matchMethod(matchKey{organisation, host, prefix}, method, path); ok {
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

// matchMethod returns the first route under the key that matches the method, and the
// trailing slash of the path where the route requires one.
func (m *Matcher) matchMethod(key matchKey, method, path string) (Route, bool) {
	for _, r := range m.shards[shardOf(key.organisation)][key] {
		if r.SlashRequired && !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return *r, true
		}
	}
	return Route{}, false
}

// hostWithoutPort returns the host in lower case and without a port.
func hostWithoutPort(hostport string) string {
	if address, err := netip.ParseAddrPort(hostport); err == nil {
		return address.Addr().String()
	}
	host, _, _ := strings.Cut(hostport, ":")
	return strings.ToLower(host)
}
