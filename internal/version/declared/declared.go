// Package declared holds configurations that an operator sends whole, under
// versions of the operator's own. They are served next to the planned
// configurations of package config: routes are found by host and path, requests
// are passed on as they are, and teams are known by their keys.
package declared

import (
	"time"
)

// Configuration is one declared configuration. It is not changed once it is in a
// View.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Repetition says how often a request of a route may run.
type Repetition int

// The kinds of repetition.
const (
	// Once: a request runs at most once.
	Once Repetition = iota
	// Repeatable: a request may run more than once.
	Repeatable
	// Resumable: a stream of events may go on at another target after its last event.
	Resumable
)

// Route leads requests of a host, under a path, to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Repetition Repetition
	// Stream: the answer is a series of events.
	Stream bool
	// Timeout is the longest time to an answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer or the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between two events that callers take as on
	// time; 0 means none is stated.
	MaxEventGap time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Services share the route's requests by their weights, which add up to more than 0.
	Services []WeightedService
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service string
	Weight  uint64
}

// Service is a set of targets that serve the same thing.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one target accepts from all entry VMs together.
	MaxConnections int
	// Engine is nil for services that are no model engines.
	Engine *Engine
}

// Engine describes the targets of a model service.
type Engine struct {
	// MemoryTokens is what running requests and cached prompt parts share.
	MemoryTokens int
	// KeepsBackups: a target sends the memory of a run to another one as it grows.
	KeepsBackups bool
}

// Team is a customer's group with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides that of the route; nil means it doesn't.
	Priority *int
}

// Limits bound what callers may send. Zero values mean no limit is stated.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
