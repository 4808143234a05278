package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Parameters of a review.
const (
	// decayTime is the time in which the weight of past results decays to 1/e.
	decayTime = 10 * time.Second
	// slowThreshold is the latency relative to the median from which a target counts
	// as slow.
	slowThreshold = 1.5
	// maxSlowness bounds the slowness, so that a slow target still gets some requests,
	// from which its recovery can be seen.
	maxSlowness = 10
	// ejectionCountLifetime is the time for which a restored target must stay healthy
	// for its next ejection to last only as long as a first one.
	ejectionCountLifetime = time.Minute
	// quietRestoreTime is the time after the end of an ejection at which a target that
	// was probed without a failure is restored, even with fewer successes than
	// ProbeSuccesses: long generations take long to report success.
	quietRestoreTime = 5 * time.Second
)

// review compares the targets with each other, at most once per ReviewInterval.
func (g *group) review(now time.Time) {
	last := g.lastReview.Load()
	elapsed := now.UnixNano() - last
	if elapsed < int64(g.settings.ReviewInterval) || !g.lastReview.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if last == 0 {
		elapsed = 0
	}
	g.decayResults(now, time.Duration(elapsed))
	g.compareLatencies(now)
	g.compareErrors(now)
	for _, e := range g.members() {
		g.logConditions(e, now)
		g.restoreIfNoProbeFailed(e, now)
	}
}

// decayResults reduces the weight of earlier results. The caller holds mu.
func (g *group) decayResults(now time.Time, elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	for _, e := range g.members() {
		e.mu.Lock()
		e.successes *= factor
		e.failures *= factor
		if e.ejections > 0 && e.ejectedUntil.Load() == 0 && now.Sub(e.restoredAt) > ejectionCountLifetime {
			e.ejections = 0
		}
		e.mu.Unlock()
	}
}

// compareLatencies sets each target's slowness and stall time from the median latency
// of the group. The caller holds mu.
func (g *group) compareLatencies(now time.Time) {
	latencies := make([]time.Duration, 0, len(g.members()))
	for _, e := range g.members() {
		e.mu.Lock()
		if e.meanLatency > 0 {
			latencies = append(latencies, e.meanLatency)
		}
		e.mu.Unlock()
	}
	if len(latencies) < 2 {
		return
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	for _, e := range g.members() {
		e.mu.Lock()
		// A single call of a second would count for minutes otherwise.
		e.meanLatency = min(e.meanLatency, maxSlowness*median)
		ratio := float64(e.meanLatency) / float64(median)
		if ratio > slowThreshold {
			// Without new samples the target must not count as slow forever.
			e.meanLatency -= e.meanLatency / latencyDecayDivisor
		}
		e.mu.Unlock()
		if ratio < slowThreshold {
			ratio = 1
		} else if e.learnedSlowness() <= 1 {
			e.nextTrialAt.Store(now.Add(trialInterval).UnixNano())
		}
		e.setSlowness(min(ratio, maxSlowness))
		e.stallAfter.Store(int64(max(stallFactor*median, minStall)))
	}
}

// Each review reduces the mean latency of a slow target by 1/latencyDecayDivisor.
const latencyDecayDivisor = 200

// compareErrors ejects targets whose error rate exceeds that of the other targets by
// more than EjectErrorShare. A failure with a common cause raises the error rate of
// all targets and ejects none. The caller holds mu.
func (g *group) compareErrors(now time.Time) {
	totalSuccesses, totalFailures := 0.0, 0.0
	for _, e := range g.members() {
		e.mu.Lock()
		totalSuccesses += e.successes
		totalFailures += e.failures
		e.mu.Unlock()
	}
	for _, e := range g.members() {
		e.mu.Lock()
		successes, failures := e.successes, e.failures
		e.mu.Unlock()
		if successes+failures < g.settings.MinSamples || e.ejectedUntil.Load() != 0 {
			continue
		}
		ownShare := failures / (successes + failures)
		peerShare := 0.0
		if others := totalSuccesses + totalFailures - successes - failures; others > 0 {
			peerShare = (totalFailures - failures) / others
		}
		if ownShare-peerShare > g.settings.EjectErrorShare && g.canEject(now) {
			g.ejectLocked(e, fmt.Sprintf("fails %.0f%% of requests, peers %.0f%%", 100*ownShare, 100*peerShare), now)
		}
	}
}

// restoreIfNoProbeFailed ends an ejection after quietRestoreTime when probes were sent
// and none failed. The caller holds mu.
func (g *group) restoreIfNoProbeFailed(e *endpoint, now time.Time) {
	until := e.ejectedUntil.Load()
	if until == 0 || now.UnixNano()-until < int64(quietRestoreTime) || e.nextProbeAt.Load() < until || e.isDead(now) {
		return
	}
	g.restoreLocked(e, "no probe failed", now)
}

// logConditions logs when a target begins or ceases to be leaving, to be dead, or to
// report another version.
func (g *group) logConditions(e *endpoint, now time.Time) {
	source, leaving := e.state.Leaving()
	dead := e.isDead(now)
	wrongVersion := e.hasWrongVersion()
	e.mu.Lock()
	defer e.mu.Unlock()
	g.logCondition(e, &e.leavingLogged, leaving, logging.TargetLeaving, "leaving by its "+source, now)
	g.logCondition(e, &e.silenceLogged, dead, logging.TargetEjected, "no answer to load polls", now)
	g.logCondition(e, &e.wrongVersionLogged, wrongVersion, logging.TargetEjected, "reports another version", now)
}

// logCondition logs a change of one condition. logged is whether the condition was last
// logged as present. The caller holds the endpoint's mu.
func (g *group) logCondition(e *endpoint, logged *bool, holds bool, event logging.Event, reason string, now time.Time) {
	if *logged == holds {
		return
	}
	*logged = holds
	if !holds {
		event = logging.TargetReturned
		reason = "no longer: " + reason
	}
	e.addReason(now, reason)
	g.logger.Info(event, logging.Fields{
		"target": e.target.GetAddress(), "service": g.key.service, "version": g.key.version,
		"reason": reason,
	})
}
