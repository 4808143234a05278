package routing

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// step is one random event of a history.
type step struct {
	kind    string
	target  int
	result  request.Result
	pause   time.Duration
	exclude []int
	prefix  uint64
}

func drawSteps(t *rapid.T, n int) []step {
	kinds := []string{"pick", "pick", "pick", "pick", "done", "done", "leaving", "list", "version", "fresh", "silent", "pause", "results", "configuration"}
	results := []request.Result{request.ResultSuccess, request.ResultError, request.ResultSilent, request.ResultReset, request.ResultAbandoned}
	target := rapid.IntRange(0, n-1)
	draw := rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			target:  target.Draw(t, "target"),
			result:  rapid.SampledFrom(results).Draw(t, "result"),
			pause:   time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond,
			exclude: rapid.SliceOfN(target, 0, 2).Draw(t, "exclude"),
			prefix:  uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		}
	})
	return rapid.SliceOfN(draw, 1, 150).Draw(t, "steps")
}

// TestDrawnHistories checks for random sequences of events that a pick never returns an
// excluded, leaving or wrong-version target, that it returns an ejected one only as a
// probe or when none is usable, that no more than MaxEjectedShare of the targets are
// ejected, and that all in-flight counts return to 0.
func TestDrawnHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "targets")
		steps := drawSteps(rt, n)
		synctest.Test(t, func(*testing.T) {
			run := &historyRun{rt: rt, f: newFixture(n), n: n}
			for _, s := range steps {
				run.apply(s)
				run.checkEjectedShare()
			}
			for len(run.open) > 0 {
				run.apply(step{kind: "done"})
			}
			for i := range n {
				if got := run.f.table.State(address(i)).InFlight(); got != 0 {
					rt.Errorf("%d requests stay in flight at target %d", got, i)
				}
			}
		})
	})
}

// historyRun is the state of one run of a random history.
type historyRun struct {
	rt       *rapid.T
	f        *fixture
	n        int
	open     []request.Placement
	revision uint64
}

func (r *historyRun) apply(s step) {
	state := r.f.table.State(address(s.target))
	switch s.kind {
	case "pick":
		r.pick(s)
	case "done":
		if len(r.open) > 0 {
			i := s.target % len(r.open)
			r.open[i].Done(s.result, s.pause)
			r.open[i].Done(s.result, s.pause)
			r.open = slices.Delete(r.open, i, i+1)
		}
	case "leaving":
		state.SetReport(observe.Report{Version: "v1", Leaving: true, MeasuredAt: time.Now()})
	case "list":
		state.SetPlatformLeaving(s.prefix > 0)
	case "version":
		state.SetReport(observe.Report{Version: "v0", MeasuredAt: time.Now()})
	case "fresh":
		state.SampleInFlight(time.Now())
		state.SetReport(observe.Report{Version: "v1", Load: len(s.exclude), MeasuredAt: time.Now()})
	case "silent":
		state.PollFailed(time.Now())
	case "results":
		r.f.finish(s.target, 5, s.result)
	case "pause":
		time.Sleep(s.pause)
	case "configuration":
		r.revision++
		r.f.apply(1+r.revision, r.n)
	}
}

func (r *historyRun) pick(s step) {
	now := time.Now()
	work := newWork()
	work.PrefixHash = s.prefix
	var exclude []string
	for _, i := range s.exclude {
		exclude = append(exclude, address(i))
	}
	usableTargets, allowed, probeTargets := r.expectedTargets(exclude, now)
	p, err := r.f.picker.Pick(work, exclude)
	if err != nil {
		if len(allowed) > 0 {
			r.rt.Errorf("no target picked, allowed were %v", allowed)
		}
		return
	}
	r.open = append(r.open, p)
	a := p.Target.GetAddress()
	if !slices.Contains(allowed, a) {
		r.rt.Errorf("picked %s, allowed were %v", a, allowed)
	}
	if len(usableTargets) > 0 && !slices.Contains(usableTargets, a) && !slices.Contains(probeTargets, a) {
		r.rt.Errorf("picked %s, usable were %v and due for a probe %v", a, usableTargets, probeTargets)
	}
}

// expectedTargets computes by a simple model which targets are usable, which ones Pick
// may return at all, and which ones may get a probe.
func (r *historyRun) expectedTargets(exclude []string, now time.Time) (usableTargets, allowed, probeTargets []string) {
	r.f.picker.current().groups[groupKey{"s", "v1"}].review(now)
	for i := range r.n {
		a := address(i)
		e := r.f.picker.current().endpoints[a]
		report := e.state.Report()
		_, leaving := e.state.Leaving()
		if slices.Contains(exclude, a) || leaving || report != nil && report.Version != "v1" {
			continue
		}
		allowed = append(allowed, a)
		until := e.ejectedUntil.Load()
		since, silent := e.state.SilentSince(now)
		dead := silent && e.lastSuccess.Load() < since.UnixNano()
		switch {
		case dead:
		case until == 0:
			usableTargets = append(usableTargets, a)
		case now.UnixNano() >= until && len(exclude) == 0:
			probeTargets = append(probeTargets, a)
		}
	}
	return usableTargets, allowed, probeTargets
}

// checkEjectedShare checks that no more than MaxEjectedShare of all targets are ejected,
// whether or not an ejected target has died since.
func (r *historyRun) checkEjectedShare() {
	ejectedCount := 0
	for i := range r.n {
		if r.f.picker.current().endpoints[address(i)].ejectedUntil.Load() != 0 {
			ejectedCount++
		}
	}
	if limit := int(float64(r.n) * Defaults().MaxEjectedShare); ejectedCount > limit {
		r.rt.Errorf("%d of %d targets are ejected, at most %d may be", ejectedCount, r.n, limit)
	}
}

// TestHealthyPicksMatchRoundRobin checks that the picker uses the same set of targets
// as RoundRobin when all targets are healthy and equally loaded.
func TestHealthyPicksMatchRoundRobin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "targets")
		f := newFixture(n)
		f.picker.opts.Settings.ZoneBound = 0
		exclude := []string{address(rapid.IntRange(0, 8).Draw(rt, "excluded"))}
		pickerTargets, roundRobinTargets := map[string]bool{}, map[string]bool{}
		for range 40 * n {
			p, err := f.picker.Pick(newWork(), exclude)
			q, roundRobinErr := f.roundRobin.Pick(newWork(), exclude)
			if (err == nil) != (roundRobinErr == nil) {
				rt.Fatalf("picker returned error %v, round robin %v", err, roundRobinErr)
			}
			if err != nil {
				return
			}
			pickerTargets[p.Target.GetAddress()] = true
			roundRobinTargets[q.Target.GetAddress()] = true
		}
		if fmt.Sprint(pickerTargets) != fmt.Sprint(roundRobinTargets) {
			rt.Fatalf("picker used %v, round robin %v", pickerTargets, roundRobinTargets)
		}
	})
}
