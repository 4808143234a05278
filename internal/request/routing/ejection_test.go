package routing

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

func TestEjectionIsLoggedAndEndsWithProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.finish(0, 2, request.ResultSilent)
		assert.Equal(t, f.picks(t, 500)[address(0)], 0)
		reasons := f.picker.Explain(address(0))
		assert.Equal(t, len(reasons), 1)
		assert.Assert(t, strings.HasSuffix(reasons[0], "ejected: silent requests in a row"))
		assert.Equal(t, strings.Count(f.log.String(), "event=target_ejected"), 1)

		time.Sleep(Defaults().EjectionTime.Std())
		for range Defaults().ProbeSuccesses - 1 {
			assert.Equal(t, f.picks(t, 100)[address(0)], 1)
			time.Sleep(Defaults().ProbeInterval.Std())
		}
		assert.Assert(t, f.picks(t, 500)[address(0)] > 50)
		assert.Equal(t, strings.Count(f.log.String(), "event=target_returned"), 1)
	})
}

func TestFailedProbeEjectsForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.finish(0, 3, request.ResultReset)
		time.Sleep(Defaults().EjectionTime.Std())
		a, done := f.pick(t, newWork())
		assert.Equal(t, a, address(0))
		done(request.ResultReset, 0)
		time.Sleep(2*Defaults().EjectionTime.Std() - time.Millisecond)
		assert.Equal(t, f.picks(t, 100)[address(0)], 0)
		time.Sleep(time.Millisecond)
		assert.Equal(t, f.picks(t, 100)[address(0)], 1)
	})
}

func TestOnlyIdempotentWorkProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.finish(0, 3, request.ResultReset)
		time.Sleep(Defaults().EjectionTime.Std())
		booking := newWork()
		booking.Route.NonIdempotent = true
		for range 100 {
			a, done := f.pick(t, booking)
			assert.Assert(t, a != address(0))
			done(request.ResultSuccess, 0)
		}
	})
}

// TestEjectedTargetThatDiesStillCounts guards against ejecting more than MaxEjectedShare:
// a target that is ejected, stops responding and responds again is still ejected, beside
// one that was ejected in the meantime.
func TestEjectedTargetThatDiesStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3)
		f.finish(0, 3, request.ResultReset)
		state := f.table.State(address(0))
		state.PollFailed(time.Now())
		time.Sleep(observe.Defaults().SilentAfter.Std())
		f.finish(1, 3, request.ResultReset)
		state.PollAnswered()
		assert.Equal(t, strings.Count(f.log.String(), "event=target_ejected"), 1, f.log.String())
	})
}

func TestErrorShareAbovePeersEjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		for range 40 {
			f.finish(0, 1, request.ResultError)
			f.finish(0, 1, request.ResultSuccess)
			for i := 1; i < 4; i++ {
				f.finish(i, 2, request.ResultSuccess)
			}
		}
		f.picks(t, 1)
		assert.Equal(t, f.picks(t, 500)[address(0)], 0)
		assert.Assert(t, strings.Contains(f.picker.Explain(address(0))[0], "fails 50% of requests, peers 0%"))
	})
}

func TestCommonFailureEjectsAtMostMaxShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(6)
		for i := range 6 {
			f.finish(i, 10, request.ResultError)
		}
		used := map[string]bool{}
		for range 30 {
			a, _ := f.pick(t, newWork())
			used[a] = true
		}
		assert.Equal(t, len(used), 3)
	})
}

func TestDeadTargetsAreAvoidedBeyondMaxEjectedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3)
		for i := 1; i < 3; i++ {
			f.table.State(address(i)).PollFailed(time.Now())
		}
		time.Sleep(observe.Defaults().SilentAfter.Std())
		assert.DeepEqual(t, f.picks(t, 100), map[string]int{address(0): 100})
		f.table.State(address(0)).PollFailed(time.Now())
		time.Sleep(observe.Defaults().SilentAfter.Std())
		assert.Equal(t, len(f.picks(t, 1)), 1)
	})
}
