package placement

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// choose returns the engine with the lowest score, outside of the zone awayFrom if
// that is given. Engines that were lost lately come last. The caller holds mu.
func (e *Engines) choose(w Want, awayFrom string, now time.Time) *engine {
	var eligible []*engine
	for _, x := range e.byService[w.Service] {
		if x.target.GetLeaving() || slices.Contains(w.Exclude, x.target.GetAddress()) {
			continue
		}
		if awayFrom != "" && (x.target.GetAvailabilityZone() == awayFrom || now.Before(x.avoidUntil)) {
			continue
		}
		eligible = append(eligible, x)
	}
	home := e.homeOf(w.Prompt, eligible, now)
	var best *engine
	lowest := 0.0
	for _, x := range eligible {
		score := e.score(x, awayFrom == "", now) + rand.Float64()*tieSpread
		switch {
		case e.places.has(w.Prompt, x.target, now):
			score -= e.settings.ReadWeight
		case x == home:
			score -= e.settings.AffinityWeight
		}
		if best == nil || score < lowest {
			best, lowest = x, score
		}
	}
	return best
}

// homeOf returns the engine that a prompt belongs to: the one with the highest hash
// of both. Entry VMs that know the same engines agree on it without telling each
// other, and only the prompts of an engine that is lost move.
func (e *Engines) homeOf(prompt string, engines []*engine, now time.Time) *engine {
	if prompt == "" {
		return nil
	}
	var home *engine
	highest := uint64(0)
	for _, x := range engines {
		if now.Before(x.avoidUntil) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(prompt))                // never fails
		_, _ = h.Write([]byte(x.target.GetAddress())) // never fails
		if sum := h.Sum64(); home == nil || sum > highest {
			home, highest = x, sum
		}
	}
	return home
}

const (
	// tieSpread lets entry VMs that see the same choose differently between engines
	// that are about equal.
	tieSpread = 0.02
	// lostPenalty is above every score of an engine in use.
	lostPenalty = 100
)

// score is the share of the engine's memory that is taken, and what delays runs
// beside that.
func (e *Engines) score(x *engine, nearer bool, now time.Time) float64 {
	tokens := float64(x.tokens+x.backups) + e.settings.PromptWeight*float64(x.prompts)
	switch {
	case now.Sub(e.sharedAt) < e.settings.LoadLifetime:
		tokens += float64(x.shared.GetTokens()) + e.settings.PromptWeight*float64(x.shared.GetUnread())
	case now.Sub(x.statedAt) < e.settings.LoadLifetime:
		tokens += float64(x.others) * e.meanTokens
	}
	score := tokens / float64(x.memory)
	if nearer && x.target.GetAvailabilityZone() != e.zone {
		score += e.settings.ZoneWeight
	}
	if now.Before(x.avoidUntil) {
		score += lostPenalty
	}
	lostAt := e.zoneLosses[x.target.GetAvailabilityZone()]
	if now.Sub(lostAt) < e.settings.ZoneLossTime && x.aliveAt.Before(lostAt) {
		score += e.settings.ZoneLossWeight
	}
	return score
}
