package policy

import "github.com/chicoryswitch/chicoryswitch/internal/version/evidence"

// groupCount is the number of teams that are judged on their own. Further teams
// share the groups of the first ones.
const groupCount = 12

// teamSlots gives teams their groups in the order in which they are first seen.
// A slot holds the hash of its team plus one, or 0.
type teamSlots [groupCount]float64

// group returns the team's group and takes a free one for a new team.
func (t *teamSlots) group(team string) int {
	h := hashTeam(team)
	for i, slot := range t {
		if slot == 0 {
			t[i] = float64(h) + 1
		}
		if t[i] == float64(h)+1 {
			return i
		}
	}
	return int(h % groupCount)
}

// groups returns the group of every stratum.
func (t *teamSlots) groups(strata []evidence.Stratum) []int {
	out := make([]int, len(strata))
	for i, x := range strata {
		out[i] = t.group(x.Team)
	}
	return out
}

// hashTeam is FNV-1a.
func hashTeam(team string) uint32 {
	h := uint32(2166136261)
	for i := range len(team) {
		h = (h ^ uint32(team[i])) * 16777619
	}
	return h
}
