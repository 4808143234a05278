// Package request defines the interfaces of request processing: admission, the choice
// of version and target, retry budgets, and the recording of observations. The
// subpackages implement them.
package request

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Work describes one request for admission and routing.
type Work struct {
	ID       string
	Team     string
	Route    *chicoryv1.Route
	Version  string
	Priority chicoryv1.Priority
	Deadline time.Time
	// Tokens is the maximum number of tokens, of prompt and output, that the request
	// may use of its team's token limit. It is 0 for calls.
	Tokens int
	// PrefixHash identifies the prompt prefix for cache affinity; 0 means none.
	PrefixHash uint64
	// Repeat means that the request may have run or runs elsewhere. It gets no permit of a
	// target that limits its requests.
	Repeat bool
	// Reserved is the address of the target that the request has a permit for, or empty.
	Reserved string
}

// RateLimits keeps the requests to each target within the rate that the target names.
type RateLimits interface {
	// IsLimited reports whether requests to the target at address need a permit.
	IsLimited(address string) bool
	// HasRoom reports whether Take would return true.
	HasRoom(address string) bool
	// Take reports whether a request may be sent to the target at address now, and uses a
	// permit if one is needed.
	Take(address string) bool
	// Return gives back a permit that was not used.
	Return(address string)
}

// Unlimited implements RateLimits for targets that name no limits.
type Unlimited struct{}

// IsLimited implements RateLimits.
func (Unlimited) IsLimited(string) bool { return false }

// HasRoom implements RateLimits.
func (Unlimited) HasRoom(string) bool { return true }

// Take implements RateLimits.
func (Unlimited) Take(string) bool { return true }

// Return implements RateLimits.
func (Unlimited) Return(string) {}

// Admitter decides whether a request may start now.
type Admitter interface {
	// Admit blocks until the request may start, at most until its deadline. An error
	// has one of the kinds TeamLimit, Overloaded, DeadlineNotRun, Draining or
	// Cancelled, and means that the request has not run. The caller must call release
	// once, with the number of tokens used.
	Admit(ctx context.Context, w Work) (release func(tokensUsed int), err error)
}

// VersionChooser splits new requests of a route between versions.
type VersionChooser interface {
	// Choose returns the version for a new request. It returns the same version for
	// the same request ID as long as the shares are unchanged.
	Choose(route *chicoryv1.Route, requestID string) string
}

// Result is the outcome of a placement. Pickers use it to assess the target's health.
type Result int

// The results.
const (
	// ResultSuccess means that the target responded.
	ResultSuccess Result = iota
	// ResultError means that the target responded with an error or violated the
	// protocol.
	ResultError
	// ResultSilent means that the target sent no data for longer than expected.
	ResultSilent
	// ResultReset means that the connection was broken or could not be established.
	ResultReset
	// ResultReplaced means that another start of a target than the listed one responded at its
	// address.
	ResultReplaced
	// ResultAbandoned means that the attempt ended for a reason unrelated to the target.
	ResultAbandoned
	// ResultUnreached means that this VM's path to the target failed, and not the target.
	ResultUnreached
)

// Placement is a target chosen for one attempt.
type Placement struct {
	Target *chicoryv1.Target
	// Done must be called once when the attempt has ended. latency is the time to the
	// first token of a generation or to the response of a call; 0 when there was none.
	Done func(r Result, latency time.Duration)
}

// Picker chooses targets.
type Picker interface {
	// Pick returns a target of the work's service and version whose address is not in
	// exclude. An error has the kind NoTarget, or Overloaded if the targets that are left
	// limit their requests and there is no permit for any of them.
	Pick(w Work, exclude []string) (Placement, error)
}

// RetryKind is the reason for a further attempt.
type RetryKind int

// The kinds of further attempts.
const (
	// RetryCall repeats a failed call.
	RetryCall RetryKind = iota
	// HedgeCall sends a call to a second target while the first attempt is running.
	HedgeCall
	// ResumeGeneration continues an interrupted generation.
	ResumeGeneration
	// ResumeFromCopy continues one on an engine that keeps a copy of its memory for some seconds. Later,
	// the prompt is processed again.
	ResumeFromCopy
	// ResumeDeferrable continues one that costs its caller less by waiting than others would theirs.
	ResumeDeferrable
)

// IsResume reports whether the kind continues a generation.
func (k RetryKind) IsResume() bool { return k >= ResumeGeneration }

// RetryBudget limits further attempts to a fraction of the first attempts, so that
// retries don't amplify an outage.
type RetryBudget interface {
	// OnRequest counts a first attempt.
	OnRequest()
	// Allow takes one further attempt from the budget. When ok is false, wait is the
	// time after which the caller should ask again. Resumes are delayed but never
	// refused permanently, because a generation represents minutes of work.
	Allow(kind RetryKind) (ok bool, wait time.Duration)
}

// Observation describes the outcome of one finished attempt on a version.
type Observation struct {
	Route            string
	Version          string
	Team             string
	AvailabilityZone string
	// Error reports that the target failed the request.
	Error bool
	// Crossed reports that the target's response had the identity of another request.
	Crossed bool
	// Resumed reports that the generation had to be resumed on another target because
	// of a fault of this version's target.
	Resumed bool
	// FirstToken is the time to the first token and MeanGap the mean time between
	// tokens of a generation; both are 0 for calls. CallLatency is 0 for generations.
	FirstToken  time.Duration
	MeanGap     time.Duration
	CallLatency time.Duration
	// HighLoad reports that the target's load was above half of its capacity.
	HighLoad bool
}

// Recorder collects observations as evidence about versions. Record never blocks.
type Recorder interface {
	Record(o Observation)
}
