// Package config provides configuration revisions in the form that routers use: an
// immutable, indexed view of one revision, and a holder that atomically replaces the
// current view by that of a later revision.
package config

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// View is an indexed configuration revision. It is immutable: callers must not modify the
// messages that it returns.
type View struct {
	raw      *chicoryv1.Configuration
	services map[string]*chicoryv1.Service
	routes   map[string]*chicoryv1.Route
	teams    map[string]*chicoryv1.Team
	targets  map[string]*chicoryv1.Target
	// targetsByService lists the targets of each service in the order of the configuration.
	targetsByService map[string][]*chicoryv1.Target
	// moveByRoute holds the open move of each route; a route has at most one.
	moveByRoute map[string]*chicoryv1.Move
}

// NewView returns a view of c, which must not be modified afterwards.
func NewView(c *chicoryv1.Configuration) *View {
	v := &View{
		raw:              c,
		services:         make(map[string]*chicoryv1.Service, len(c.GetServices())),
		routes:           make(map[string]*chicoryv1.Route, len(c.GetRoutes())),
		teams:            make(map[string]*chicoryv1.Team, len(c.GetTeams())),
		targets:          make(map[string]*chicoryv1.Target, len(c.GetTargets())),
		targetsByService: make(map[string][]*chicoryv1.Target),
		moveByRoute:      make(map[string]*chicoryv1.Move, len(c.GetMoves())),
	}
	for _, s := range c.GetServices() {
		v.services[s.GetName()] = s
	}
	for _, r := range c.GetRoutes() {
		v.routes[r.GetName()] = r
	}
	for _, t := range c.GetTeams() {
		v.teams[t.GetName()] = t
	}
	for _, t := range c.GetTargets() {
		v.targets[t.GetAddress()] = t
		v.targetsByService[t.GetService()] = append(v.targetsByService[t.GetService()], t)
	}
	for _, m := range c.GetMoves() {
		v.moveByRoute[m.GetIntent().GetRoute()] = m
	}
	return v
}

// WithRevision returns a view of the same configuration with another revision number and
// cluster ID. It shares everything else with v.
func (v *View) WithRevision(revision uint64, clusterID string) *View {
	next := *v
	next.raw = &chicoryv1.Configuration{
		Revision:  revision,
		ClusterId: clusterID,
		Services:  v.raw.GetServices(),
		Routes:    v.raw.GetRoutes(),
		Targets:   v.raw.GetTargets(),
		Teams:     v.raw.GetTeams(),
		Moves:     v.raw.GetMoves(),
	}
	return &next
}

// Raw returns the underlying configuration.
func (v *View) Raw() *chicoryv1.Configuration { return v.raw }

// Revision returns the revision number.
func (v *View) Revision() uint64 { return v.raw.GetRevision() }

// Service returns the service with the name, or nil.
func (v *View) Service(name string) *chicoryv1.Service { return v.services[name] }

// Route returns the route with the name, or nil.
func (v *View) Route(name string) *chicoryv1.Route { return v.routes[name] }

// Team returns the team with the name, or nil.
func (v *View) Team(name string) *chicoryv1.Team { return v.teams[name] }

// Target returns the target with the address, or nil.
func (v *View) Target(address string) *chicoryv1.Target { return v.targets[address] }

// Targets returns the targets of a service, all versions.
func (v *View) Targets(service string) []*chicoryv1.Target { return v.targetsByService[service] }

// Move returns the open move of a route, or nil.
func (v *View) Move(route string) *chicoryv1.Move { return v.moveByRoute[route] }
