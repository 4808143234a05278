package placement

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// candidate is an engine that is eligible for a run; a lower score is better.
type candidate struct {
	*engineState
	score float64
}

// selectEngine returns an engine with a low score, or nil if none is eligible. If
// excludeZone is set, the engine is for a backup: engines of that zone, engines in cooldown and
// engines that limit their requests are not eligible. For a run, engines in cooldown come last. The caller holds
// mu.
func (e *EngineTable) selectEngine(w PlaceRequest, excludeZone string, now time.Time) *engineState {
	eligible := e.eligible(w, excludeZone, now)
	if len(eligible) == 0 {
		return nil
	}
	preferred := e.rendezvousEngine(w.Prompt, eligible, now)
	if w.PreferRoom {
		eligible = e.preferRoom(eligible, w, now)
	}
	candidates := make([]candidate, len(eligible))
	for i, x := range eligible {
		score := e.score(x, w, excludeZone != "", now) + rand.Float64()*scoreJitter
		switch {
		case e.locations.contains(w.Prompt, x.target, now):
			score -= e.settings.CachedPromptWeight
		case x == preferred:
			score -= e.settings.AffinityWeight
		}
		candidates[i] = candidate{x, score}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	best := candidates[0]
	if best.engineState == preferred || e.locations.contains(w.Prompt, best.target, now) {
		return best.engineState // other entry VMs do not select this engine for the same reason
	}
	return e.sampleBest(candidates).engineState
}

// eligible returns the engines that may be selected. The caller holds mu.
func (e *EngineTable) eligible(w PlaceRequest, excludeZone string, now time.Time) []*engineState {
	var eligible []*engineState
	for _, x := range e.byService[w.Service] {
		if !isEligible(x, w) {
			continue
		}
		if excludeZone != "" && (x.target.GetAvailabilityZone() == excludeZone || now.Before(x.avoidUntil) || e.limits.IsLimited(x.target.GetAddress())) {
			continue
		}
		eligible = append(eligible, x)
	}
	return eligible
}

// isEligible reports whether an engine may be selected for a run.
func isEligible(x *engineState, w PlaceRequest) bool {
	return !x.target.GetLeaving() && !slices.Contains(w.Exclude, x.target.GetAddress())
}

// sampleBest returns a random one of the best candidates. Runs that other entry VMs place
// concurrently are not known here yet. The more of them there are, the more candidates
// are sampled from, so that entry VMs do not all select the same engine.
func (e *EngineTable) sampleBest(candidates []candidate) candidate {
	n := min(1+int(e.unreportedRuns()*e.settings.CandidatesPerUnreportedRun), len(candidates))
	limit := candidates[0].score + maxScoreGap
	for n > 1 && candidates[n-1].score > limit {
		n--
	}
	return candidates[rand.IntN(n)]
}

// rendezvousEngine returns the engine that a prompt is assigned to by rendezvous hashing:
// the one with the highest hash of prompt and address. Entry VMs with the same engine
// list select the same engine without coordination, and if an engine is lost, only its
// prompts move.
func (e *EngineTable) rendezvousEngine(prompt string, engines []*engineState, now time.Time) *engineState {
	if prompt == "" {
		return nil
	}
	var preferred *engineState
	highest := uint64(0)
	for _, x := range engines {
		if now.Before(x.avoidUntil) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(prompt))                // never fails
		_, _ = h.Write([]byte(x.target.GetAddress())) // never fails
		if sum := h.Sum64(); preferred == nil || sum > highest {
			preferred, highest = x, sum
		}
	}
	return preferred
}

const (
	// scoreJitter is random noise that makes entry VMs with the same view select
	// different engines among those with about the same score.
	scoreJitter = 0.02
	// maxScoreGap is the largest score difference between the best candidate and one that
	// is sampled: less than the cost of one unread prompt.
	maxScoreGap = 0.3
	// cooldownPenalty exceeds the score of any engine that is not in cooldown.
	cooldownPenalty = 100
	// overloadPenalty exceeds the total cost of the prompts that usually wait at an
	// engine: an engine without free memory delays new runs or evicts existing ones.
	overloadPenalty = 10
	// maxMemoryShare is the share of an engine's memory that may be used. Sizes are those
	// at the end of a run, and some prompts stay in memory after their runs.
	maxMemoryShare = 0.9
	// massLossEngines is the number of engines of a zone that must be lost within massLossTime for all of its
	// engines to count as lost. A single engine that restarts says nothing of the others.
	massLossEngines = 3
	massLossTime    = time.Second
	// massLossWindow is the time after that in which engines of the zone that have sent nothing since come
	// after all others. They restart within a second or two and then refuse what is addressed to their former
	// instance, until the list, which lags by some seconds, has the new one.
	massLossWindow = 4 * time.Second
	// massLossPenalty exceeds the score of engines with many runs, and is below cooldownPenalty.
	massLossPenalty = 5
)

// score is the share of the engine's memory that runs use, plus the cost of what delays
// runs there. Backups use memory but no processing time, so they have a low weight. When
// a backup is placed, they count as much as runs, so that the runs of a lost engine
// continue on many different engines.
func (e *EngineTable) score(x *engineState, w PlaceRequest, backup bool, now time.Time) float64 {
	runs, prompts, backups := e.load(x, now)
	memory := float64(x.capacity)
	score := (runs + e.settings.UnreadPromptWeight*prompts) / memory
	score += e.slownessCost(x, score, w, backup, now)
	if backup {
		score += backups / memory
	} else {
		score += e.settings.BackupWeight * backups / memory
		if x.target.GetAvailabilityZone() != e.zone {
			score += e.settings.ZoneWeight
		}
	}
	if runs+backups+float64(w.Size.Total()) > maxMemoryShare*memory {
		score += overloadPenalty
	}
	return score + e.lossPenalty(x, now)
}

// load returns the tokens of runs, of prompts that are not processed yet, and of backups at an engine.
func (e *EngineTable) load(x *engineState, now time.Time) (runs, prompts, backups float64) {
	runs, prompts, backups = float64(x.runTokens), float64(x.unreadTokens), float64(x.backupTokens)
	switch {
	case now.Sub(e.remoteLoadsAt) < e.settings.MaxLoadAge:
		runs += float64(x.remoteLoad.GetTokens())
		prompts += float64(x.remoteLoad.GetUnread())
		backups += float64(x.remoteLoad.GetBackups())
	case now.Sub(x.remoteRunsAt) < e.settings.MaxLoadAge:
		runs += float64(x.remoteRuns) * e.meanRunTokens
	}
	return runs, prompts, backups
}

// lossPenalty is the penalty for an engine that was lost recently, or that is at risk
// because another engine of its zone was lost.
func (e *EngineTable) lossPenalty(x *engineState, now time.Time) float64 {
	penalty := 0.0
	if now.Before(x.avoidUntil) {
		penalty += cooldownPenalty
	}
	zone := x.target.GetAvailabilityZone()
	if at, ok := e.massLosses[zone]; ok && now.Sub(at) < massLossWindow && x.lastSeen.Before(at) && x.listedAt.Before(at) {
		penalty += massLossPenalty
	}
	lostAt := e.zoneLosses[zone]
	if now.Sub(lostAt) < e.settings.ZoneLossWindow && x.lastSeen.Before(lostAt) {
		penalty += e.settings.ZoneLossWeight
	}
	return penalty
}
