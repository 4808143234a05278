package declared

import (
	"strings"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Validate checks that c is consistent. It returns an error of the kind PlanRejected for
// the first invalid item.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return fault.New(fault.PlanRejected, "the configuration has no version")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			return fault.New(fault.PlanRejected, "a service has no name")
		}
		services[s.Name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateKeys()
}

func (c *Configuration) validateRoutes(services map[string]bool) error {
	type hostPrefix struct{ host, prefix string }
	names := map[hostPrefix]string{}
	for _, r := range c.Routes {
		key := hostPrefix{strings.ToLower(r.Host), r.PathPrefix}
		if other, ok := names[key]; ok {
			return fault.New(fault.PlanRejected, "routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.PathPrefix)
		}
		names[key] = r.Name
		if err := r.validate(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return fault.New(fault.PlanRejected, "route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fault.New(fault.PlanRejected, "prefix %q of route %q doesn't begin and end with a slash", r.PathPrefix, r.Name)
	}
	total := uint64(0)
	for _, s := range r.Services {
		if !services[s.Service] {
			return fault.New(fault.PlanRejected, "route %q names the unknown service %q", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return fault.New(fault.PlanRejected, "the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (c *Configuration) validateKeys() error {
	teams := map[string]string{}
	for _, t := range c.Teams {
		for _, key := range t.Keys {
			if other, ok := teams[key]; ok && other != t.Name {
				return fault.New(fault.PlanRejected, "teams %q and %q share a key", other, t.Name)
			}
			teams[key] = t.Name
		}
	}
	return nil
}
