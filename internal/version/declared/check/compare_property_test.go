package check

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

func drawConfiguration(t *rapid.T, name string) *declared.Configuration {
	c := &declared.Configuration{Version: 1, Services: []declared.Service{{Name: "s"}, {Name: "u"}}}
	prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/([ab]/){0,3}`), 0, 6, rapid.ID[string]).Draw(t, name)
	for _, p := range prefixes {
		service := rapid.SampledFrom([]string{"s", "u"}).Draw(t, "service")
		c.Routes = append(c.Routes, declared.Route{
			Name: p, Host: "h", PathPrefix: p, Timeout: time.Second, Services: []declared.WeightedService{{Service: service, Weight: 1}},
		})
	}
	return c
}

// TestMovedRequestsAreReported guards against requests that go elsewhere without a difference
// that says so: that of the route which they match in the version that has the longer prefix.
func TestMovedRequestsAreReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfiguration(t, "before"), drawConfiguration(t, "after")
		reported := map[string]bool{}
		for _, f := range Compare(before, documentOf(after)) {
			switch f.Kind {
			case RouteAdded, RouteRemoved, RequestsMoved:
				reported[f.Route] = true
			}
		}
		path := rapid.StringMatching(`/([ab]/){0,4}x`).Draw(t, "path")
		from, to := declared.NewView(before).Route("h", path), declared.NewView(after).Route("h", path)
		if from != nil && to != nil && from.Services[0] == to.Services[0] || from == nil && to == nil {
			return
		}
		longer := from
		if from == nil || to != nil && len(to.PathPrefix) > len(from.PathPrefix) {
			longer = to
		}
		assert.Assert(t, reported[longer.Name], "requests to %s, reported %v", path, reported)
	})
}

// TestTakingOverRouteIsThatOfTheView guards against a difference that names a wrong route for
// the requests of an added or removed one.
func TestTakingOverRouteIsThatOfTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t, "configuration")
		prefix := rapid.StringMatching(`/([ab]/){0,4}`).Draw(t, "prefix")
		assert.Equal(t, newRouting(c).route(hostPrefix{"h", prefix}), declared.NewView(c).Route("h", prefix))
	})
}
