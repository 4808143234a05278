// Package declared holds declarative configurations: an operator sends each one in full,
// under a version number that the operator assigns. They are served alongside the planned
// configurations of package config. Routes are matched by host and path, requests are
// forwarded unchanged, and teams are identified by their API keys.
package declared

import (
	"time"
)

// Configuration is one declared configuration. It must not be modified once a View of it
// exists.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// RetryPolicy determines whether a request of a route may run more than once.
type RetryPolicy int

// The retry policies.
const (
	// AtMostOnce means that a request must run at most once.
	AtMostOnce RetryPolicy = iota
	// Retryable means that a request may run more than once.
	Retryable
	// Resumable means that an event stream may be resumed at another target after the
	// last event received.
	Resumable
)

// Route routes the requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix  string
	RetryPolicy RetryPolicy
	// Stream means that the response is an event stream.
	Stream bool
	// Timeout is the maximum time to the answer.
	Timeout time.Duration
	// LatencyObjective is the target time to the answer or, for a stream, to the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest gap between two events that callers consider timely; 0
	// means unspecified.
	MaxEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// Public means that requests need no API key.
	Public bool
	// Services split the route's requests by weight. The sum of the weights is positive.
	Services []WeightedService
}

// WeightedService is a service of a route and its share of the requests.
type WeightedService struct {
	Service string
	Weight  uint64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all entry
	// VMs together.
	MaxConnections int
	// Engine is nil unless the targets are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one target runs at once; 0 means unspecified.
	Slots int
	// KVCapacityTokens is the capacity of the KV cache in tokens, which running requests and
	// cached prompt prefixes share.
	KVCapacityTokens int
	// BacksUpKVCache means that a target copies the KV cache of a running request to another
	// target as it grows.
	BacksUpKVCache bool
	// CopyLifetime is how long a copy is kept after its last part has arrived; 0 means unspecified.
	CopyLifetime time.Duration
}

// Team is a customer's group with its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}

// Limits are the limits on requests of callers. A zero value means unspecified.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
