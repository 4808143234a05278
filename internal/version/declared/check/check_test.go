package check

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// validConfiguration has no findings.
func validConfiguration() *declared.Configuration {
	priority := 1
	return &declared.Configuration{
		Version: 7,
		Services: []declared.Service{
			{Name: "desk", HealthPath: "/healthz", MaxConnections: 90},
			{Name: "model", MaxConnections: 90, Engine: &declared.Engine{Slots: 8, KVCapacityTokens: 55_000, BacksUpKVCache: true}},
		},
		Routes: []declared.Route{
			{
				Name: "look", Host: "desk.example", PathPrefix: "/look/", RetryPolicy: declared.Retryable, MaxAttempts: 2,
				Timeout: 2 * time.Second, LatencyObjective: time.Second, Services: []declared.WeightedService{{Service: "desk", Weight: 2}},
			},
			{
				Name: "draft", Host: "desk.example", PathPrefix: "/draft/", RetryPolicy: declared.Resumable, Stream: true, MaxAttempts: 5,
				Timeout: 20 * time.Second, LatencyObjective: 4 * time.Second, MaxEventGap: time.Second, Services: []declared.WeightedService{{Service: "model", Weight: 1}},
			},
		},
		Teams: []declared.Team{
			{Name: "rambla", Keys: []string{"k1", "k2"}, Priority: &priority},
			{Name: "other", Keys: []string{"k3"}},
		},
		Limits: declared.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
	}
}

var deployment = Deployment{EntryVMs: 69, EntryMemory: 144 << 20}

func documentOf(c *declared.Configuration) *declared.Document {
	return &declared.Document{Configuration: c, Problems: slices.Collect(c.Problems())}
}

// edit changes a configuration.
type edit = func(c *declared.Configuration)

// findingCase has a change of a valid configuration that has the finding, and a similar one
// that doesn't have it.
type findingCase struct {
	triggers, nearMiss edit
}

func routePriority(p int) edit { return func(c *declared.Configuration) { c.Routes[0].Priority = p } }

func addRoute(change func(r *declared.Route)) edit {
	return func(c *declared.Configuration) {
		r := c.Routes[0]
		r.Name, r.PathPrefix = "added", "/look/more/"
		change(&r)
		c.Routes = append(c.Routes, r)
	}
}

func limits(change func(l *declared.Limits)) edit {
	return func(c *declared.Configuration) { change(&c.Limits) }
}

func setServices(services ...declared.WeightedService) edit {
	return func(c *declared.Configuration) { c.Routes[0].Services = services }
}

// checkCases are the cases of Check. Kinds that only a decoder finds are in its tests.
var checkCases = map[Kind]findingCase{
	NoVersion:      {func(c *declared.Configuration) { c.Version = 0 }, func(c *declared.Configuration) { c.Version = 1 }},
	UnnamedService: {func(c *declared.Configuration) { c.Services[0].Name = "" }, func(c *declared.Configuration) { c.Services[0].Name = " " }},
	DuplicateRoute: {
		addRoute(func(r *declared.Route) { r.Host, r.PathPrefix = "DESK.example", "/look/" }),
		addRoute(func(r *declared.Route) { r.PathPrefix = "/LOOK/" }),
	},
	NoTimeout:     {func(c *declared.Configuration) { c.Routes[0].Timeout = 0 }, func(c *declared.Configuration) { c.Routes[0].Timeout = 1 }},
	InvalidPrefix: {addRoute(func(r *declared.Route) { r.PathPrefix = "/more" }), addRoute(func(r *declared.Route) { r.PathPrefix = "/" })},
	UnknownService: {
		setServices(declared.WeightedService{Service: "gone"}, declared.WeightedService{Service: "desk", Weight: 1}),
		setServices(declared.WeightedService{Service: "model"}, declared.WeightedService{Service: "desk", Weight: 1}),
	},
	NoWeight: {
		setServices(declared.WeightedService{Service: "desk"}, declared.WeightedService{Service: "model"}),
		setServices(declared.WeightedService{Service: "desk"}, declared.WeightedService{Service: "model", Weight: 1}),
	},
	SharedKey: {
		func(c *declared.Configuration) { c.Teams[1].Keys = []string{"k2"} },
		func(c *declared.Configuration) { c.Teams[1].Keys = []string{"K2"} },
	},

	UnmatchableRoute: {
		addRoute(func(r *declared.Route) { r.Host = "desk.example:80" }),
		addRoute(func(r *declared.Route) { r.Host, r.PathPrefix = "::1", "/a%20b/" }),
	},
	DuplicateName: {
		func(c *declared.Configuration) { c.Services = append(c.Services, declared.Service{Name: "desk"}) },
		func(c *declared.Configuration) { c.Services = append(c.Services, declared.Service{Name: "Desk"}) },
	},
	UnusedService: {
		func(c *declared.Configuration) { c.Services = append(c.Services, declared.Service{Name: "spare"}) },
		func(c *declared.Configuration) {
			c.Services = append(c.Services, declared.Service{Name: "spare"})
			c.Routes[0].Services = append(c.Routes[0].Services, declared.WeightedService{Service: "spare", Weight: 1})
		},
	},
	ZeroWeight: {
		setServices(declared.WeightedService{Service: "desk", Weight: 1}, declared.WeightedService{Service: "model"}),
		setServices(declared.WeightedService{Service: "desk", Weight: 1}, declared.WeightedService{Service: "model", Weight: 1}),
	},
	RepeatedKey: {
		func(c *declared.Configuration) { c.Teams[0].Keys = []string{"k1", "k2", "k1"} },
		func(c *declared.Configuration) { c.Teams[0].Keys = []string{"k1", "k2", "k11"} },
	},
	EmptyKey: {
		func(c *declared.Configuration) { c.Teams[1].Keys = []string{""} },
		func(c *declared.Configuration) { c.Teams[1].Keys = []string{" "} },
	},
	TeamWithoutKeys: {
		func(c *declared.Configuration) { c.Teams[1].Keys = nil },
		func(c *declared.Configuration) { c.Teams = nil },
	},
	TeamsWithoutRoute: {
		func(c *declared.Configuration) { c.Routes[0].Public, c.Routes[1].Public = true, true },
		func(c *declared.Configuration) { c.Routes[0].Public = true },
	},

	InvalidLimit:           {routePriority(10), routePriority(9)},
	DeadlineBelowObjective: {func(c *declared.Configuration) { c.Routes[0].Timeout = time.Second - 1 }, func(c *declared.Configuration) { c.Routes[0].Timeout = time.Second }},
	AttemptsExceedDeadline: {func(c *declared.Configuration) { c.Routes[1].MaxAttempts = 6 }, func(c *declared.Configuration) {
		c.Routes[1].MaxAttempts, c.Routes[1].RetryPolicy = 6, declared.AtMostOnce
	}},
	GapExceedsDeadline: {
		func(c *declared.Configuration) { c.Routes[1].MaxEventGap = 20 * time.Second },
		func(c *declared.Configuration) { c.Routes[1].MaxEventGap = 20*time.Second - 1 },
	},
	TooFewConnections: {
		func(c *declared.Configuration) { c.Services[0].MaxConnections = 68 },
		func(c *declared.Configuration) { c.Services[0].MaxConnections = 69 },
	},
	BodyLimitExceedsMemory: {limits(func(l *declared.Limits) { l.BodyBytes = 144<<20 + 1 }), limits(func(l *declared.Limits) { l.BodyBytes = 144 << 20 })},
}

// compareCases are the cases of Compare with the valid configuration in force. The version of
// the compared one is higher.
var compareCases = map[Kind]findingCase{
	VersionReused: {
		func(c *declared.Configuration) { c.Version, c.Routes[0].Timeout = 7, time.Minute },
		// The same shares in another notation are not other content.
		func(c *declared.Configuration) {
			c.Version = 7
			setServices(declared.WeightedService{Service: "desk", Weight: 1}, declared.WeightedService{Service: "desk", Weight: 3})(c)
		},
	},
	VersionNotNewer: {func(c *declared.Configuration) { c.Version = 6 }, func(c *declared.Configuration) { c.Version = 7 }},
	RouteAdded: {
		addRoute(func(*declared.Route) {}),
		func(c *declared.Configuration) { slices.Reverse(c.Routes) },
	},
	RouteRemoved: {
		func(c *declared.Configuration) { c.Routes = c.Routes[:1] },
		func(c *declared.Configuration) { c.Routes[1].Host = "Desk.Example" },
	},
	RouteRenamed: {func(c *declared.Configuration) { c.Routes[0].Name = "find" }, func(c *declared.Configuration) { c.Routes[0].PathPrefix = "/find/" }},
	RequestsMoved: {
		setServices(declared.WeightedService{Service: "desk", Weight: 1}, declared.WeightedService{Service: "model", Weight: 1}),
		setServices(declared.WeightedService{Service: "desk", Weight: 1}, declared.WeightedService{Service: "model"}),
	},
	RetryPolicyChanged: {
		func(c *declared.Configuration) { c.Routes[0].RetryPolicy = declared.AtMostOnce },
		func(c *declared.Configuration) { c.Routes[0].MaxAttempts = 1 },
	},
	PriorityChanged: {
		func(c *declared.Configuration) { c.Teams[0].Priority = nil },
		func(c *declared.Configuration) { same := 1; c.Teams[0].Priority = &same },
	},
	KeyNotRequired: {func(c *declared.Configuration) { c.Teams = nil }, func(c *declared.Configuration) { c.Teams = c.Teams[:1] }},
	LimitTightened: {limits(func(l *declared.Limits) { l.HeaderBytes = 4095 }), limits(func(l *declared.Limits) { l.HeaderBytes = 0 })},
	LimitLoosened:  {limits(func(l *declared.Limits) { l.HeaderBytes = 0 }), limits(func(l *declared.Limits) { l.HeaderBytes = 4095 })},
	ServiceAdded: {
		func(c *declared.Configuration) { c.Services = append(c.Services, declared.Service{Name: "spare"}) },
		func(c *declared.Configuration) { slices.Reverse(c.Services) },
	},
	ServiceRemoved: {func(c *declared.Configuration) { c.Services = c.Services[:1] }, func(c *declared.Configuration) { slices.Reverse(c.Services) }},
	ServiceChanged: {
		func(c *declared.Configuration) { c.Services[1].Engine.BacksUpKVCache = false },
		func(c *declared.Configuration) { c.Services[1].MaxConnections = 80 },
	},
	TeamAdded: {
		func(c *declared.Configuration) { c.Teams = append(c.Teams, declared.Team{Name: "third"}) },
		func(c *declared.Configuration) { slices.Reverse(c.Teams) },
	},
	TeamRemoved: {func(c *declared.Configuration) { c.Teams = c.Teams[:1] }, func(c *declared.Configuration) { c.Teams[1].Keys = nil }},
	KeyAdded: {
		func(c *declared.Configuration) { c.Teams[0].Keys = append(c.Teams[0].Keys, "k4") },
		func(c *declared.Configuration) { c.Teams[0].Keys = append(c.Teams[0].Keys, "k1") },
	},
	KeyRemoved: {
		func(c *declared.Configuration) { c.Teams[0].Keys = []string{"k1"} },
		func(c *declared.Configuration) { slices.Reverse(c.Teams[0].Keys) },
	},
	KeyMoved: {
		func(c *declared.Configuration) {
			c.Teams[0].Keys, c.Teams[1].Keys = []string{"k1"}, []string{"k2", "k3"}
		},
		func(c *declared.Configuration) { c.Teams[1].Keys = []string{"k4", "k3"} },
	},
}

func checkEdited(change edit) []Finding {
	c := validConfiguration()
	change(c)
	return Check(documentOf(c), deployment)
}

func compareEdited(change edit) []Finding {
	c := validConfiguration()
	c.Version = 8
	change(c)
	return Compare(validConfiguration(), documentOf(c))
}

func has(findings []Finding, kind Kind) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Kind == kind })
}

// TestFindings guards against a finding that is not made, and one that is made without a cause.
func TestFindings(t *testing.T) {
	for _, group := range []struct {
		cases map[Kind]findingCase
		run   func(edit) []Finding
	}{{checkCases, checkEdited}, {compareCases, compareEdited}} {
		for kind, c := range group.cases {
			t.Run(string(kind), func(t *testing.T) {
				findings := group.run(c.triggers)
				i := slices.IndexFunc(findings, func(f Finding) bool { return f.Kind == kind })
				assert.Assert(t, i >= 0, "%+v", findings)
				assert.Equal(t, findings[i].Severity, Kinds()[kind])
				assert.Assert(t, findings[i].Message != "" && !strings.Contains(findings[i].Message, "%!"), "%q", findings[i].Message)
				assert.Assert(t, !has(group.run(c.nearMiss), kind), "%+v", group.run(c.nearMiss))
			})
		}
	}
}

// TestValidConfigurationHasNoFindings guards against findings on a sound configuration.
func TestValidConfigurationHasNoFindings(t *testing.T) {
	assert.Equal(t, len(checkEdited(func(*declared.Configuration) {})), 0, "%+v", checkEdited(func(*declared.Configuration) {}))
	assert.Equal(t, len(compareEdited(func(*declared.Configuration) {})), 0)
}

// TestKeyIsRequiredFromTheFirstTeam guards against a change that refuses all callers without
// being reported: without teams, no request needs a key.
func TestKeyIsRequiredFromTheFirstTeam(t *testing.T) {
	before := validConfiguration()
	before.Teams = nil
	after := validConfiguration()
	assert.Assert(t, has(Compare(before, documentOf(after)), KeyRequired))
	after.Routes[0].Public, after.Routes[1].Public = true, true
	assert.Assert(t, !has(Compare(before, documentOf(after)), KeyRequired))
}

// TestEveryKindHasACase guards against a kind without a test.
func TestEveryKindHasACase(t *testing.T) {
	tested := map[Kind]bool{
		Unreadable: true, InvalidValue: true, UnknownRouteType: true, // platform: TestProblemsHaveLineAndField
		KeyRequired:     true, // TestKeyIsRequiredFromTheFirstTeam
		FindingsLeftOut: true, // TestFindingsAreBounded
	}
	for kind := range checkCases {
		tested[kind] = true
	}
	for kind := range compareCases {
		tested[kind] = true
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(tested)), slices.Sorted(maps.Keys(Kinds())))
}

// TestFindingsAreBounded guards against memory that grows with a document made of faults.
func TestFindingsAreBounded(t *testing.T) {
	teams := func(n int) edit {
		return func(c *declared.Configuration) { c.Teams = make([]declared.Team, n) }
	}
	findings := checkEdited(teams(maxFindings + 2))
	assert.Equal(t, len(findings), maxFindings+1)
	assert.Equal(t, findings[maxFindings].Kind, FindingsLeftOut)
	assert.Equal(t, findings[maxFindings].Message, "2 more findings are not shown")
	assert.Assert(t, !has(checkEdited(teams(maxFindings)), FindingsLeftOut))
}

// TestDifferencesSayWhereRequestsGo checks the routes that take over the requests of added and
// removed ones.
func TestDifferencesSayWhereRequestsGo(t *testing.T) {
	message := func(kind Kind, change edit) string {
		t.Helper()
		findings := compareEdited(change)
		i := slices.IndexFunc(findings, func(f Finding) bool { return f.Kind == kind })
		assert.Assert(t, i >= 0, "%+v", findings)
		return findings[i].Message
	}
	added := addRoute(func(r *declared.Route) {
		r.Services = []declared.WeightedService{{Service: "model", Weight: 1}, {Service: "desk", Weight: 3}}
	})
	assert.Equal(t, message(RouteAdded, added),
		`route "added" is added: requests to "desk.example/look/more/" went to "desk" by route "look", and go to "desk" (75 %) and "model" (25 %) from now on`)
	assert.Equal(t, message(RouteAdded, addRoute(func(r *declared.Route) { r.PathPrefix = "/new/" })),
		`route "added" is added: requests to "desk.example/new/" were refused as unknown, and go to "desk" from now on`)
	assert.Equal(t, message(RouteRemoved, func(c *declared.Configuration) { c.Routes[1].PathPrefix = "/" }),
		`route "draft" is removed: requests to "desk.example/draft/" went to "model", and go to "model" by route "draft" from now on`)
}

// TestKeysAreNotShown guards against secrets in the output.
func TestKeysAreNotShown(t *testing.T) {
	secret := "a-secret-key"
	for _, f := range slices.Concat(
		checkEdited(func(c *declared.Configuration) {
			c.Teams[0].Keys, c.Teams[1].Keys = []string{secret, secret}, []string{secret}
		}),
		compareEdited(func(c *declared.Configuration) { c.Teams[0].Keys = []string{secret} }),
		Compare(documentOf(&declared.Configuration{Teams: []declared.Team{{Keys: []string{secret}}}}).Configuration, documentOf(validConfiguration())),
	) {
		assert.Assert(t, !strings.Contains(f.Message, secret), f.Message)
	}
}
