package declared

import (
	"slices"
	"strings"
)

// View is an indexed configuration. It is immutable.
type View struct {
	configuration *Configuration
	// byHost holds the routes of each host in lower case, the longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Team
	// mixedPriorities has the services with routes of different priorities.
	mixedPriorities map[string]bool
}

// NewView returns a view of c, which must be valid and not be modified afterwards.
func NewView(c *Configuration) *View {
	v := &View{
		configuration: c,
		byHost:        map[string][]*Route{},
		services:      map[string]*Service{},
		byKey:         map[string]*Team{},

		mixedPriorities: mixedPriorities(c),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		v.byHost[host] = append(v.byHost[host], r)
	}
	for _, routes := range v.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Services {
		v.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			v.byKey[key] = &c.Teams[i]
		}
	}
	return v
}

// mixedPriorities returns the services that get requests from routes of different priorities.
func mixedPriorities(c *Configuration) map[string]bool {
	mixed, first := map[string]bool{}, map[string]int{}
	for _, r := range c.Routes {
		for _, s := range r.Services {
			if s.Weight == 0 {
				continue
			}
			if priority, ok := first[s.Service]; !ok {
				first[s.Service] = r.Priority
			} else if priority != r.Priority {
				mixed[s.Service] = true
			}
		}
	}
	return mixed
}

// Version returns the version that the operator assigned.
func (v *View) Version() uint64 { return v.configuration.Version }

// Configuration returns the underlying configuration, which must not be modified.
func (v *View) Configuration() *Configuration { return v.configuration }

// Route returns the route with the longest prefix of path among those of host, or nil.
// host has no port.
func (v *View) Route(host, path string) *Route {
	for _, r := range v.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// HasMixedPriorities reports whether routes with different priorities send requests to the service.
func (v *View) HasMixedPriorities(service string) bool { return v.mixedPriorities[service] }

// TeamByKey returns the team with the API key, or nil.
func (v *View) TeamByKey(key string) *Team { return v.byKey[key] }

// HasTeams reports whether any team is configured. Without teams, no request needs an
// API key.
func (v *View) HasTeams() bool { return len(v.configuration.Teams) > 0 }

// ChooseService selects the service for a request by weight, given a uniformly distributed
// random number.
func (r *Route) ChooseService(random uint64) string {
	total := uint64(0)
	for _, s := range r.Services {
		total += s.Weight
	}
	remainder := random % max(total, 1)
	for _, s := range r.Services {
		if remainder < s.Weight {
			return s.Service
		}
		remainder -= s.Weight
	}
	return ""
}
