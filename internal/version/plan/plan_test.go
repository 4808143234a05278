package plan

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// model is the reference model of a configuration: maps by name.
type model struct {
	services map[string]bool
	routes   map[string][2]string // service, version
	targets  map[string][2]string // service, version
	teams    map[string]bool
	moves    map[string][2]string // from, to, by route
}

func newModel() *model {
	return &model{map[string]bool{}, map[string][2]string{}, map[string][2]string{}, map[string]bool{}, map[string][2]string{}}
}

func (n *model) clone() *model {
	return &model{maps.Clone(n.services), maps.Clone(n.routes), maps.Clone(n.targets), maps.Clone(n.teams), maps.Clone(n.moves)}
}

// apply applies one change and reports whether it is accepted.
func (n *model) apply(c *chicoryv1.Change) bool {
	switch x := c.GetChange().(type) {
	case *chicoryv1.Change_PutService:
		n.services[x.PutService.GetName()] = true
	case *chicoryv1.Change_PutTeam:
		n.teams[x.PutTeam.GetName()] = true
	case *chicoryv1.Change_PutTarget:
		n.targets[x.PutTarget.GetAddress()] = [2]string{x.PutTarget.GetService(), x.PutTarget.GetVersion()}
	case *chicoryv1.Change_PutRoute:
		r := x.PutRoute
		if _, open := n.moves[r.GetName()]; open && n.routes[r.GetName()][0] != r.GetService() {
			return false
		}
		n.routes[r.GetName()] = [2]string{r.GetService(), r.GetVersion()}
	case *chicoryv1.Change_RemoveService:
		return remove(n.services, x.RemoveService)
	case *chicoryv1.Change_RemoveTeam:
		return remove(n.teams, x.RemoveTeam)
	case *chicoryv1.Change_RemoveTarget:
		return remove(n.targets, x.RemoveTarget)
	case *chicoryv1.Change_RemoveRoute:
		_, open := n.moves[x.RemoveRoute]
		return !open && remove(n.routes, x.RemoveRoute)
	case *chicoryv1.Change_StartMove:
		return n.startMove(x.StartMove)
	}
	return true
}

func remove[V any](m map[string]V, name string) bool {
	_, ok := m[name]
	delete(m, name)
	return ok
}

func (n *model) startMove(in *chicoryv1.MoveIntent) bool {
	r, ok := n.routes[in.GetRoute()]
	_, open := n.moves[in.GetRoute()]
	hasTarget := slices.Contains(slices.Collect(maps.Values(n.targets)), [2]string{r[0], in.GetTo()})
	if !ok || open || !hasTarget || r[1] != in.GetFrom() || in.GetFrom() == in.GetTo() {
		return false
	}
	n.moves[in.GetRoute()] = [2]string{in.GetFrom(), in.GetTo()}
	return true
}

// hasValidReferences reports whether all references resolve, and whether every open move
// starts from the version of its route.
func (n *model) hasValidReferences() bool {
	for _, r := range n.routes {
		if !n.services[r[0]] {
			return false
		}
	}
	for _, t := range n.targets {
		if !n.services[t[0]] {
			return false
		}
	}
	for route, m := range n.moves {
		if n.routes[route][1] != m[0] {
			return false
		}
	}
	return true
}

// modelOf returns the model of a configuration.
func modelOf(v *config.View) *model {
	n := newModel()
	for _, s := range v.Raw().GetServices() {
		n.services[s.GetName()] = true
	}
	for _, r := range v.Raw().GetRoutes() {
		n.routes[r.GetName()] = [2]string{r.GetService(), r.GetVersion()}
	}
	for _, t := range v.Raw().GetTargets() {
		n.targets[t.GetAddress()] = [2]string{t.GetService(), t.GetVersion()}
	}
	for _, t := range v.Raw().GetTeams() {
		n.teams[t.GetName()] = true
	}
	for _, m := range v.Raw().GetMoves() {
		n.moves[m.GetIntent().GetRoute()] = [2]string{m.GetIntent().GetFrom(), m.GetIntent().GetTo()}
	}
	return n
}

func route(name, service, version string) *chicoryv1.Change {
	return &chicoryv1.Change{Change: &chicoryv1.Change_PutRoute{PutRoute: &chicoryv1.Route{Name: name, Service: service, Version: version}}}
}

func target(i int, service, version string) *chicoryv1.Change {
	return &chicoryv1.Change{Change: &chicoryv1.Change_PutTarget{PutTarget: &chicoryv1.Target{
		Address: fmt.Sprintf("10.0.0.%d:80", i), Service: service, Version: version, AvailabilityZone: "a",
	}}}
}

func service(name string) *chicoryv1.Change {
	return &chicoryv1.Change{Change: &chicoryv1.Change_PutService{PutService: &chicoryv1.Service{
		Name: name, Kind: chicoryv1.ServiceKind_SERVICE_KIND_TRANSACTIONAL,
	}}}
}

func startMove(name, from, to string) *chicoryv1.Change {
	return &chicoryv1.Change{Change: &chicoryv1.Change_StartMove{StartMove: &chicoryv1.MoveIntent{
		Route: name, From: from, To: to, StartUnixMs: now.UnixMilli(), DeadlineUnixMs: now.Add(time.Hour).UnixMilli(),
	}}}
}

func genChange(t *rapid.T) *chicoryv1.Change {
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	s := rapid.SampledFrom([]string{"s", "s", "u"}).Draw(t, "service")
	v := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	i := rapid.IntRange(1, 3).Draw(t, "address")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return service(s)
	case 1, 2:
		return route(name, s, v)
	case 3:
		return target(i, s, v)
	case 4:
		return &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: &chicoryv1.Team{Name: name}}}
	case 5:
		return &chicoryv1.Change{Change: &chicoryv1.Change_RemoveService{RemoveService: s}}
	case 6:
		return &chicoryv1.Change{Change: &chicoryv1.Change_RemoveRoute{RemoveRoute: name}}
	case 7:
		return &chicoryv1.Change{Change: &chicoryv1.Change_RemoveTarget{RemoveTarget: fmt.Sprintf("10.0.0.%d:80", i)}}
	}
	return startMove(name, "v1", "v2")
}

func baseView(t assert.TestingT) *config.View {
	out, err := Apply(Input{Base: config.NewView(&chicoryv1.Configuration{Revision: 1}), Now: now}, []*chicoryv1.Change{
		service("s"), service("u"), route("x", "s", "v1"), target(1, "s", "v1"), target(2, "s", "v2"),
	})
	assert.NilError(t, err)
	return out.Next
}

// apply calls Apply with a move ID derived from the number of open moves, in place of the
// index of the log entry.
func apply(v *config.View, changes []*chicoryv1.Change) (*Outcome, error) {
	return Apply(Input{Base: v, Now: now, MoveID: fmt.Sprint("m", len(v.Raw().GetMoves()))}, changes)
}

// Lists of changes have the same result as in the model, and are applied completely or
// not at all.
func TestApplyMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := baseView(t)
		n := modelOf(v)
		for range rapid.IntRange(1, 8).Draw(t, "plans") {
			changes := rapid.SliceOfN(rapid.Custom(genChange), 1, 3).Draw(t, "changes")
			next, accepted := n.clone(), true
			for _, c := range changes {
				accepted = accepted && next.apply(c)
			}
			accepted = accepted && next.hasValidReferences()
			out, err := apply(v, changes)
			assert.Equal(t, err == nil, accepted, "%v", err)
			if accepted {
				v, n = out.Next, next
			}
			assert.Assert(t, reflect.DeepEqual(modelOf(v), n), "%v is not %v", modelOf(v), n)
		}
	})
}

// Changes by another operator to items that a plan did not read must not alter the effects
// of the plan; they may only cause it to be rejected.
func TestReadsCoverWhatTheOutcomeDependsOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := baseView(t)
		changeLists := rapid.SliceOfN(rapid.Custom(genChange), 1, 3)
		planned := changeLists.Draw(t, "planned")
		first, err := apply(v, planned)
		if err != nil {
			return
		}
		other, err := apply(v, changeLists.Draw(t, "other"))
		if err != nil || slices.ContainsFunc(other.Touched, func(i Item) bool { return slices.Contains(first.Reads, i) }) {
			return
		}
		second, err := apply(other.Next, planned)
		if err != nil {
			return
		}
		assert.DeepEqual(t, second.Effects, first.Effects)
		before, after := modelOf(other.Next), modelOf(second.Next)
		for name, m := range after.moves {
			moved := before.moves[name] == m && before.routes[name][0] != after.routes[name][0]
			assert.Assert(t, !moved, "route %s changed its service during its open move", name)
		}
	})
}

// A route must keep its service, version and idempotence, and must not be removed, while
// it has an open move that was planned with them.
func TestRouteWithOpenMoveRejectsIncompatibleChanges(t *testing.T) {
	out, err := apply(baseView(t), []*chicoryv1.Change{startMove("x", "v1", "v2")})
	assert.NilError(t, err)
	nonIdempotent := route("x", "s", "v1")
	nonIdempotent.GetPutRoute().NonIdempotent = true
	removal := &chicoryv1.Change{Change: &chicoryv1.Change_RemoveRoute{RemoveRoute: "x"}}
	for _, changes := range [][]*chicoryv1.Change{
		{route("x", "u", "v1")}, {route("x", "s", "v2")}, {nonIdempotent}, {removal}, {removal, route("x", "u", "v1")},
	} {
		_, err := apply(out.Next, changes)
		assert.Assert(t, fault.Is(err, fault.PlanRejected), "%v: %v", changes, err)
	}
	_, err = apply(out.Next, []*chicoryv1.Change{route("x", "s", "v1")})
	assert.NilError(t, err)
}

// A digest that no key can have would reject all requests of the team.
func TestKeyDigestIsValidated(t *testing.T) {
	for digest, accepted := range map[string]bool{
		"": true, strings.Repeat("0a", 32): true, strings.Repeat("0A", 32): false, "our-key": false, strings.Repeat("0a", 31): false,
	} {
		team := &chicoryv1.Team{Name: "x", KeyDigest: digest}
		_, err := apply(baseView(t), []*chicoryv1.Change{{Change: &chicoryv1.Change_PutTeam{PutTeam: team}}})
		assert.Equal(t, err == nil, accepted, digest)
	}
}
