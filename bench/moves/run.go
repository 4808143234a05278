package main

import (
	"runtime"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// outcome describes how one simulated move ended.
type outcome struct {
	kind   versionKind
	rate   float64
	done   bool
	reason string
	// badRequests counts the requests that the new version got while it had its defect,
	// and requestsAfterDetectable those of them after the defect became detectable.
	badRequests, requestsAfterDetectable float64
	// shareBeforeDetectable is the new version's mean share, weighted by the route's
	// requests, from the first request with the defect until it became detectable or
	// the move ended.
	shareBeforeDetectable float64
	// timeToEnd is the time from the onset of the defect to the end of the move.
	timeToEnd time.Duration
	// turnedBad is true if the defect appeared before the move ended.
	turnedBad bool
}

// relatedStepOffset is added to the step in the random seed of the related route, so
// that its evidence is independent of the moving route's.
const relatedStepOffset = 1 << 20

// epoch is the start of every simulated move.
var epoch = time.Unix(1_700_000_000, 0)

// simulate runs the production decisions on a scenario in virtual time until its move
// ends.
func simulate(sc scenario, p policy.Policy) outcome {
	decider := move.Decider{Policy: p}
	m := newMove(sc)
	out := outcome{kind: sc.kind, rate: sc.traffic.rate}
	var watchStart, onset time.Duration = -1, -1
	var movedBefore, requestsBefore float64
	requestsToDetect := sc.requestsToDetect()
	ownStrata, relatedStrata := newStrata(), newStrata()
	for step := 0; ; step++ {
		at := time.Duration(step) * sc.traffic.step
		if m.GetState() == chicoryv1.MoveState_MOVE_STATE_WATCHING && watchStart < 0 {
			watchStart = at
		}
		if onset < 0 && sc.hasDefect(m, at, watchStart) {
			onset = at
		}
		sc.sampleStep(ownStrata, step, at, m.GetSharePermille(), onset >= 0)
		observed := move.Evidence{Elapsed: sc.traffic.step, Routers: 9, Strata: ownStrata}
		if sc.kind.hasRelatedRoute() {
			sc.sampleStep(relatedStrata, step+relatedStepOffset, at, move.DefaultCapPermille, false)
			observed.Related = relatedStrata
		}
		if onset >= 0 {
			moved, requests := countRequests(observed)
			if out.badRequests < requestsToDetect {
				movedBefore += requests * float64(m.GetSharePermille()) / 1000
				requestsBefore += requests
			}
			out.badRequests += moved
		}
		m, _ = decider.Step(m, observed, epoch.Add(at+sc.traffic.step))
		if move.Ended(m) {
			out.finish(m, at+sc.traffic.step, onset, requestsToDetect)
			out.shareBeforeDetectable = movedBefore / max(requestsBefore, 1)
			return out
		}
	}
}

// newMove returns the started move of a scenario.
func newMove(sc scenario) *chicoryv1.Move {
	m := move.New("m", intent(sc.traffic), routeOf(sc.kind.nonIdempotent()), "bench", "", epoch)
	m, _ = move.Step(m, move.Evidence{}, epoch)
	return m
}

// intent returns the intent of a move at a level of traffic.
func intent(t trafficLevel) *chicoryv1.MoveIntent {
	return &chicoryv1.MoveIntent{
		Route: "route", From: "1", To: "2", StartUnixMs: epoch.UnixMilli(),
		DeadlineUnixMs: epoch.Add(t.window).UnixMilli(), ExpectedRate: t.rate,
	}
}

// routeOf returns the route that moves.
func routeOf(nonIdempotent bool) *chicoryv1.Route {
	return &chicoryv1.Route{Name: "route", Version: "1", NonIdempotent: nonIdempotent}
}

// hasDefect reports whether the defect has appeared by the given time. watchStart is
// negative until the watch starts.
func (sc *scenario) hasDefect(m *chicoryv1.Move, at, watchStart time.Duration) bool {
	switch {
	case sc.kind.isGood():
		return false
	case sc.kind == errorsWhileGrowing:
		return m.GetSharePermille() >= sc.onsetSharePermille
	case sc.kind == errorsWhileWatching:
		const watchDivisor = 6 // the planned watch is a sixth of the window
		wait := time.Duration(sc.onsetWatchFraction * float64(sc.traffic.window) / watchDivisor)
		return watchStart >= 0 && at >= watchStart+wait
	}
	return true
}

// countRequests returns the requests of the new version and of both versions.
func countRequests(ev move.Evidence) (moved, total float64) {
	for _, s := range ev.Strata {
		moved += float64(s.New.GetRequests())
		total += float64(s.New.GetRequests() + s.Old.GetRequests())
	}
	return moved, total
}

// finish records the end of a move at the given time. onset is negative if the defect
// never appeared.
func (o *outcome) finish(m *chicoryv1.Move, at, onset time.Duration, requestsToDetect float64) {
	o.done = m.GetState() == chicoryv1.MoveState_MOVE_STATE_DONE
	o.reason = m.GetReason()
	if onset < 0 {
		return
	}
	o.turnedBad = true
	o.timeToEnd = at - onset
	o.requestsAfterDetectable = max(0, o.badRequests-requestsToDetect)
}

// runAll simulates n scenarios of every kind with policy p.
func runAll(p policy.Policy, n int, seed uint64) []outcome {
	out := make([]outcome, int(kindCount)*n)
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for j := range jobs {
				out[j] = simulate(newScenario(versionKind(j/n), j%n, seed), p)
			}
		})
	}
	for j := range out {
		jobs <- j
	}
	close(jobs)
	wg.Wait()
	return out
}
