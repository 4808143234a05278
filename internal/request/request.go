// Package request holds what lives for one request and the roles that serve it:
// who admits it, who chooses its version and target, who allows a retry, and who
// records what was seen. The subpackages implement the roles.
package request

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Work describes one request to those who admit and place it.
type Work struct {
	ID       string
	Team     string
	Route    *chicoryv1.Route
	Version  string
	Priority chicoryv1.Priority
	Deadline time.Time
	// Tokens is the most that the request may use of its team's token limit:
	// prompt and answer. It is 0 for calls.
	Tokens int
	// PrefixHash names the prompt prefix for cache affinity; 0 means none.
	PrefixHash uint64
}

// Admitter decides whether a request may start now.
type Admitter interface {
	// Admit waits at most until the work's deadline. An error is of the kinds
	// TeamLimit, Overloaded, DeadlineNotRun, Draining or Cancelled; nothing of the
	// request has run then. The caller must call release once, with the tokens used.
	Admit(ctx context.Context, w Work) (release func(tokensUsed int), err error)
}

// VersionChooser splits new requests of a route between versions.
type VersionChooser interface {
	// Choose returns the version for a new request. The same request identity gets
	// the same version while the shares are unchanged.
	Choose(route *chicoryv1.Route, requestID string) string
}

// Result says how a placement ended, for the picker's view of its target.
type Result int

// The results.
const (
	// ResultSuccess: the target answered.
	ResultSuccess Result = iota
	// ResultError: the target answered with an error or broke its protocol.
	ResultError
	// ResultSilent: the target sent nothing for longer than expected.
	ResultSilent
	// ResultReset: the connection was cut or could not be made.
	ResultReset
	// ResultAbandoned: the request ended for a reason that is not the target's.
	ResultAbandoned
)

// Placement is a target chosen for one attempt.
type Placement struct {
	Target *chicoryv1.Target
	// Done must be called once when the attempt has ended. latency is the time to
	// the first token or to the answer; 0 when there was none.
	Done func(r Result, latency time.Duration)
}

// Picker chooses targets.
type Picker interface {
	// Pick returns a target of the work's service and version that is not in
	// exclude (addresses). It fails with the kind NoTarget.
	Pick(w Work, exclude []string) (Placement, error)
}

// RetryKind tells why a request wants another attempt.
type RetryKind int

// The kinds of further attempts.
const (
	RetryCall RetryKind = iota
	HedgeCall
	ResumeGeneration
)

// RetryBudget bounds further attempts by a share of the first ones, so that an
// outage is not amplified.
type RetryBudget interface {
	// OnRequest counts a first attempt.
	OnRequest()
	// Allow takes one further attempt from the budget. When ok is false, wait is
	// the time after which asking again is useful. Resumes are paced, not refused
	// for good: a generation holds minutes of work.
	Allow(kind RetryKind) (ok bool, wait time.Duration)
}

// Observation is what one finished request showed of a version.
type Observation struct {
	Route            string
	Version          string
	Team             string
	AvailabilityZone string
	// Error: the target failed the request.
	Error bool
	// Crossed: the target answered with another request's identity.
	Crossed bool
	// Resumed: the attempt had to be resumed elsewhere because of this version's target.
	Resumed bool
	// FirstToken and MeanGap are 0 for calls; CallLatency is 0 for generations.
	FirstToken  time.Duration
	MeanGap     time.Duration
	CallLatency time.Duration
	// HighLoad: the target was above half of its capacity.
	HighLoad bool
}

// Recorder collects observations as evidence. It never blocks.
type Recorder interface {
	Record(o Observation)
}
