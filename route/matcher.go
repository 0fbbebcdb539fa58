package route

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// shards is the number of parts of a matcher. A change copies the parts of the
// organisations that it touches; more parts would make copying the array of parts dominate.
const shards = 1024

// Matcher finds the route of a request. It is immutable; the zero value has no routes.
type Matcher struct {
	shards [shards]map[matchKey][]*Route
}

// matchKey makes the cost of a match follow the depth of the path and not the
// number of an organisation's routes, which may be thousands.
type matchKey struct {
	organisation string
	host         string
	// prefix has no trailing slash, so "/" is the empty prefix.
	prefix string
}

// NewMatcher returns a matcher over routes, which must not change afterwards.
func NewMatcher(routes []Route) *Matcher { return new(Matcher).With(nil, [][]Route{routes}) }

// With returns a matcher without the routes of the pages removed and with those of the
// pages added, which must not change afterwards. It shares the other routes with m.
func (m *Matcher) With(removed, added [][]Route) *Matcher {
	next := *m
	owned := make(map[int]bool)
	edit := func(r *Route, change func([]*Route) []*Route) {
		i := shardOf(r.Organisation)
		if !owned[i] {
			owned[i] = true
			next.shards[i] = cloneShard(m.shards[i])
		}
		key := keyOf(r)
		if same := change(slices.Clone(next.shards[i][key])); len(same) > 0 {
			next.shards[i][key] = same
		} else {
			delete(next.shards[i], key)
		}
	}
	for _, page := range removed {
		for i := range page {
			edit(&page[i], func(same []*Route) []*Route {
				return slices.DeleteFunc(same, func(r *Route) bool { return r.Name == page[i].Name })
			})
		}
	}
	for _, page := range added {
		for i := range page {
			edit(&page[i], func(same []*Route) []*Route {
				same = append(same, &page[i])
				slices.SortFunc(same, compareMethods)
				return same
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

// shardOf is the FNV-1a hash of an organisation's name.
func shardOf(organisation string) int {
	hash := uint32(2166136261)
	for i := range len(organisation) {
		hash = (hash ^ uint32(organisation[i])) * 16777619
	}
	return int(hash % shards)
}

// compareMethods orders a route with methods before one without, then by name.
func compareMethods(a, b *Route) int {
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

// matchMethod returns the route of the key for a method.
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

func hostWithoutPort(hostport string) string {
	if address, err := netip.ParseAddrPort(hostport); err == nil {
		return address.Addr().String()
	}
	host, _, _ := strings.Cut(hostport, ":")
	return strings.ToLower(host)
}
