package declared

import (
	"fmt"
	"iter"
	"strings"
)

// Validate checks that c is consistent. It returns an error of the kind PlanRejected for
// the first invalid item.
func (c *Configuration) Validate() error {
	for p := range c.Problems() {
		return p.Err()
	}
	return nil
}

// Problems returns all reasons for which Validate rejects c. They are found one at a time, so
// that a caller that stops at the first one doesn't pay for the others.
func (c *Configuration) Problems() iter.Seq[Problem] {
	return func(yield func(Problem) bool) {
		_ = c.checkVersion(yield) && c.checkServices(yield) && c.checkRoutes(yield) && c.checkKeys(yield)
	}
}

// Each of the methods below passes the problems that it finds to yield. It returns false when
// yield does.

func (c *Configuration) checkVersion(yield func(Problem) bool) bool {
	return c.Version != 0 || yield(NoVersion())
}

// NoVersion returns the problem of a configuration without a version.
func NoVersion() Problem {
	return Problem{Kind: ProblemNoVersion, Field: FieldVersion, Message: "the configuration has no version"}
}

func (c *Configuration) checkServices(yield func(Problem) bool) bool {
	for i, s := range c.Services {
		if s.Name != "" {
			continue
		}
		p := Problem{Kind: ProblemUnnamedService, Item: Item{SectionServices, i, ""}, Field: FieldName, Message: "a service has no name"}
		if !yield(p) {
			return false
		}
	}
	return true
}

func (c *Configuration) checkRoutes(yield func(Problem) bool) bool {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name != "" {
			services[s.Name] = true
		}
	}
	type hostPrefix struct{ host, prefix string }
	names := make(map[hostPrefix]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		key := hostPrefix{strings.ToLower(r.Host), r.PathPrefix}
		if other, ok := names[key]; !ok {
			names[key] = r.Name
		} else if !yield(r.problem(i, ProblemDuplicateRoute, FieldPathPrefix, "routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.PathPrefix)) {
			return false
		}
		if !r.check(i, services, yield) {
			return false
		}
	}
	return true
}

func (r *Route) problem(index int, kind ProblemKind, field Field, format string, args ...any) Problem {
	return Problem{Kind: kind, Item: Item{SectionRoutes, index, r.Name}, Field: field, Message: fmt.Sprintf(format, args...)}
}

func (r *Route) check(index int, services map[string]bool, yield func(Problem) bool) bool {
	if r.Timeout <= 0 && !yield(r.problem(index, ProblemNoTimeout, FieldTimeout, "route %q has no timeout", r.Name)) {
		return false
	}
	if (!strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/")) &&
		!yield(r.problem(index, ProblemInvalidPrefix, FieldPathPrefix, "prefix %q of route %q doesn't begin and end with a slash", r.PathPrefix, r.Name)) {
		return false
	}
	total := uint64(0)
	for _, s := range r.Services {
		if !services[s.Service] &&
			!yield(r.problem(index, ProblemUnknownService, FieldServices, "route %q names the unknown service %q", r.Name, s.Service)) {
			return false
		}
		total += s.Weight
	}
	return total != 0 || yield(r.problem(index, ProblemNoWeight, FieldServices, "the weights of route %q add up to 0", r.Name))
}

func (c *Configuration) checkKeys(yield func(Problem) bool) bool {
	teams := make(map[string]string, len(c.Teams))
	for i, t := range c.Teams {
		for _, key := range t.Keys {
			other, ok := teams[key]
			if !ok {
				teams[key] = t.Name
				continue
			}
			if other == t.Name {
				continue
			}
			p := Problem{Kind: ProblemSharedKey, Item: Item{SectionTeams, i, t.Name}, Field: FieldKeys, Message: fmt.Sprintf("teams %q and %q share a key", other, t.Name)}
			if !yield(p) {
				return false
			}
		}
	}
	return true
}
