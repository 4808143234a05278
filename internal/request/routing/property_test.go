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

// step is one drawn event of a history.
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

// TestDrawnHistories: over drawn events, a pick is never of an excluded, leaving
// or wrong-version target; of an ejected one only as a probe or when none is
// usable; the floor holds; and in-flight counts match the open placements.
func TestDrawnHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "targets")
		steps := drawSteps(rt, n)
		synctest.Test(t, func(*testing.T) {
			w := &world{rt: rt, f: newFixture(n), n: n}
			for _, s := range steps {
				w.apply(s)
				w.checkFloor()
			}
			for len(w.open) > 0 {
				w.apply(step{kind: "done"})
			}
			for i := range n {
				if got := w.f.table.State(address(i)).InFlight(); got != 0 {
					rt.Errorf("%d requests stay in flight at target %d", got, i)
				}
			}
		})
	})
}

// world is one run of a drawn history.
type world struct {
	rt       *rapid.T
	f        *fixture
	n        int
	open     []request.Placement
	revision uint64
}

func (w *world) apply(s step) {
	state := w.f.table.State(address(s.target))
	switch s.kind {
	case "pick":
		w.pick(s)
	case "done":
		if len(w.open) > 0 {
			i := s.target % len(w.open)
			w.open[i].Done(s.result, s.pause)
			w.open[i].Done(s.result, s.pause)
			w.open = slices.Delete(w.open, i, i+1)
		}
	case "leaving":
		state.SetReport(observe.Report{Version: "v1", Leaving: true, TakenAt: time.Now()})
	case "list":
		state.SetPlatformLeaving(s.prefix > 0)
	case "version":
		state.SetReport(observe.Report{Version: "v0", TakenAt: time.Now()})
	case "fresh":
		state.Sample(time.Now())
		state.SetReport(observe.Report{Version: "v1", Load: len(s.exclude), TakenAt: time.Now()})
	case "silent":
		state.PollFailed(time.Now())
	case "results":
		w.f.finish(s.target, 5, s.result)
	case "pause":
		time.Sleep(s.pause)
	case "configuration":
		w.revision++
		w.f.apply(1+w.revision, w.n)
	}
}

func (w *world) pick(s step) {
	now := time.Now()
	work := lookup()
	work.PrefixHash = s.prefix
	var exclude []string
	for _, i := range s.exclude {
		exclude = append(exclude, address(i))
	}
	usableNow, allowed, probe := w.expectations(exclude, now)
	p, err := w.f.picker.Pick(work, exclude)
	if err != nil {
		if len(allowed) > 0 {
			w.rt.Errorf("no target, allowed were %v", allowed)
		}
		return
	}
	w.open = append(w.open, p)
	a := p.Target.GetAddress()
	if !slices.Contains(allowed, a) {
		w.rt.Errorf("picked %s, allowed were %v", a, allowed)
	}
	if len(usableNow) > 0 && !slices.Contains(usableNow, a) && !slices.Contains(probe, a) {
		w.rt.Errorf("picked %s, usable were %v and due for a probe %v", a, usableNow, probe)
	}
}

// expectations says naively which targets are usable, which a pick may return at
// all, and which are due for a probe.
func (w *world) expectations(exclude []string, now time.Time) (usableNow, allowed, probe []string) {
	w.f.picker.current().groups[groupKey{"s", "v1"}].review(now)
	for i := range w.n {
		a := address(i)
		e := w.f.picker.current().endpoints[a]
		r := e.state.Report()
		_, leaving := e.state.Leaving()
		if slices.Contains(exclude, a) || leaving || r != nil && r.Version != "v1" {
			continue
		}
		allowed = append(allowed, a)
		until := e.ejectedUntil.Load()
		since, silent := e.state.SilentSince(now)
		dead := silent && e.lastSuccess.Load() < since.UnixNano()
		switch {
		case dead:
		case until == 0:
			usableNow = append(usableNow, a)
		case now.UnixNano() >= until && len(exclude) == 0:
			probe = append(probe, a)
		}
	}
	return usableNow, allowed, probe
}

// checkFloor: results never eject more than the share, as long as no target is dead.
func (w *world) checkFloor() {
	out := 0
	for i := range w.n {
		if w.f.picker.current().endpoints[address(i)].ejectedUntil.Load() != 0 {
			out++
		}
	}
	if most := int(float64(w.n) * Defaults().MaxEjectedShare); out > most {
		w.rt.Errorf("%d of %d targets are ejected, at most %d may be", out, w.n, most)
	}
}

// TestHealthyPicksReachTheSameTargets compares with the naive picker: when all
// are healthy and loads are even, both use the same set.
func TestHealthyPicksReachTheSameTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "targets")
		f := newFixture(n)
		f.picker.opts.Settings.ZoneBound = 0
		exclude := []string{address(rapid.IntRange(0, 8).Draw(rt, "excluded"))}
		ours, theirs := map[string]bool{}, map[string]bool{}
		for range 40 * n {
			p, err := f.picker.Pick(lookup(), exclude)
			q, naiveErr := f.naive.Pick(lookup(), exclude)
			if (err == nil) != (naiveErr == nil) {
				rt.Fatalf("picker says %v, the naive one %v", err, naiveErr)
			}
			if err != nil {
				return
			}
			ours[p.Target.GetAddress()] = true
			theirs[q.Target.GetAddress()] = true
		}
		if fmt.Sprint(ours) != fmt.Sprint(theirs) {
			rt.Fatalf("picker used %v, the naive one %v", ours, theirs)
		}
	})
}
