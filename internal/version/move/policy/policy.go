// Package policy decides from evidence whether a new version is bad, proved good
// enough, or neither yet. Policies are stateless: what a policy needs from one update
// to the next is a list of numbers, which the caller stores in the replicated move.
package policy

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// Limits define how much worse than the old version a bad version is.
type Limits struct {
	// ErrorIncrease is the increase of the error rate, between 0 and 1.
	ErrorIncrease float64
	// LatencyFactor is the latency as a multiple of the old version's, above 1.
	LatencyFactor float64
}

// Input is the input of one update.
type Input struct {
	Now time.Time
	// Elapsed is the time since the previous update.
	Elapsed time.Duration
	// MoveAge is the time since the start of the move.
	MoveAge time.Duration
	// ProvingTime is the time that the schedule plans for the proof.
	ProvingTime time.Duration
	// ShareChanged is true for the first evidence since the traffic share changed.
	ShareChanged bool
	Limits       Limits
	// Strata is the evidence since the previous update.
	Strata []evidence.Stratum
	// Related is the evidence of idempotent routes of the same service that split
	// their requests between the same versions. Moves on routes with non-idempotent
	// calls use it because the traffic share of their new version is small.
	Related []evidence.Stratum
	// OldTotal is the old version's evidence since the start of the move.
	OldTotal *chicoryv1.VersionEvidence
}

// Verdict is the result of an update.
type Verdict struct {
	// Bad means that the new version is worse than the limits allow.
	Bad bool
	// Proved means that the evidence shows the new version to be within the limits.
	// Once true, it stays true.
	Proved bool
	// Hold means that the new version may be bad, so its share must not grow.
	Hold bool
	// Inconclusive means that the new version looks bad, but that there are too few
	// requests of the old version from the same period to rule out a fault common to both.
	Inconclusive bool
	// Reason explains the verdict, with the numbers behind it.
	Reason string
}

// Policy derives verdicts from evidence.
type Policy interface {
	Name() string
	// Update returns the new state, which the next update must get, and the verdict.
	// It starts from the initial state if the given one is empty or of another policy.
	Update(state []float64, in Input) ([]float64, Verdict)
}
