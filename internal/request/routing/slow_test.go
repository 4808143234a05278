package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// callFor makes 20 calls a second, one after the other, and returns how many each target got.
// latency returns the duration of a call.
func (f *fixture) callFor(t *testing.T, d time.Duration, w request.Work, latency func(address string) time.Duration) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for begin := time.Now(); time.Since(begin) < d; {
		a, done := f.pick(t, w)
		time.Sleep(latency(a))
		done(request.ResultSuccess, latency(a))
		counts[a]++
		time.Sleep(50 * time.Millisecond)
	}
	return counts
}

// slowTarget returns the latencies of targets of which target 0 takes d and the others 1 ms.
func slowTarget(d time.Duration) func(string) time.Duration {
	return func(a string) time.Duration {
		if a == address(0) {
			return d
		}
		return time.Millisecond
	}
}

// TestTargetThatWasSlowOnceGetsCallsAgain guards against a target that gets no calls for minutes
// because some calls took a second there, once.
func TestTargetThatWasSlowOnceGetsCallsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.callFor(t, 5*time.Second, newWork(), slowTarget(time.Millisecond))
		g := f.picker.current().groups[groupKey{"s", "v1"}]
		for range 3 {
			g.recordResult(f.picker.current().endpoints[address(0)], request.ResultSuccess, time.Second, time.Second)
		}
		f.callFor(t, 15*time.Second, newWork(), slowTarget(time.Millisecond))
		counts := f.callFor(t, 5*time.Second, newWork(), slowTarget(time.Millisecond))
		assert.Assert(t, counts[address(0)] >= 20, "%v", counts)
	})
}

// TestSlowTargetGetsFewCalls guards against trials that cost more than they show: a target that
// stays slow gets at most one call in 20.
func TestSlowTargetGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.callFor(t, 5*time.Second, newWork(), slowTarget(100*time.Millisecond))
		counts := f.callFor(t, time.Minute, newWork(), slowTarget(100*time.Millisecond))
		total := 0
		for _, n := range counts {
			total += n
		}
		assert.Assert(t, counts[address(0)] >= 5 && counts[address(0)] <= total/20, "%v", counts)
	})
}

// TestTrialsAreIdempotentCalls guards against calls that must not run twice, and generations, as
// trials of slow targets.
func TestTrialsAreIdempotentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.callFor(t, 5*time.Second, newWork(), slowTarget(100*time.Millisecond))
		booking := newWork()
		booking.Route.NonIdempotent = true
		counts := f.callFor(t, 10*time.Second, booking, slowTarget(100*time.Millisecond))
		assert.Assert(t, counts[address(0)] <= 1, "%v", counts)
	})
}

// TestCallsPreferFasterTargets guards against calls to the slower one of two idle targets when their
// speeds are known from other VMs.
func TestCallsPreferFasterTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4) // targets 0 and 3 are in the picker's zone
		speeds := speed.NewTable()
		f.picker.opts.Speeds = speeds
		var listed []*chicoryv1.ListedTarget
		for i := range 4 {
			listed = append(listed, &chicoryv1.ListedTarget{Address: address(i), Service: "s"})
		}
		speeds.Update(listed)
		speeds.MergeRemote([]*chicoryv1.TargetSpeed{{Address: address(0), Percent: 160, Weight: 30}, {Address: address(3), Percent: 80, Weight: 30}}, time.Now())
		counts := f.picks(t, 100)
		assert.Equal(t, counts[address(3)], 100, "%v", counts)
		busy := map[string]int{}
		for range 9 {
			a, _ := f.pick(t, newWork())
			busy[a]++
		}
		assert.Assert(t, busy[address(0)] >= 2 && busy[address(0)] < busy[address(3)], "the slow one must be used while the fast one is busy: %v", busy)
	})
}
