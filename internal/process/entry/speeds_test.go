package entry

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// TestSpeedGauges guards against gauges that show no targets, or factors other than those in use.
func TestSpeedGauges(t *testing.T) {
	registry, speeds := metrics.NewRegistry(), speed.NewTable()
	registerSpeedGauges(speeds, registry)
	gauge := func(name string) int64 { return registry.Get(name).(metrics.Gauge).Value() }
	assert.Equal(t, gauge("targets.speed.known"), int64(0))
	assert.Equal(t, gauge("targets.speed.slow_percent"), int64(100))
	speeds.Update([]*chicoryv1.ListedTarget{{Address: "e1", Service: "s"}, {Address: "e2", Service: "s"}, {Address: "e3", Service: "s"}})
	speeds.MergeRemote([]*chicoryv1.TargetSpeed{{Address: "e1", Percent: 70, Weight: 30}, {Address: "e2", Percent: 160, Weight: 30}}, time.Now())
	assert.Equal(t, gauge("targets.speed.known"), int64(2))
	assert.Assert(t, gauge("targets.speed.fast_percent") < 80)
	speeds.MergeRemote([]*chicoryv1.TargetSpeed{{Address: "e1", Percent: 160, Weight: 30}}, time.Now())
	assert.Assert(t, gauge("targets.speed.slow_percent") > 130)
}

// TestSpeedsAreSharedAndForgotten guards against estimates that stay in the process that made them,
// and against those of a target that has started again.
func TestSpeedsAreSharedAndForgotten(t *testing.T) {
	r := newTestRoutingState()
	r.speeds = speed.NewTable()
	r.ApplyDeclaration(declaration(3), "c1")
	r.SetTargets(targetList(target("1", false), target("2", false), target("3", false)), readNow())
	now := time.Now()
	for i := range 60 {
		now = now.Add(100 * time.Millisecond)
		for j, address := range []string{"t-1", "t-2", "t-3"} {
			r.speeds.ObserveStated(address, address[2:], 100, now)
			r.speeds.ObserveEvents(address, address[2:], []time.Duration{30, 30, 48}[j]*time.Millisecond, 1+i%3, now)
		}
	}
	shared := r.LocalState(true).GetSpeeds()
	assert.Assert(t, len(shared) > 0)

	other := newTestRoutingState()
	other.speeds = speed.NewTable()
	other.ApplyDeclaration(declaration(3), "c1")
	other.SetTargets(targetList(target("1", false), target("2", false), target("3", false)), readNow())
	other.SetRemoteState(feed.RemoteState{Speeds: shared})
	assert.Assert(t, other.speeds.Factor("t-3", "3", now) > 1.2)
	again := target("3b", false)
	again.Address = "t-3"
	other.SetTargets(targetList(target("1", false), target("2", false), again), readNow())
	assert.Equal(t, other.speeds.Factor("t-3", "3b", now), 1.0)
	other.SetRemoteState(feed.RemoteState{Speeds: shared})
	assert.Equal(t, other.speeds.Factor("t-3", "3b", now), 1.0)
}
