package ratelimit

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

const closedTime = 5 * time.Second

var twoTargets = []*chicoryv1.ListedTarget{{Address: "a:1", Instance: "a", Service: service}, {Address: "b:1", Instance: "b", Service: service}}

// closedTable returns a table with two targets that want no requests for closedTime.
func closedTable() *Table {
	t := newTestTable()
	t.UpdateTargets(twoTargets)
	for _, x := range twoTargets {
		t.Close(x.GetAddress(), x.GetInstance(), closedTime, time.Now())
	}
	return t
}

// TestClosedTargetGetsNoRequests guards against requests to a target in the time for which it has refused
// them (BUDGET), and against a target that gets none afterwards.
func TestClosedTargetGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := closedTable()
		for range 49 {
			assert.Assert(t, !tb.Take("a:1") && !tb.HasRoom("a:1") && tb.IsLimited("a:1"))
			tb.UpdateTargets(twoTargets)
			time.Sleep(closedTime / 50)
		}
		time.Sleep(closedTime / 50)
		assert.Assert(t, tb.Take("a:1") && tb.HasRoom("a:1") && !tb.IsLimited("a:1"))
	})
}

// TestRequestsForClosedTargetsAreRefusedAtOnce guards against requests that wait for targets which take none
// before their deadline, and against callers that return too early or all together.
func TestRequestsForClosedTargetsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := closedTable()
		begin, waits := time.Now(), map[time.Duration]bool{}
		for range 20 {
			_, err := tb.Await(t.Context(), &Claim{Service: service, Class: ClassOther, Deadline: begin.Add(time.Minute)})
			assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
			wait := fault.Of(err).RetryAfter
			assert.Assert(t, wait >= closedTime && wait <= closedTime+returnSpread, "Retry-After of %v", wait)
			waits[wait] = true
		}
		assert.Equal(t, time.Since(begin), time.Duration(0))
		assert.Assert(t, len(waits) > 15, "%v", waits)
	})
}

// TestUrgentCallersReturnFirst guards against callers of urgent routes that find the targets full when they take
// requests again, because the others have returned with them.
func TestUrgentCallersReturnFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := closedTable()
		last := closedTime
		for priority := range returnRanks + 1 {
			first, latest := time.Hour, time.Duration(0)
			for range 20 {
				_, err := tb.Await(t.Context(), &Claim{Service: service, Class: ClassOther, Priority: priority, Deadline: time.Now().Add(time.Minute)})
				wait := fault.Of(err).RetryAfter
				first, latest = min(first, wait), max(latest, wait)
			}
			if priority < returnRanks {
				assert.Assert(t, first >= last, "callers of priority %d return from %v on, the more urgent ones until %v", priority, first, last)
			}
			last = latest
		}
		assert.Assert(t, last <= closedTime+returnRanks*returnSpread, "%v", last)
	})
}

// TestRequestWaitsForATargetThatReopensSoon guards against requests that are refused though a target takes
// them in time, and against streams that have begun and are broken off.
func TestRequestWaitsForATargetThatReopensSoon(t *testing.T) {
	for _, c := range []Claim{{Class: ClassOther, Deadline: time.Now().Add(time.Hour)}, {Class: ClassResume}} {
		synctest.Test(t, func(t *testing.T) {
			tb := closedTable()
			c.Service = service
			if c.Class == ClassOther {
				time.Sleep(closedTime - maxReopenWait)
				c.Deadline = time.Now().Add(2 * time.Second)
			}
			for !tb.Take("a:1") {
				_, err := tb.Await(t.Context(), &c)
				assert.NilError(t, err)
			}
		})
	}
}

// TestRequestDoesNotWaitBesideClosedTargets guards against requests that wait until their deadline because the
// only target that is not closed can't be used.
func TestRequestDoesNotWaitBesideClosedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestTable()
		tb.UpdateTargets(twoTargets)
		tb.Close("a:1", "a", closedTime, time.Now())
		begin, c := time.Now(), &Claim{Service: service, Class: ClassOther, Deadline: time.Now().Add(time.Minute)}
		var err error
		for err == nil {
			_, err = tb.Await(t.Context(), c)
		}
		assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
		assert.Assert(t, time.Since(begin) <= time.Second, "waited %v", time.Since(begin))
	})
}

// TestClosingIsThatOfOneStart guards against a target that gets no requests because of what an earlier start,
// or another target at its address, has said.
func TestClosingIsThatOfOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := closedTable()
		tb.ForgetStart("a:1", "a", time.Now())
		assert.Assert(t, tb.Take("a:1"))
		tb.UpdateTargets([]*chicoryv1.ListedTarget{{Address: "b:1", Instance: "b2", Service: service}})
		assert.Assert(t, tb.Take("b:1"))
		time.Sleep(closedTime)
		tb.UpdateTargets(nil)
		assert.Equal(t, len(tb.closed), 0, "closings are kept")
	})
}

// TestTimesOfRefusalsAreBounded guards against a target that is never used again because of a time that can't
// be read or is very long.
func TestTimesOfRefusalsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestTable()
		tb.UpdateTargets(twoTargets)
		for _, invalid := range []time.Duration{-1, math.MinInt64} {
			tb.Close("a:1", "a", invalid, time.Now())
			assert.Assert(t, tb.Take("a:1"))
		}
		tb.Close("a:1", "a", math.MaxInt64, time.Now())
		assert.Assert(t, !tb.Take("a:1"))
		time.Sleep(maxClosedTime)
		assert.Assert(t, tb.Take("a:1"))
	})
}
