package route_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawlane/jackdawlane/route"
)

func TestMatch(t *testing.T) {
	m := route.NewMatcher([]route.Route{
		{Name: "all", Organisation: "kitami", PathPrefix: "/", Pool: "slot"},
		{Name: "book", Organisation: "kitami", PathPrefix: "/book", Methods: []string{"POST"}, Pool: "booking"},
		{Name: "host", Organisation: "kitami", Host: "proof.example", PathPrefix: "/", Pool: "proof"},
		{Name: "all", Organisation: "hooghly", PathPrefix: "/", Pool: "pattern"},
	})
	tests := []struct{ desc, organisation, host, method, path, pool string }{
		{"root", "kitami", "a", "GET", "/", "slot"},
		{"prefix and method", "kitami", "a", "POST", "/book/7", "booking"},
		{"other method falls through", "kitami", "a", "GET", "/book/7", "slot"},
		{"whole segments only", "kitami", "a", "POST", "/booking", "slot"},
		{"host first", "kitami", "Proof.example:80", "POST", "/book", "proof"},
		{"other organisation", "hooghly", "a", "POST", "/book", "pattern"},
		{"unknown organisation", "nobody", "a", "POST", "/book", ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r, _ := m.Match(test.organisation, test.host, test.method, test.path)
			assert.Equal(t, r.Pool, test.pool)
		})
	}
}

// Guards against a match with a route of another organisation, which would send the
// request of a caller to the backend servers of that organisation. Routes of three
// organisations overlap in their path prefixes.
func TestMatchStaysWithinOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		organisation := rapid.SampledFrom([]string{"a", "b", "c"})
		prefix := rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/xy"})
		var routes []route.Route
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			routes = append(routes, route.Route{
				Name: fmt.Sprint("r", i), Organisation: organisation.Draw(t, "owner"),
				PathPrefix: prefix.Draw(t, "prefix"), Pool: "p",
			})
		}
		caller, path := organisation.Draw(t, "caller"), prefix.Draw(t, "path")
		got, ok := route.NewMatcher(routes).Match(caller, "h", "GET", path)
		longest := -1
		for _, r := range routes {
			p := strings.TrimSuffix(r.PathPrefix, "/")
			if r.Organisation == caller && strings.HasPrefix(strings.TrimSuffix(path, "/")+"/", p+"/") {
				longest = max(longest, len(p))
			}
		}
		assert.Equal(t, ok, longest >= 0)
		if ok {
			assert.Equal(t, got.Organisation, caller)
			assert.Equal(t, len(strings.TrimSuffix(got.PathPrefix, "/")), longest)
		}
	})
}

func TestValidateNamesTheField(t *testing.T) {
	valid := route.Route{Name: "r", Organisation: "o", PathPrefix: "/", Pool: "p"}
	assert.NilError(t, valid.Validate())
	tests := []struct {
		desc string
		edit func(r *route.Route)
		want string
	}{
		{"slash in name", func(r *route.Route) { r.Name = "a/b" }, "name"},
		{"no pool", func(r *route.Route) { r.Pool = "" }, "pool"},
		{"relative prefix", func(r *route.Route) { r.PathPrefix = "x" }, "path_prefix"},
		{"host with port", func(r *route.Route) { r.Host = "a:80" }, "host"},
		{"lower-case method", func(r *route.Route) { r.Methods = []string{"get"} }, "method"},
		{"negative timeout", func(r *route.Route) { r.TimeoutMS = -1 }, "timeout_ms"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := valid
			test.edit(&r)
			err := r.Validate()
			assert.ErrorIs(t, err, route.ErrInvalid)
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	var routes []route.Route
	for i := range 67_000 {
		routes = append(routes, route.Route{
			Name: fmt.Sprint("r", i), Organisation: fmt.Sprint("o", i%20),
			PathPrefix: fmt.Sprintf("/v1/item%d", i), Pool: "p",
		})
	}
	m := route.NewMatcher(routes)
	b.ResetTimer()
	for i := range b.N {
		m.Match(fmt.Sprint("o", i%20), "host:80", "GET", "/v1/item40/detail")
	}
}
