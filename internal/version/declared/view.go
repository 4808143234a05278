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
	// highestPriority is that of the streams of each service.
	highestPriority map[string]int
}

// NewView returns a view of c, which must be valid and not be modified afterwards.
func NewView(c *Configuration) *View {
	v := &View{
		configuration: c,
		byHost:        map[string][]*Route{},
		services:      map[string]*Service{},
		byKey:         map[string]*Team{},
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
	v.highestPriority = highestPriorities(c)
	return v
}

// highestPriorities returns, for each service, the highest priority that its streams can have: that of a team
// or, for requests without one, that of the route. 0 is the highest.
func highestPriorities(c *Configuration) map[string]int {
	byRoute, teams := len(c.Teams) == 0, []int{}
	for _, t := range c.Teams {
		if t.Priority == nil {
			byRoute = true
		} else {
			teams = append(teams, *t.Priority)
		}
	}
	highest := map[string]int{}
	for _, r := range c.Routes {
		priorities := teams
		if byRoute || r.Public {
			priorities = append(slices.Clone(teams), r.Priority)
		}
		if !r.Stream || len(priorities) == 0 {
			continue
		}
		for _, s := range r.Services {
			if known, ok := highest[s.Service]; s.Weight > 0 && (!ok || slices.Min(priorities) < known) {
				highest[s.Service] = slices.Min(priorities)
			}
		}
	}
	return highest
}

// HighestPriority returns the highest priority of the streams of a service, which is the lowest number; 0 if it
// has none.
func (v *View) HighestPriority(service string) int { return v.highestPriority[service] }

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
