package ledger

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Claimant is one life of a router.
type Claimant struct {
	RouterID    string
	Incarnation string
}

// OpenClaimants returns the lives of routers that hold open claims, in no order.
func (l *Ledger) OpenClaimants() []Claimant {
	out := make([]Claimant, 0, len(l.open))
	for run := range l.open {
		out = append(out, Claimant{RouterID: run.id, Incarnation: run.incarnation})
	}
	return out
}

// IsInDoubt reports whether the key has a claim in doubt.
func (l *Ledger) IsInDoubt(team, key string) bool {
	e := l.entries[idOf(&chicoryv1.Claim{Team: team, Key: key})]
	return e != nil && e.claim.GetState() == chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
}
