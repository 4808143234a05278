package check

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// hostPrefix identifies the requests that a route is for.
type hostPrefix struct{ host, prefix string }

func requestsOf(r *declared.Route) hostPrefix {
	return hostPrefix{strings.ToLower(r.Host), r.PathPrefix}
}

// routing indexes the routes of a valid configuration.
type routing struct {
	configuration *declared.Configuration
	routes        map[hostPrefix]int
}

func newRouting(c *declared.Configuration) *routing {
	r := &routing{configuration: c, routes: make(map[hostPrefix]int, len(c.Routes))}
	for i := range c.Routes {
		r.routes[requestsOf(&c.Routes[i])] = i
	}
	return r
}

// route returns the route for the requests of another configuration's route, or nil. It is the
// one with the same prefix, or else with the longest prefix of it. It looks up each parent, as
// a search through all routes of a host takes seconds if all of 20,000 have changed.
func (r *routing) route(key hostPrefix) *declared.Route {
	for key.prefix != "" {
		if i, ok := r.routes[key]; ok {
			return &r.configuration.Routes[i]
		}
		parent := strings.TrimSuffix(key.prefix, "/")
		key.prefix = parent[:strings.LastIndex(parent, "/")+1]
	}
	return nil
}

// needsKey reports whether requests of the route need a key. Without teams, none does.
func (r *routing) needsKey(route *declared.Route) bool {
	return !route.Public && len(r.configuration.Teams) > 0
}

func (c *checker) compare(oldConfig, newConfig *declared.Configuration) {
	c.compareRoutes(newRouting(oldConfig), newRouting(newConfig))
	c.compareServices(oldConfig, newConfig)
	c.compareTeams(oldConfig, newConfig)
	c.compareLimits(declared.Item{Section: declared.SectionLimits}, "requests", requestLimits(oldConfig.Limits), requestLimits(newConfig.Limits))
	c.compareVersions(oldConfig.Version, newConfig.Version)
}

// compareVersions runs last: whether a version is sent again with other content depends on
// the differences.
func (c *checker) compareVersions(oldVersion, newVersion uint64) {
	switch {
	case newVersion < oldVersion:
		c.add(VersionNotNewer, declared.Item{}, declared.FieldVersion,
			"version %d is in force; control VMs confirm version %d without a change", oldVersion, newVersion)
	case newVersion == oldVersion && len(c.findings) > 0:
		c.add(VersionReused, declared.Item{}, declared.FieldVersion,
			"version %d is in force with other content; control VMs confirm it without a change", oldVersion)
	}
}

func (c *checker) compareRoutes(before, after *routing) {
	for i := range after.configuration.Routes {
		r := &after.configuration.Routes[i]
		if j, ok := before.routes[requestsOf(r)]; ok {
			c.compareRoute(before, after, &before.configuration.Routes[j], r, routeItem(i, r))
			continue
		}
		c.add(RouteAdded, routeItem(i, r), declared.FieldPathPrefix, "route %q is added: requests to %q %s, and go to %s from now on",
			r.Name, r.Host+r.PathPrefix, destination(before.route(requestsOf(r)), "were refused as unknown", "went to "), shares(r))
	}
	for i := range before.configuration.Routes {
		r := &before.configuration.Routes[i]
		if _, ok := after.routes[requestsOf(r)]; !ok {
			c.addRemoved(RouteRemoved, routeItem(i, r), "route %q is removed: requests to %q went to %s, and %s from now on",
				r.Name, r.Host+r.PathPrefix, shares(r), destination(after.route(requestsOf(r)), "are refused as unknown", "go to "))
		}
	}
}

// destination describes where requests go that match r, or refused if r is nil.
func destination(r *declared.Route, refused, verb string) string {
	if r == nil {
		return refused
	}
	return fmt.Sprintf("%s%s by route %q", verb, shares(r), r.Name)
}

// shares describes the services of a route, in the order of their names.
func shares(r *declared.Route) string {
	if len(r.Services) == 1 {
		return strconv.Quote(r.Services[0].Service) // needs no map, which most routes would allocate
	}
	weights, total := weightsOf(r)
	names := make([]string, 0, len(weights))
	for name := range weights {
		names = append(names, name)
	}
	slices.Sort(names)
	many := len(names) > 1
	for i, name := range names {
		names[i] = strconv.Quote(name)
		if many {
			names[i] += fmt.Sprintf(" (%.4g %%)", 100*float64(weights[name])/float64(max(total, 1)))
		}
	}
	return strings.Join(names, " and ")
}

// weightsOf returns the services that get requests of a route, and the sum of their weights.
func weightsOf(r *declared.Route) (weights map[string]uint64, total uint64) {
	weights = make(map[string]uint64, len(r.Services))
	for _, s := range r.Services {
		if s.Weight > 0 {
			weights[s.Service] += s.Weight
			total += s.Weight
		}
	}
	return weights, total
}

// sameShares reports whether two routes send the same share of requests to each service.
func sameShares(a, b *declared.Route) bool {
	if slices.Equal(a.Services, b.Services) {
		return true
	}
	weightsA, totalA := weightsOf(a)
	weightsB, totalB := weightsOf(b)
	if len(weightsA) != len(weightsB) {
		return false
	}
	for name, w := range weightsA {
		if float64(w)*float64(totalB) != float64(weightsB[name])*float64(totalA) {
			return false
		}
	}
	return true
}

func (c *checker) compareRoute(before, after *routing, a, b *declared.Route, item declared.Item) {
	if a.Name != b.Name {
		c.add(RouteRenamed, item, declared.FieldName, "route %q is named %q from now on", a.Name, b.Name)
	}
	if !sameShares(a, b) {
		c.add(RequestsMoved, item, declared.FieldServices, "requests of route %q go to %s from now on, not to %s", b.Name, shares(b), shares(a))
	}
	if a.RetryPolicy != b.RetryPolicy || a.Stream != b.Stream {
		c.add(RetryPolicyChanged, item, declared.FieldRetryPolicy, "requests of route %q are %s from now on, not %s", b.Name, policy(b), policy(a))
	}
	if a.Priority != b.Priority {
		c.add(PriorityChanged, item, declared.FieldPriority, "route %q has priority %d from now on, not %d", b.Name, b.Priority, a.Priority)
	}
	switch needed, needs := before.needsKey(a), after.needsKey(b); {
	case needs && !needed:
		c.add(KeyRequired, item, declared.FieldPublic, "requests of route %q need a key from now on", b.Name)
	case needed && !needs:
		c.add(KeyNotRequired, item, declared.FieldPublic, "requests of route %q need no key from now on", b.Name)
	}
	c.compareLimits(item, fmt.Sprintf("route %q", b.Name), routeLimits(a), routeLimits(b))
}

func policy(r *declared.Route) string {
	kind := "calls"
	if r.Stream {
		kind = "streams"
	}
	switch r.RetryPolicy {
	case declared.Retryable:
		return kind + " that may be repeated"
	case declared.Resumable:
		return kind + " that may be resumed"
	}
	return kind + " that run at most once"
}

// limit is one limit of an item. A value of 0 means unspecified.
type limit struct {
	field declared.Field
	value int64
	// format returns the text of a value.
	format func(int64) string
}

func formatDuration(n int64) string { return time.Duration(n).String() }
func formatCount(n int64) string    { return fmt.Sprint(n) }

func routeLimits(r *declared.Route) []limit {
	return []limit{
		{declared.FieldTimeout, int64(r.Timeout), formatDuration},
		{declared.FieldLatencyObjective, int64(r.LatencyObjective), formatDuration},
		{declared.FieldMaxEventGap, int64(r.MaxEventGap), formatDuration},
		// Up to one attempt, the value makes no difference.
		{declared.FieldMaxAttempts, int64(max(r.MaxAttempts, 1)), formatCount},
	}
}

func requestLimits(l declared.Limits) []limit {
	return []limit{
		{declared.FieldHeaderBytes, int64(l.HeaderBytes), formatCount},
		{declared.FieldBodyBytes, l.BodyBytes, formatCount},
		{declared.FieldHeaderTimeout, int64(l.HeaderTimeout), formatDuration},
		{declared.FieldIdleTimeout, int64(l.IdleTimeout), formatDuration},
	}
}

// compareLimits compares the same limits of an item in both configurations.
func (c *checker) compareLimits(item declared.Item, of string, before, after []limit) {
	for i, b := range after {
		a := before[i]
		if a.value == b.value {
			continue
		}
		kind, change := LimitLoosened, "loosened"
		if a.value == 0 || b.value != 0 && b.value < a.value {
			kind, change = LimitTightened, "tightened"
		}
		c.add(kind, item, b.field, "the %s of %s is %s from %s to %s", b.field, of, change, a.text(), b.text())
	}
}

func (l limit) text() string {
	if l.value == 0 {
		return "unspecified"
	}
	return l.format(l.value)
}

func (c *checker) compareServices(oldConfig, newConfig *declared.Configuration) {
	// The last service of a name counts.
	before, after := map[string]int{}, map[string]int{}
	for i := range oldConfig.Services {
		before[oldConfig.Services[i].Name] = i
	}
	for i := range newConfig.Services {
		after[newConfig.Services[i].Name] = i
	}
	for i := range newConfig.Services {
		s := &newConfig.Services[i]
		if after[s.Name] != i {
			continue
		}
		j, ok := before[s.Name]
		switch {
		case !ok:
			c.add(ServiceAdded, serviceItem(i, s), declared.FieldName, "service %q is added", s.Name)
		default:
			c.compareService(serviceItem(i, s), &oldConfig.Services[j], s)
		}
	}
	for i := range oldConfig.Services {
		s := &oldConfig.Services[i]
		if _, ok := after[s.Name]; !ok && before[s.Name] == i {
			c.addRemoved(ServiceRemoved, serviceItem(i, s), "service %q is removed", s.Name)
		}
	}
}

func (c *checker) compareService(item declared.Item, a, b *declared.Service) {
	if a.HealthPath != b.HealthPath {
		c.add(ServiceChanged, item, declared.FieldHealthPath, "the health checks of service %q use path %q from now on, not %q", b.Name, b.HealthPath, a.HealthPath)
	}
	if !reflect.DeepEqual(a.Engine, b.Engine) {
		c.add(ServiceChanged, item, declared.FieldEngine, "the targets of service %q are %s from now on, not %s", b.Name, engineText(b.Engine), engineText(a.Engine))
	}
	connections := func(s *declared.Service) []limit {
		return []limit{{declared.FieldMaxConnections, int64(s.MaxConnections), formatCount}}
	}
	c.compareLimits(item, fmt.Sprintf("service %q", b.Name), connections(a), connections(b))
}

func engineText(e *declared.Engine) string {
	if e == nil {
		return "not engines"
	}
	backups := "no backups"
	if e.BacksUpKVCache {
		backups = "backups"
	}
	return fmt.Sprintf("engines with %d slots, %d tokens of KV cache and %s", e.Slots, e.KVCapacityTokens, backups)
}

// holder is a team that holds a key.
type holder struct {
	team int
	// number is the position of the key in the team's list, from 1. Findings name keys by it, as
	// keys are secret.
	number int
}

func holders(c *declared.Configuration) map[string]holder {
	byKey := make(map[string]holder, len(c.Teams))
	for i, t := range c.Teams {
		for j, key := range t.Keys {
			byKey[key] = holder{i, j + 1}
		}
	}
	return byKey
}

func (c *checker) compareTeams(oldConfig, newConfig *declared.Configuration) {
	before, after := make(map[string]int, len(oldConfig.Teams)), make(map[string]int, len(newConfig.Teams))
	for i := range oldConfig.Teams {
		before[oldConfig.Teams[i].Name] = i
	}
	for i := range newConfig.Teams {
		after[newConfig.Teams[i].Name] = i
	}
	for i := range newConfig.Teams {
		t := &newConfig.Teams[i]
		j, ok := before[t.Name]
		switch {
		case !ok:
			c.add(TeamAdded, teamItem(i, t), declared.FieldName, "team %q is added", t.Name)
		case !reflect.DeepEqual(oldConfig.Teams[j].Priority, t.Priority):
			c.add(PriorityChanged, teamItem(i, t), declared.FieldPriority, "team %q has %s from now on, not %s", t.Name, priorityText(t.Priority), priorityText(oldConfig.Teams[j].Priority))
		}
	}
	for i := range oldConfig.Teams {
		t := &oldConfig.Teams[i]
		if _, ok := after[t.Name]; !ok {
			c.addRemoved(TeamRemoved, teamItem(i, t), "team %q is removed", t.Name)
		}
	}
	c.compareKeys(oldConfig, newConfig)
}

func priorityText(p *int) string {
	if p == nil {
		return "the priority of the route"
	}
	return fmt.Sprintf("priority %d", *p)
}

func (c *checker) compareKeys(oldConfig, newConfig *declared.Configuration) {
	before, after := holders(oldConfig), holders(newConfig)
	for i := range newConfig.Teams {
		t := &newConfig.Teams[i]
		for j, key := range t.Keys {
			if after[key] != (holder{i, j + 1}) {
				continue // listed again later
			}
			old, ok := before[key]
			switch {
			case !ok:
				c.add(KeyAdded, teamItem(i, t), declared.FieldKeys, "key %d of team %q is added", j+1, t.Name)
			case oldConfig.Teams[old.team].Name != t.Name:
				c.add(KeyMoved, teamItem(i, t), declared.FieldKeys, "key %d of team %q belongs to team %q from now on", old.number, oldConfig.Teams[old.team].Name, t.Name)
			}
		}
	}
	for i := range oldConfig.Teams {
		t := &oldConfig.Teams[i]
		for j, key := range t.Keys {
			if _, ok := after[key]; !ok && before[key] == (holder{i, j + 1}) {
				c.addRemoved(KeyRemoved, teamItem(i, t), "key %d of team %q stops working", j+1, t.Name)
			}
		}
	}
}
