package ratelimit

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

var (
	start = time.Unix(1_000_000, 0)
	desk  = struct{ address, instance string }{"10.0.0.1:80", "first"}
)

func newTestTable() *Table {
	return NewTable(Options{EntryVMs: 20, Logger: logging.Discard(), Registry: metrics.NewRegistry()})
}

func (t *Table) rateOf(address string) float64 {
	if s := t.targets[address]; s != nil {
		return s.rate
	}
	return 0
}

// A limit holds for as long as the target names it.
func TestLatestResponseDecides(t *testing.T) {
	tb := newTestTable()
	tb.Observe(desk.address, desk.instance, 0, start)
	assert.Equal(t, len(tb.targets), 0, "a target without a limit takes no memory")
	tb.Observe(desk.address, desk.instance, 2.7, start)
	assert.Equal(t, tb.rateOf(desk.address), 2.7)
	tb.Observe(desk.address, desk.instance, 1.5, start.Add(time.Second))
	assert.Equal(t, tb.rateOf(desk.address), 1.5)
	tb.Observe(desk.address, desk.instance, 4, start)
	assert.Equal(t, tb.rateOf(desk.address), 1.5, "an earlier response")
	tb.Observe(desk.address, desk.instance, 0, start.Add(2*time.Second))
	assert.Equal(t, tb.rateOf(desk.address), 0.0)
}

// A limit of 0 must not keep a target out of use for ever.
func TestRateIsNeverZero(t *testing.T) {
	tb := newTestTable()
	tb.Observe(desk.address, desk.instance, math.SmallestNonzeroFloat64, start)
	assert.Equal(t, tb.rateOf(desk.address), minRate)
}

func list(instance string) []*chicoryv1.ListedTarget {
	return []*chicoryv1.ListedTarget{{Address: desk.address, Instance: instance, Service: service}}
}

// A target that has started again begins without a limit, also at VMs that hear of the earlier
// start's limit later.
func TestRestartedTargetBeginsWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := limitedTable(2.7)
		assert.Assert(t, !tb.Take(desk.address))
		tb.UpdateTargets(list("second"))
		assert.Assert(t, tb.Take(desk.address))
		grant(tb, 0)
		assert.Assert(t, tb.Take(desk.address), "a late report of the earlier start")
		time.Sleep(time.Millisecond)
		tb.Observe(desk.address, "second", 1, time.Now())
		assert.Assert(t, !tb.Take(desk.address))
	})
}

// Requests sent to a start that is gone reach the one that has its address now.
func TestLimitHoldsForAVMWithAnOlderList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestTable()
		tb.UpdateTargets(list("earlier"))
		grant(tb, 0)
		assert.Assert(t, !tb.Take(desk.address))
		tb.UpdateTargets(list(desk.instance))
		assert.Assert(t, !tb.Take(desk.address))
	})
}

// A VM that hears nothing more must not keep a limit for ever.
func TestLimitEndsWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := limitedTable(2.7)
		time.Sleep(limitLifetime - time.Second)
		assert.Assert(t, tb.IsLimited(desk.address))
		time.Sleep(time.Second)
		assert.Assert(t, !tb.IsLimited(desk.address))
	})
}

// The leader must learn a limit once, and again if it changes.
func TestLimitIsSharedWhenItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := limitedTable(2.7)
		shared := func(rate float64) int {
			tb.Observe(desk.address, desk.instance, rate, time.Now())
			time.Sleep(time.Millisecond)
			return len(tb.LocalState(false, time.Now()))
		}
		assert.Equal(t, shared(2.7), 0)
		assert.Equal(t, shared(2), 1)
		assert.Equal(t, shared(2), 0)
		assert.Equal(t, shared(0), 1)
		assert.Equal(t, len(tb.LocalState(true, time.Now())), 1, "a new leader learns it")
	})
}
