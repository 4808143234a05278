package entry

import (
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
)

// TestStreamsThatWaitForARemovedTargetDontReachIt guards against the streams that wait for permits
// being sent, all at once and without any, to a target that a change has just taken out of use.
func TestStreamsThatWaitForARemovedTargetDontReachIt(t *testing.T) {
	for range 200 {
		limits := ratelimit.NewTable(ratelimit.Options{EntryVMs: 20, Logger: logging.Discard(), Registry: metrics.NewRegistry()})
		engines := placement.NewEngineTable(placement.Defaults(), "a", limits)
		suspects := quarantine.NewTable(quarantine.Options{Random: func() float64 { return 0 }})
		r := newRoutingState(decoder{}, engines, suspects, limits, newRetryBudgets(Defaults().Retry, metrics.NewRegistry()), Defaults().DrainTime.Std(), logging.Discard())
		r.ApplyDeclaration(declaration(3), "c1")
		r.SetTargets(targetList(target("1", false)), readNow())
		limits.Observe("t-1", "1", 0.1, time.Now())
		const streams = 16
		var waiting, done sync.WaitGroup
		results := make([]error, streams)
		waiting.Add(streams)
		for i := range streams {
			done.Go(func() {
				claim := &ratelimit.Claim{Service: "desk", Class: ratelimit.ClassResume, Deadline: time.Now().Add(time.Minute)}
				_, results[i] = engines.Place(placement.PlaceRequest{Service: "desk"})
				waiting.Done()
				for fault.Is(results[i], fault.Overloaded) {
					address, err := limits.Await(t.Context(), claim)
					assert.Check(t, err == nil, "%v", err)
					_, results[i] = engines.Place(placement.PlaceRequest{Service: "desk", Reserved: address})
				}
			})
		}
		waiting.Wait()
		time.Sleep(time.Millisecond)
		r.SetTargets(targetList(target("1", true)), readNow())
		done.Wait()
		for _, err := range results {
			assert.Assert(t, fault.Is(err, fault.NoTarget), "%v", err)
		}
	}
}
