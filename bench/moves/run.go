package main

import (
	"runtime"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// outcome is how one move of a drawn version ended.
type outcome struct {
	kind   kind
	rate   float64
	done   bool
	reason string
	// requests that the new version got while bad, and those after its badness showed.
	badRequests, afterShown float64
	// beforeShown is the mean share in force, by the route's requests, from the
	// bad version's first one until its badness showed or the move ended.
	beforeShown float64
	// took is the time from the onset of badness to the end.
	took time.Duration
	// onset: the badness came before the move ended.
	onset bool
}

// relatedSteps sets the draws of the related route apart from the route's own.
const relatedSteps = 1 << 20

var epoch = time.Unix(1_700_000_000, 0)

// simulate runs the production decisions on a drawn version in virtual time.
func simulate(d drawn, p policy.Policy) outcome {
	dec := move.Decider{Policy: p}
	m := newMove(d)
	out := outcome{kind: d.kind, rate: d.traffic.rate}
	var watchSince, onsetAt time.Duration = -1, -1
	var sharedBefore, allBefore float64
	shown := d.sufficient()
	rs, related := newReports(), newReports()
	for step := 0; ; step++ {
		at := time.Duration(step) * d.traffic.step
		if m.GetState() == chicoryv1.MoveState_MOVE_STATE_WATCHING && watchSince < 0 {
			watchSince = at
		}
		if onsetAt < 0 && d.hasOnset(m, at, watchSince) {
			onsetAt = at
		}
		d.stepEvidence(rs, step, at, m.GetSharePermille(), onsetAt >= 0)
		ev := move.Evidence{Elapsed: d.traffic.step, Routers: 9, Strata: rs}
		if d.kind.related() {
			d.stepEvidence(related, step+relatedSteps, at, move.DefaultCapPermille, false)
			ev.Related = related
		}
		if onsetAt >= 0 {
			moved, all := totals(ev)
			if out.badRequests < shown {
				sharedBefore += all * float64(m.GetSharePermille()) / 1000
				allBefore += all
			}
			out.badRequests += moved
		}
		m, _ = dec.Step(m, ev, epoch.Add(at+d.traffic.step))
		if move.Ended(m) {
			out.finish(m, at+d.traffic.step, onsetAt, shown)
			out.beforeShown = sharedBefore / max(allBefore, 1)
			return out
		}
	}
}

func newMove(d drawn) *chicoryv1.Move {
	m := move.New("m", intent(d.traffic), routeOf(d.kind.nonIdempotent()), "bench", "", epoch)
	m, _ = move.Step(m, move.Evidence{}, epoch)
	return m
}

func intent(t traffic) *chicoryv1.MoveIntent {
	return &chicoryv1.MoveIntent{
		Route: "route", From: "1", To: "2", StartUnixMs: epoch.UnixMilli(),
		DeadlineUnixMs: epoch.Add(t.window).UnixMilli(), ExpectedRate: t.rate,
	}
}

func routeOf(nonIdempotent bool) *chicoryv1.Route {
	return &chicoryv1.Route{Name: "route", Version: "1", NonIdempotent: nonIdempotent}
}

// hasOnset reports whether the version is bad from now on.
func (d *drawn) hasOnset(m *chicoryv1.Move, at, watchSince time.Duration) bool {
	switch {
	case d.kind.isGood():
		return false
	case d.kind == errorsGrowing:
		return m.GetSharePermille() >= d.onsetShare
	case d.kind == errorsInWatch:
		const plannedWatchPart = 6
		wait := time.Duration(d.onsetPart * float64(d.traffic.window) / plannedWatchPart)
		return watchSince >= 0 && at >= watchSince+wait
	}
	return true
}

func totals(ev move.Evidence) (moved, all float64) {
	for _, s := range ev.Strata {
		moved += float64(s.New.GetRequests())
		all += float64(s.New.GetRequests() + s.Old.GetRequests())
	}
	return moved, all
}

func (o *outcome) finish(m *chicoryv1.Move, at, onsetAt time.Duration, shown float64) {
	o.done = m.GetState() == chicoryv1.MoveState_MOVE_STATE_DONE
	o.reason = m.GetReason()
	if onsetAt < 0 {
		return
	}
	o.onset = true
	o.took = at - onsetAt
	o.afterShown = max(0, o.badRequests-shown)
}

// runAll simulates n versions of every kind with the policy.
func runAll(p policy.Policy, n int, seed uint64) []outcome {
	out := make([]outcome, int(kindCount)*n)
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for j := range jobs {
				out[j] = simulate(drawVersion(kind(j/n), j%n, seed), p)
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
