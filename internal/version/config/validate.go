package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// maxMillipercent is 100 % in thousandths of a percent.
const maxMillipercent = 100_000

// Validate checks that a configuration is consistent. Errors have the kind PlanRejected
// and name the invalid item.
func Validate(v *View) error {
	c := v.Raw()
	for _, s := range c.GetServices() {
		if err := validateService(s); err != nil {
			return err
		}
	}
	for _, r := range c.GetRoutes() {
		if err := validateRoute(v, r); err != nil {
			return err
		}
	}
	for _, t := range c.GetTargets() {
		if err := validateTarget(v, t); err != nil {
			return err
		}
	}
	for _, t := range c.GetTeams() {
		if err := validateTeam(t); err != nil {
			return err
		}
	}
	return validateMoves(v, c.GetMoves())
}

func reject(format string, args ...any) error {
	return fault.New(fault.PlanRejected, format, args...)
}

func validateService(s *chicoryv1.Service) error {
	if s.GetName() == "" {
		return reject("a service has no name")
	}
	if s.GetKind() == chicoryv1.ServiceKind_SERVICE_KIND_UNSPECIFIED {
		return reject("service %s has no kind", s.GetName())
	}
	return nil
}

func validateRoute(v *View, r *chicoryv1.Route) error {
	if r.GetName() == "" {
		return reject("a route has no name")
	}
	if v.Service(r.GetService()) == nil {
		return reject("route %s names the unknown service %q", r.GetName(), r.GetService())
	}
	if r.GetVersion() == "" {
		return reject("route %s has no version", r.GetName())
	}
	o := r.GetObjectives()
	if o.GetAvailabilityMillipercent() > maxMillipercent || o.GetLatencyMillipercent() > maxMillipercent {
		return reject("route %s has an objective above 100 %%", r.GetName())
	}
	return nil
}

func validateTarget(v *View, t *chicoryv1.Target) error {
	if _, err := netip.ParseAddrPort(t.GetAddress()); err != nil {
		return reject("target %q is not IP:port", t.GetAddress())
	}
	if v.Service(t.GetService()) == nil {
		return reject("target %s names the unknown service %q", t.GetAddress(), t.GetService())
	}
	if t.GetVersion() == "" || t.GetAvailabilityZone() == "" {
		return reject("target %s needs a version and an availability zone", t.GetAddress())
	}
	return nil
}

// validateTeam also rejects a key digest that no key can have.
func validateTeam(t *chicoryv1.Team) error {
	if t.GetName() == "" {
		return reject("a team has no name")
	}
	d := t.GetKeyDigest()
	if b, err := hex.DecodeString(d); d != "" && (err != nil || hex.EncodeToString(b) != d || len(b) != sha256.Size) {
		return reject("team %s: the key digest must be a SHA-256 in lower-case hexadecimal digits", t.GetName())
	}
	return nil
}

func validateMoves(v *View, moves []*chicoryv1.Move) error {
	seen := map[string]bool{}
	for _, m := range moves {
		route := m.GetIntent().GetRoute()
		if seen[route] {
			return reject("route %s has two open moves", route)
		}
		seen[route] = true
		r := v.Route(route)
		if r == nil {
			return reject("move %s names the unknown route %q", m.GetId(), route)
		}
		if r.GetVersion() != m.GetIntent().GetFrom() {
			return reject("route %s is on version %s, its move starts from %s", route, r.GetVersion(), m.GetIntent().GetFrom())
		}
	}
	return nil
}
