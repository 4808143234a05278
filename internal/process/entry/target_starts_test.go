package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

// readEverySecond passes the list to a VM as a control VM reads it, for some seconds.
func (r *routingState) readEverySecond(seconds int, targets ...*chicoryv1.ListedTarget) {
	for range seconds {
		r.SetTargets(targetList(targets...), readNow())
		time.Sleep(observe.ListReadInterval)
	}
}

// TestTargetThatRestartsUnderItsIDIsUsedAgain guards against targets that drain and start again
// under their address and ID, and get no request as long as the VM runs.
func TestTargetThatRestartsUnderItsIDIsUsedAgain(t *testing.T) {
	other := target("2", false)
	for name, restart := range map[string][]*chicoryv1.ListedTarget{
		"listed as leaving while it restarts": {target("1", true), other},
		"missing while it restarts":           {other},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRoutingState()
				r.ApplyDeclaration(declaration(3), "c1")
				for range 3 {
					r.readEverySecond(2, target("1", false), other)
					r.readEverySecond(1, restart...)
					assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
					r.readEverySecond(3, target("1", false), other)
					assert.DeepEqual(t, r.instancesInUse(), []string{"1", "2"})
				}
			})
		})
	}
}

// TestRestartedTargetDrainsAgain guards against the end of one exclusion that ends a later one: the
// second drain of a target under the same ID.
func TestRestartedTargetDrainsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ApplyDeclaration(declaration(3), "c1")
		r.readEverySecond(2, target("1", true))
		r.readEverySecond(3, target("1", false))
		assert.DeepEqual(t, r.instancesInUse(), []string{"1"})
		before := readNow()
		time.Sleep(time.Second)
		r.readEverySecond(1, target("1", true))
		assert.Equal(t, len(r.instancesInUse()), 0)
		r.SetTargets(targetList(target("1", false)), before)
		assert.Equal(t, len(r.instancesInUse()), 0, "the list was read before the second drain")
	})
}

// TestOlderListBringsNoLeavingTargetBack guards against requests to a leaving target because of a
// list that was read before: by another control VM, one that was paused, or this VM.
func TestOlderListBringsNoLeavingTargetBack(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRoutingState()
				r.ApplyDeclaration(declaration(3), "c1")
				old := readNow()
				time.Sleep(age)
				r.readEverySecond(8, target("1", true), target("2", false))
				r.readEverySecond(8, target("2", false))
				r.SetTargets(targetList(target("1", false)), old)
				assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
				// The time of another VM's read may be estimated too late.
				r.readEverySecond(1, target("1", true), target("2", false))
				late := observe.Reading{Began: time.Now(), Ended: time.Now()}
				r.SetTargets(targetList(target("1", false), target("2", false)), late)
				assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
			})
		})
	}
}

// TestRestartedTargetBeginsWithoutTheEarlierLimit guards against a target that is kept from requests
// for as long as its earlier start under the same ID would have been.
func TestRestartedTargetBeginsWithoutTheEarlierLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ApplyDeclaration(declaration(3), "c1")
		r.readEverySecond(2, target("1", false))
		r.limits.Observe("t-1", "1", 0.01, time.Now())
		assert.Assert(t, !r.limits.Take("t-1"))
		r.readEverySecond(2, target("1", true))
		r.readEverySecond(3, target("1", false))
		assert.Assert(t, r.limits.Take("t-1"))

		r.limits.Observe("t-1", "1", 0.01, time.Now())
		r.readEverySecond(3, target("1", false))
		assert.Assert(t, !r.limits.Take("t-1"), "the limit of the same start holds")
	})
}

// TestRestartedEngineHoldsNoPrompts guards against streams that are placed on an engine for a prompt
// that its earlier start under the same ID held.
func TestRestartedEngineHoldsNoPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ApplyDeclaration(declaration(3), "c1")
		r.AddPromptLocations([]*chicoryv1.PromptPlace{{Prompt: "p", Address: "t-1", Instance: "1"}}, true)
		unread := func() uint32 {
			run, err := r.engines.Place(placement.PlaceRequest{Service: "desk", Prompt: "p", Size: placement.Size{Prompt: 100, Output: 10}})
			assert.NilError(t, err)
			loads, _ := r.engines.LocalState(true)
			run.Release()
			return loads[0].GetUnread()
		}
		r.readEverySecond(2, target("1", false))
		assert.Equal(t, unread(), uint32(0), "known before the list")
		r.readEverySecond(2, target("1", true))
		r.readEverySecond(3, target("1", false))
		assert.Equal(t, unread(), uint32(100))
	})
}

// TestExclusionsAreLimited checks that a VM keeps nothing of starts that left the list long ago.
func TestExclusionsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ApplyDeclaration(declaration(3), "c1")
		for i := range 1000 {
			r.readEverySecond(1, target(fmt.Sprint(i), true), target(fmt.Sprint(i+1), false))
		}
		limit := 2 + int(removedTargetRetention/observe.ListReadInterval)
		assert.Assert(t, len(r.starts.excluded) <= limit, "%d exclusions", len(r.starts.excluded))
		assert.Equal(t, r.excludedTargets(), int64(1))
	})
}
