package declared_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

func route(name, prefix string, services ...declared.WeightedService) declared.Route {
	return declared.Route{Name: name, Host: "desk.example", PathPrefix: prefix, Timeout: time.Second, Services: services}
}

func validConfiguration() *declared.Configuration {
	return &declared.Configuration{
		Version:  7,
		Services: []declared.Service{{Name: "desk"}},
		Routes:   []declared.Route{route("fares", "/fares/", declared.WeightedService{Service: "desk", Weight: 1})},
		Teams:    []declared.Team{{Name: "rambla", Keys: []string{"k1"}}},
	}
}

func TestValidateErrorsNameTheInvalidItem(t *testing.T) {
	for want, change := range map[string]func(c *declared.Configuration){
		"has no version":               func(c *declared.Configuration) { c.Version = 0 },
		`"fares" has no timeout`:       func(c *declared.Configuration) { c.Routes[0].Timeout = 0 },
		`unknown service "gone"`:       func(c *declared.Configuration) { c.Routes[0].Services[0].Service = "gone" },
		`of route "fares" add up to 0`: func(c *declared.Configuration) { c.Routes[0].Services[0].Weight = 0 },
		`share host "desk.example"`:    func(c *declared.Configuration) { c.Routes = append(c.Routes, c.Routes[0]) },
		`"rambla" and "other" share a key`: func(c *declared.Configuration) {
			c.Teams = append(c.Teams, declared.Team{Name: "other", Keys: []string{"k1"}})
		},
		"begin and end with a slash": func(c *declared.Configuration) { c.Routes[0].PathPrefix = "/fares" },
	} {
		c := validConfiguration()
		change(c)
		err := c.Validate()
		assert.ErrorContains(t, err, want)
		assert.Assert(t, fault.Is(err, fault.PlanRejected))
	}
	assert.NilError(t, validConfiguration().Validate())
}

func TestHolderVersionOnlyIncreases(t *testing.T) {
	h := &declared.Holder{}
	for _, step := range []struct {
		version uint64
		updated bool
	}{{5, true}, {5, false}, {3, false}, {9, true}} {
		c := validConfiguration()
		c.Version = step.version
		assert.Equal(t, h.Update(c), step.updated)
	}
	assert.Equal(t, h.Version(), uint64(9))
}

// TestLongestPrefixWins compares View.Route with a linear search through all routes.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([ab]/){0,3}`)
		c := &declared.Configuration{Version: 1}
		for _, p := range rapid.SliceOfDistinct(prefix, rapid.ID[string]).Draw(t, "prefixes") {
			c.Routes = append(c.Routes, route(p, p))
		}
		path := rapid.StringMatching(`/([ab]/){0,4}x`).Draw(t, "path")
		var want string
		for _, r := range c.Routes {
			if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > len(want) {
				want = r.PathPrefix
			}
		}
		got := declared.NewView(c).Route("DESK.example", path)
		if want == "" {
			assert.Assert(t, got == nil)
			return
		}
		assert.Equal(t, got.PathPrefix, want)
	})
}

func TestServiceChoiceFollowsWeights(t *testing.T) {
	r := route("r", "/", declared.WeightedService{Service: "a", Weight: 3}, declared.WeightedService{Service: "b"}, declared.WeightedService{Service: "c", Weight: 1})
	counts := map[string]int{}
	for i := range uint64(400) {
		counts[r.ChooseService(i)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 300, "c": 100})
}

// TestHighestPriority guards against streams that count as less urgent than others although no request of
// their service can have a higher priority: priorities of teams replace those of routes.
func TestHighestPriority(t *testing.T) {
	priority := func(p int) *int { return &p }
	stream := func(name string, p int, public bool) declared.Route {
		r := route(name, "/"+name+"/", declared.WeightedService{Service: "model", Weight: 1})
		r.Stream, r.Priority, r.Public = true, p, public
		return r
	}
	for name, test := range map[string]struct {
		routes []declared.Route
		teams  []declared.Team
		want   int
	}{
		"without teams":             {[]declared.Route{stream("a", 3, false), stream("b", 2, false)}, nil, 2},
		"all teams have one":        {[]declared.Route{stream("a", 0, false)}, []declared.Team{{Name: "x", Priority: priority(1)}, {Name: "y", Priority: priority(4)}}, 1},
		"a team has none":           {[]declared.Route{stream("a", 0, false)}, []declared.Team{{Name: "x", Priority: priority(1)}, {Name: "y"}}, 0},
		"a public route":            {[]declared.Route{stream("a", 0, true), stream("b", 3, false)}, []declared.Team{{Name: "x", Priority: priority(1)}}, 0},
		"calls of the same service": {[]declared.Route{stream("a", 2, false), route("calls", "/c/", declared.WeightedService{Service: "model", Weight: 1})}, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			view := declared.NewView(&declared.Configuration{Version: 1, Routes: test.routes, Teams: test.teams})
			assert.Equal(t, view.HighestPriority("model"), test.want)
			assert.Equal(t, view.HighestPriority("other"), 0)
		})
	}
}
