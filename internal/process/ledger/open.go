package ledger

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// RouterIncarnation identifies one incarnation of a router.
type RouterIncarnation struct {
	RouterID    string
	Incarnation string
}

// RoutersWithOpenClaims returns the router incarnations that hold open claims, in no
// particular order.
func (l *Ledger) RoutersWithOpenClaims() []RouterIncarnation {
	out := make([]RouterIncarnation, 0, len(l.openByRouter))
	for router := range l.openByRouter {
		out = append(out, RouterIncarnation{RouterID: router.id, Incarnation: router.incarnation})
	}
	return out
}

// IsInDoubt reports whether the key has a claim in doubt.
func (l *Ledger) IsInDoubt(team, key string) bool {
	e := l.entries[entryIDOf(&chicoryv1.Claim{Team: team, Key: key})]
	return e != nil && e.claim.GetState() == chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
}
