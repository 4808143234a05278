package plan

import (
	"strings"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// changeVerb returns "change" for an existing item and "add" for a new one.
func changeVerb(exists bool) string {
	if exists {
		return "change"
	}
	return "add"
}

func (b *builder) putService(s *chicoryv1.Service) error {
	b.addTouched(ServiceItem(s.GetName()))
	b.addEffect("%s service %s (%s)", changeVerb(b.view.Service(s.GetName()) != nil), s.GetName(), serviceKindName(s.GetKind()))
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Services: []*chicoryv1.Service{s}}})
	return nil
}

func serviceKindName(k chicoryv1.ServiceKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "SERVICE_KIND_"))
}

func (b *builder) putRoute(r *chicoryv1.Route) error {
	b.addTouched(RouteItem(r.GetName()))
	b.addReads(ServiceItem(r.GetService()))
	old := b.view.Route(r.GetName())
	if m := b.view.Move(r.GetName()); m != nil && !compatibleWithMove(old, r) {
		return fault.New(fault.PlanRejected, "route %s has the open move %s, which was planned for its service and kind of calls",
			r.GetName(), m.GetId())
	}
	b.addEffect("%s route %s: service %s, version %s", changeVerb(old != nil), r.GetName(), r.GetService(), r.GetVersion())
	if old != nil && old.GetVersion() != r.GetVersion() {
		b.addEffect("route %s goes from version %s to %s at once, without a move", r.GetName(), old.GetVersion(), r.GetVersion())
		b.addWarning("nothing proves version %s first; a move would", r.GetVersion())
	}
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Routes: []*chicoryv1.Route{r}}})
	return nil
}

// compatibleWithMove reports whether a change to a route keeps what its open move relies
// on: the move's targets belong to the service, and its maximum share depends on whether
// calls are idempotent.
func compatibleWithMove(old, next *chicoryv1.Route) bool {
	return old.GetService() == next.GetService() && old.GetNonIdempotent() == next.GetNonIdempotent()
}

// warnAboutRoutesWithoutTargets adds a warning for each changed route that has no target
// after all changes.
func (b *builder) warnAboutRoutesWithoutTargets() {
	for _, item := range b.out.Touched {
		name, ok := strings.CutPrefix(string(item), string(RouteItem("")))
		r := b.view.Route(name)
		if ok && r != nil && !b.hasTarget(r.GetService(), r.GetVersion()) {
			b.addWarning("route %s has no target of version %s: its requests are refused", name, r.GetVersion())
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
	b.addTouched(TargetItem(t.GetAddress()))
	b.addReads(ServiceItem(t.GetService()))
	b.addEffect("%s target %s: service %s, version %s, availability zone %s",
		changeVerb(b.view.Target(t.GetAddress()) != nil), t.GetAddress(), t.GetService(), t.GetVersion(), t.GetAvailabilityZone())
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Targets: []*chicoryv1.Target{t}}})
	return nil
}

func (b *builder) putTeam(t *chicoryv1.Team) error {
	b.addTouched(TeamItem(t.GetName()))
	b.addEffect("%s team %s: %d tokens/s, %d concurrent generations, %d calls/s (0 is no limit)",
		changeVerb(b.view.Team(t.GetName()) != nil), t.GetName(), t.GetTokensPerSecond(), t.GetConcurrentGenerations(), t.GetCallsPerSecond())
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Teams: []*chicoryv1.Team{t}}})
	return nil
}

func (b *builder) removeService(name string) error {
	if b.view.Service(name) == nil {
		return fault.New(fault.NotFound, "there is no service %q", name)
	}
	b.addTouched(ServiceItem(name))
	b.addEffect("remove service %s", name)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedServices: []string{name}})
	return nil
}

func (b *builder) removeRoute(name string) error {
	if b.view.Route(name) == nil {
		return fault.New(fault.NotFound, "there is no route %q", name)
	}
	b.addTouched(RouteItem(name))
	b.addReads(MoveItem(name))
	b.addEffect("remove route %s: its callers are refused", name)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedRoutes: []string{name}})
	return nil
}

func (b *builder) removeTarget(address string) error {
	t := b.view.Target(address)
	if t == nil {
		return fault.New(fault.NotFound, "there is no target %q", address)
	}
	b.addTouched(TargetItem(address))
	b.addEffect("remove target %s: it gets no new work; work in flight goes on", address)
	b.patch(&chicoryv1.ConfigurationDelta{RemovedTargets: []string{address}})
	if !b.hasTarget(t.GetService(), t.GetVersion()) {
		b.addWarning("no target of service %s, version %s is left", t.GetService(), t.GetVersion())
	}
	return nil
}

func (b *builder) removeTeam(name string) error {
	if b.view.Team(name) == nil {
		return fault.New(fault.NotFound, "there is no team %q", name)
	}
	b.addTouched(TeamItem(name))
	b.addEffect("remove team %s: its requests are refused", name)
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
	b.out.SettledClaims = append(b.out.SettledClaims, s)
	b.addEffect("settle claim %s of team %s: it %s; it is never dispatched again", s.GetKey(), s.GetTeam(), outcome)
	return nil
}
