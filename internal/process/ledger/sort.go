package ledger

import (
	"cmp"
	"slices"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// sortedClaims returns the claims of entries, sorted by team and key.
func sortedClaims(entries map[entryID]*entry) []*chicoryv1.Claim {
	claims := make([]*chicoryv1.Claim, 0, len(entries))
	for _, e := range entries {
		claims = append(claims, e.claim)
	}
	slices.SortFunc(claims, func(a, b *chicoryv1.Claim) int {
		return cmp.Or(cmp.Compare(a.GetTeam(), b.GetTeam()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return claims
}
