package declared

import (
	"slices"
	"strings"
)

// View is a configuration, indexed. It is immutable.
type View struct {
	configuration *Configuration
	// byHost has the routes of a host, the longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Team
}

// NewView indexes c, which must be valid and not be changed afterwards.
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
	return v
}

// Version returns the operator's version.
func (v *View) Version() uint64 { return v.configuration.Version }

// Configuration returns what the view was made from, which must not be changed.
func (v *View) Configuration() *Configuration { return v.configuration }

// Route returns the route of the host (without a port) whose prefix is the longest
// that begins path, or nil.
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

// TeamOf returns the team that holds the key, or nil.
func (v *View) TeamOf(key string) *Team { return v.byKey[key] }

// HasTeams reports whether requests need a key at all.
func (v *View) HasTeams() bool { return len(v.configuration.Teams) > 0 }

// Choose returns the service for a request by a number drawn uniformly.
func (r *Route) Choose(drawn uint64) string {
	total := uint64(0)
	for _, s := range r.Services {
		total += s.Weight
	}
	at := drawn % max(total, 1)
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
