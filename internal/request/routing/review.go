package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Bounds of a review.
const (
	// fadeTime is the time in which past results lose all but 1/e of their weight.
	fadeTime = 10 * time.Second
	// slowFrom is the latency, relative to the median, from which a target is slow.
	slowFrom = 1.5
	// slowMax bounds the slowness, so that a slow target still gets some work and
	// shows when it is well again.
	slowMax = 10
	// forgiveTime is how long a target must be healthy for its next ejection to be
	// as short as the first.
	forgiveTime = time.Minute
	// quietReturn is how long a target may be probed with no failure before it is
	// back: long generations end late.
	quietReturn = 5 * time.Second
)

// review compares the targets with each other, at most once in a review interval.
func (g *group) review(now time.Time) {
	last := g.reviewed.Load()
	elapsed := now.UnixNano() - last
	if elapsed < int64(g.settings.ReviewInterval) || !g.reviewed.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if last == 0 {
		elapsed = 0
	}
	g.fade(now, time.Duration(elapsed))
	g.compareLatencies()
	g.compareErrors(now)
	for _, e := range g.members() {
		g.tellSigns(e, now)
		g.returnIfQuiet(e, now)
	}
}

// fade lets old results count less. The caller holds mu.
func (g *group) fade(now time.Time, elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / fadeTime.Seconds())
	for _, e := range g.members() {
		e.mu.Lock()
		e.good *= keep
		e.bad *= keep
		if e.ejections > 0 && e.ejectedUntil.Load() == 0 && now.Sub(e.returnedAt) > forgiveTime {
			e.ejections = 0
		}
		e.mu.Unlock()
	}
}

// compareLatencies sets each target's slowness. The caller holds mu.
func (g *group) compareLatencies() {
	latencies := make([]time.Duration, 0, len(g.members()))
	for _, e := range g.members() {
		e.mu.Lock()
		if e.latency > 0 {
			latencies = append(latencies, e.latency)
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
		ratio := float64(e.latency) / float64(median)
		if ratio > slowFrom {
			// Without new samples the target is forgotten to be slow.
			e.latency -= e.latency / latencyFade
		}
		e.mu.Unlock()
		if ratio < slowFrom {
			ratio = 1
		}
		e.setSlowness(min(ratio, slowMax))
		e.stallAfter.Store(int64(max(stallFactor*median, minStall)))
	}
}

// latencyFade is the part of a slow target's latency that each review takes off.
const latencyFade = 200

// compareErrors ejects targets that fail far more often than their peers. A
// common cause raises the share of all, and ejects none. The caller holds mu.
func (g *group) compareErrors(now time.Time) {
	totalGood, totalBad := 0.0, 0.0
	for _, e := range g.members() {
		e.mu.Lock()
		totalGood += e.good
		totalBad += e.bad
		e.mu.Unlock()
	}
	for _, e := range g.members() {
		e.mu.Lock()
		good, bad := e.good, e.bad
		e.mu.Unlock()
		if good+bad < g.settings.MinSamples || e.ejectedUntil.Load() != 0 {
			continue
		}
		own := bad / (good + bad)
		peers := 0.0
		if others := totalGood + totalBad - good - bad; others > 0 {
			peers = (totalBad - bad) / others
		}
		if own-peers > g.settings.EjectErrorShare && g.mayEject(now) {
			g.ejectLocked(e, fmt.Sprintf("fails %.0f%% of requests, peers %.0f%%", 100*own, 100*peers), now)
		}
	}
}

// returnIfQuiet ends an ejection after which probes were sent and none failed.
// The caller holds mu.
func (g *group) returnIfQuiet(e *endpoint, now time.Time) {
	until := e.ejectedUntil.Load()
	if until == 0 || now.UnixNano()-until < int64(quietReturn) || e.nextProbe.Load() < until || e.isDead(now) {
		return
	}
	g.returnLocked(e, "no probe failed", now)
}

// tellSigns logs that a target began or ceased to leave, to be silent or to
// serve another version.
func (g *group) tellSigns(e *endpoint, now time.Time) {
	by, leaving := e.state.Leaving()
	dead := e.isDead(now)
	wrong := e.hasWrongVersion()
	e.mu.Lock()
	defer e.mu.Unlock()
	g.tell(e, &e.leavingTold, leaving, logging.TargetLeaving, "leaving by its "+by, now)
	g.tell(e, &e.silentTold, dead, logging.TargetEjected, "no answer to load polls", now)
	g.tell(e, &e.versionTold, wrong, logging.TargetEjected, "reports another version", now)
}

// tell logs one change of a sign. The caller holds the endpoint's mu.
func (g *group) tell(e *endpoint, told *bool, sign bool, event logging.Event, reason string, now time.Time) {
	if *told == sign {
		return
	}
	*told = sign
	if !sign {
		event = logging.TargetReturned
		reason = "no longer: " + reason
	}
	e.note(now, reason)
	g.logger.Info(event, logging.Fields{
		"target": e.target.GetAddress(), "service": g.key.service, "version": g.key.version,
		"reason": reason,
	})
}
