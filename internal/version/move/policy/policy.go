// Package policy decides from evidence whether a new version is bad, proved, or
// neither yet. A policy has no memory of its own: what it keeps between two
// updates is a list of numbers that the caller stores in the replicated move.
package policy

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// Limits say what counts as bad.
type Limits struct {
	// ErrorIncrease is the share of errors above the old version's, between 0 and 1.
	ErrorIncrease float64
	// LatencyFactor is the latency as a multiple of the old version's, above 1.
	LatencyFactor float64
}

// Input is what one update reads.
type Input struct {
	Now time.Time
	// Elapsed is the time since the update before.
	Elapsed time.Duration
	// MoveAge is the time since the new version got its first share.
	MoveAge time.Duration
	// ProvingTime is the time that the schedule keeps for proving.
	ProvingTime time.Duration
	// ShareChanged: this is the first evidence since the share changed.
	ShareChanged bool
	Limits       Limits
	// Strata is the evidence since the update before.
	Strata []evidence.Stratum
	// Related is the evidence of idempotent routes of the same service that split
	// their requests between the same versions; for moves of routes of
	// non-idempotent calls, whose share is small.
	Related []evidence.Stratum
	// OldTotal is the old version's evidence over the life of the move.
	OldTotal *chicoryv1.VersionEvidence
}

// Verdict is a policy's opinion after an update.
type Verdict struct {
	// Bad: the new version is worse than the limits allow.
	Bad bool
	// Proved: the evidence shows that it is not. It stays true once it was.
	Proved bool
	// Hold: there are signs of badness, so the share should not grow.
	Hold bool
	// Doubt: the new version looks bad, but too little was seen of the old one
	// over the same time to tell it from a common fault.
	Doubt bool
	// Reason says what the verdict rests on, with figures.
	Reason string
}

// Policy turns evidence into verdicts.
type Policy interface {
	Name() string
	// Update returns the state to keep and the verdict. A state that is empty or of
	// another policy starts anew.
	Update(state []float64, in Input) ([]float64, Verdict)
}
