package placement

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// candidate is an engine that could take a run; less score is better.
type candidate struct {
	*engine
	score float64
}

// choose returns an engine with a low score, outside of the zone awayFrom if that is
// given. Engines that were lost lately come last. The caller holds mu.
func (e *Engines) choose(w Want, awayFrom string, now time.Time) *engine {
	eligible := e.eligible(w, awayFrom, now)
	if len(eligible) == 0 {
		return nil
	}
	home := e.homeOf(w.Prompt, eligible, now)
	candidates := make([]candidate, len(eligible))
	for i, x := range eligible {
		score := e.score(x, w.Size, awayFrom != "", now) + rand.Float64()*tieSpread
		switch {
		case e.places.has(w.Prompt, x.target, now):
			score -= e.settings.ReadWeight
		case x == home:
			score -= e.settings.AffinityWeight
		}
		candidates[i] = candidate{x, score}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	best := candidates[0]
	if best.engine == home || e.places.has(w.Prompt, best.target, now) {
		return best.engine // no other entry VM chooses it for the same reason
	}
	return e.spread(candidates).engine
}

// eligible returns the engines that may be chosen. The caller holds mu.
func (e *Engines) eligible(w Want, awayFrom string, now time.Time) []*engine {
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
	return eligible
}

// spread draws one of the best candidates. What other entry VMs place at the moment
// isn't known yet: the more that is, the more engines are drawn from, so that not all
// choose the same one.
func (e *Engines) spread(candidates []candidate) candidate {
	among := min(1+int(e.unseen()*e.settings.SpreadFactor), len(candidates))
	limit := candidates[0].score + spreadLimit
	for among > 1 && candidates[among-1].score > limit {
		among--
	}
	return candidates[rand.IntN(among)]
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
	// spreadLimit is the most by which an engine that is drawn may be worse than the best
	// one: less than a prompt that waits to be read.
	spreadLimit = 0.3
	// lostPenalty is above every score of an engine in use.
	lostPenalty = 100
	// fullPenalty is above what the prompts that usually wait add up to: an engine
	// without room lets runs wait or drops others.
	fullPenalty = 10
	// fullShare of an engine's memory may be taken; sizes are what runs take at their
	// end, and some prompts stay there after their runs.
	fullShare = 0.9
)

// score is the share of the engine's memory that runs take, and what delays runs beside
// that. Backups take memory but no time; only for another backup they count as much as
// runs, so that the runs of an engine that is lost go on at many others.
func (e *Engines) score(x *engine, size Size, backup bool, now time.Time) float64 {
	runs, prompts, backups := float64(x.tokens), float64(x.prompts), float64(x.backups)
	switch {
	case now.Sub(e.sharedAt) < e.settings.LoadLifetime:
		runs += float64(x.shared.GetTokens())
		prompts += float64(x.shared.GetUnread())
		backups += float64(x.shared.GetBackups())
	case now.Sub(x.statedAt) < e.settings.LoadLifetime:
		runs += float64(x.others) * e.meanTokens
	}
	memory := float64(x.memory)
	score := (runs + e.settings.PromptWeight*prompts) / memory
	if backup {
		score += backups / memory
	} else {
		score += e.settings.BackupWeight * backups / memory
		if x.target.GetAvailabilityZone() != e.zone {
			score += e.settings.ZoneWeight
		}
	}
	if runs+backups+float64(size.Total()) > fullShare*memory {
		score += fullPenalty
	}
	return score + e.risk(x, now)
}

// risk is what is added for an engine that was lost, or that may be lost with its zone.
func (e *Engines) risk(x *engine, now time.Time) float64 {
	risk := 0.0
	if now.Before(x.avoidUntil) {
		risk += lostPenalty
	}
	lostAt := e.zoneLosses[x.target.GetAvailabilityZone()]
	if now.Sub(lostAt) < e.settings.ZoneLossTime && x.aliveAt.Before(lostAt) {
		risk += e.settings.ZoneLossWeight
	}
	return risk
}
