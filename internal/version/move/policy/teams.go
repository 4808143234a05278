package policy

import "github.com/chicoryswitch/chicoryswitch/internal/version/evidence"

// groupCount is the number of groups of teams that are tested separately. The first
// teams get a group each, and further teams are added to these groups.
const groupCount = 12

// teamSlots assigns groups to teams in the order in which they first appear. A slot
// holds the hash of its group's first team plus one, or 0 if it is free.
type teamSlots [groupCount]float64

// group returns the group of a team. A new team gets a free group, or a group by its
// hash if there is none.
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

// groups returns the group of each stratum.
func (t *teamSlots) groups(strata []evidence.Stratum) []int {
	out := make([]int, len(strata))
	for i, x := range strata {
		out[i] = t.group(x.Team)
	}
	return out
}

// hashTeam returns the 32-bit FNV-1a hash of the team's name.
func hashTeam(team string) uint32 {
	h := uint32(2166136261)
	for i := range len(team) {
		h = (h ^ uint32(team[i])) * 16777619
	}
	return h
}
