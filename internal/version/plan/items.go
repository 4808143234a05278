package plan

import (
	"strings"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// verb says whether an item is new.
func verb(exists bool) string {
	if exists {
		return "change"
	}
	return "add"
}

func (b *builder) putService(s *chicoryv1.Service) error {
	b.touch(ServiceItem(s.GetName()))
	b.effect("%s service %s (%s)", verb(b.view.Service(s.GetName()) != nil), s.GetName(), kindName(s.GetKind()))
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Services: []*chicoryv1.Service{s}}})
	return nil
}

func kindName(k chicoryv1.ServiceKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "SERVICE_KIND_"))
}

func (b *builder) putRoute(r *chicoryv1.Route) error {
	b.touch(RouteItem(r.GetName()))
	b.read(ServiceItem(r.GetService()))
	old := b.view.Route(r.GetName())
	if m := b.view.Move(r.GetName()); m != nil && !fitsMove(old, r) {
		return fault.New(fault.PlanRejected, "route %s has the open move %s, which was planned for its service and kind of calls",
			r.GetName(), m.GetId())
	}
	b.effect("%s route %s: service %s, version %s", verb(old != nil), r.GetName(), r.GetService(), r.GetVersion())
	if old != nil && old.GetVersion() != r.GetVersion() {
		b.effect("route %s goes from version %s to %s at once, without a move", r.GetName(), old.GetVersion(), r.GetVersion())
		b.warn("nothing proves version %s first; a move would", r.GetVersion())
	}
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Routes: []*chicoryv1.Route{r}}})
	return nil
}

// fitsMove reports whether a route stays what its open move was planned for: the
// move's targets are of the service, and its largest share depends on idempotence.
func fitsMove(old, next *chicoryv1.Route) bool {
	return old.GetService() == next.GetService() && old.GetNonIdempotent() == next.GetNonIdempotent()
}

// warnOfEmptyRoutes names the changed routes that nothing serves once all
// changes are made.
func (b *builder) warnOfEmptyRoutes() {
	for _, item := range b.out.Touched {
		name, ok := strings.CutPrefix(string(item), string(RouteItem("")))
		r := b.view.Route(name)
		if ok && r != nil && !b.hasTarget(r.GetService(), r.GetVersion()) {
			b.warn("route %s has no target of version %s: its requests are refused", name, r.GetVersion())
		}
	}
}

func (b *builder) hasTarget(service, version string) bool {
	for _, t := range b.view.Targets(service) {
		if t.GetVersion() == version {
			return true
		}
	}
	return false
}

func (b *builder) putTarget(t *chicoryv1.Target) error {
	b.touch(TargetItem(t.GetAddress()))
	b.read(ServiceItem(t.GetService()))
	b.effect("%s target %s: service %s, version %s, availability zone %s",
		verb(b.view.Target(t.GetAddress()) != nil), t.GetAddress(), t.GetService(), t.GetVersion(), t.GetAvailabilityZone())
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Targets: []*chicoryv1.Target{t}}})
	return nil
}

func (b *builder) putTeam(t *chicoryv1.Team) error {
	b.touch(TeamItem(t.GetName()))
	b.effect("%s team %s: %d tokens/s, %d concurrent generations, %d calls/s (0 is no limit)",
		verb(b.view.Team(t.GetName()) != nil), t.GetName(), t.GetTokensPerSecond(), t.GetConcurrentGenerations(), t.GetCallsPerSecond())
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Teams: []*chicoryv1.Team{t}}})
	return nil
}

func (b *builder) removeService(name string) error {
	if b.view.Service(name) == nil {
		return fault.New(fault.NotFound, "there is no service %q", name)
	}
	b.touch(ServiceItem(name))
	b.effect("remove service %s", name)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedServices: []string{name}})
	return nil
}

func (b *builder) removeRoute(name string) error {
	if b.view.Route(name) == nil {
		return fault.New(fault.NotFound, "there is no route %q", name)
	}
	b.touch(RouteItem(name))
	b.read(MoveItem(name))
	b.effect("remove route %s: its callers are refused", name)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedRoutes: []string{name}})
	return nil
}

func (b *builder) removeTarget(address string) error {
	t := b.view.Target(address)
	if t == nil {
		return fault.New(fault.NotFound, "there is no target %q", address)
	}
	b.touch(TargetItem(address))
	b.effect("remove target %s: it gets no new work; work in flight goes on", address)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedTargets: []string{address}})
	if !b.hasTarget(t.GetService(), t.GetVersion()) {
		b.warn("no target of service %s, version %s is left", t.GetService(), t.GetVersion())
	}
	return nil
}

func (b *builder) removeTeam(name string) error {
	if b.view.Team(name) == nil {
		return fault.New(fault.NotFound, "there is no team %q", name)
	}
	b.touch(TeamItem(name))
	b.effect("remove team %s: its requests are refused", name)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedTeams: []string{name}})
	return nil
}

func (b *builder) settleClaim(s *chicoryv1.SettleClaim) error {
	if s.GetTeam() == "" || s.GetKey() == "" {
		return fault.New(fault.InvalidArgument, "settling a claim needs its team and key")
	}
	outcome := "did not run"
	if s.GetRan() {
		outcome = "ran"
	}
	b.out.Settled = append(b.out.Settled, s)
	b.effect("settle claim %s of team %s: it %s; it is never dispatched again", s.GetKey(), s.GetTeam(), outcome)
	return nil
}
