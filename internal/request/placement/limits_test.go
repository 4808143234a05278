package placement

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
)

// Engines in need get no runs and no backups without a permit.
func TestLimitedEnginesAreLeftToOthers(t *testing.T) {
	limits := ratelimit.NewTable(ratelimit.Options{EntryVMs: 20, Logger: logging.Discard(), Registry: metrics.NewRegistry()})
	targets := listedTargets(2, "a", "b")
	limits.UpdateTargets(targets)
	limit := func(i int) {
		limits.Observe(targets[i].GetAddress(), targets[i].GetInstance(), 0.001, time.Now())
	}
	limit(0)
	limit(2)
	e := NewEngineTable(Defaults(), "a", limits)
	e.Update(targets, engineCapacity)
	for range 10 {
		r := mustPlace(t, e, "")
		assert.Assert(t, r.Target != targets[0] && r.Target != targets[2], "%v", r.Target)
		backup, _ := e.ReserveBackup(r, nil)
		assert.Assert(t, backup != targets[0] && backup != targets[2], "%v", backup)
	}
	assert.Assert(t, e.PlaceOnBackup(targets[2], "", typicalSize) == nil)

	limit(1)
	limit(3)
	_, err := e.Place(PlaceRequest{Service: service, Size: typicalSize})
	assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
	assert.Assert(t, !e.HasOther(targets[0]))
}
