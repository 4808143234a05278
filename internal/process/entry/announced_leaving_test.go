package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// newAnnouncedState returns a state whose list shows targets 1 and 2 as ready, and target 1 has announced that
// it leaves.
func newAnnouncedState() *routingState {
	r := newTestRoutingState()
	r.ApplyDeclaration(declaration(3), "c1")
	r.readEverySecond(2, target("1", false), target("2", false))
	r.announceLeaving("t-1", "1")
	return r
}

// TestTargetThatAnnouncesItLeavesGetsNoRequests guards against requests to a target that has said in a
// response that it leaves, because lists show it as ready or the configuration changes (DRAIN).
func TestTargetThatAnnouncesItLeavesGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAnnouncedState()
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
		for version := range byte(30) {
			r.readEverySecond(1, target("1", false), target("2", false))
			r.ApplyDeclaration(declaration(4+version), "c1")
			assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
		}
		r.readEverySecond(1, target("1", false), target("2", false), target("3", false))
		assert.DeepEqual(t, r.instancesInUse(), []string{"2", "3"})
	})
}

// TestLastTargetsThatLeaveAreUsedForTheDrainTime guards against requests that are refused while the only
// targets of their service still serve, and against requests later than that (DRAIN).
func TestLastTargetsThatLeaveAreUsedForTheDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAnnouncedState()
		time.Sleep(time.Second)
		r.announceLeaving("t-2", "2")
		assert.DeepEqual(t, r.instancesInUse(), []string{"1", "2"})
		time.Sleep(r.drainTime - time.Second)
		synctest.Wait()
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
		r.announceLeaving("t-2", "2") // says so in each response
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(r.instancesInUse()), 0)
		r.readEverySecond(3, target("1", false), target("2", false))
		assert.Equal(t, len(r.instancesInUse()), 0)
	})
}

// TestAnnouncedTargetThatRestartsIsUsedAgain guards against a target that has announced that it leaves, starts
// again under its address and ID, and gets no request as long as the VM runs.
func TestAnnouncedTargetThatRestartsIsUsedAgain(t *testing.T) {
	for name, during := range map[string][]*chicoryv1.ListedTarget{
		"listed as leaving": {target("1", true), target("2", false)},
		"missing":           {target("2", false)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newAnnouncedState()
				for range 3 {
					r.readEverySecond(3, during...)
					assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
					r.readEverySecond(4, target("1", false), target("2", false))
					assert.DeepEqual(t, r.instancesInUse(), []string{"1", "2"})
					before := readNow()
					time.Sleep(time.Second)
					r.announceLeaving("t-1", "1")
					r.SetTargets(targetList(target("1", false), target("2", false)), before)
					assert.DeepEqual(t, r.instancesInUse(), []string{"2"}) // the new start leaves as well
				}
			})
		})
	}
}

// TestAnnouncementOutlastsTheListOfTheEarlierStart guards against requests to a target that restarted and has
// announced already that it leaves again, when the list still shows the restart (DRAIN).
func TestAnnouncementOutlastsTheListOfTheEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAnnouncedState()
		r.readEverySecond(2, target("1", true), target("2", false))
		time.Sleep(2 * time.Second)
		r.announceLeaving("t-1", "1")
		r.readEverySecond(2, target("1", false), target("2", false))
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
	})
}

// healthyFrom is a target that answers that it is healthy from some time on.
type healthyFrom struct {
	at     time.Time
	checks int
}

func (h *healthyFrom) CheckHealth(context.Context, string, string) (instance string, healthy bool, err error) {
	h.checks++
	return "1", !time.Now().Before(h.at), nil
}

// TestRestartThatNoListShowsIsFoundByHealthChecks guards against a target that has announced that it leaves,
// starts again before a list shows anything, and gets no request as long as the VM runs. Checks are few.
func TestRestartThatNoListShowsIsFoundByHealthChecks(t *testing.T) {
	const restart, limit = 20 * time.Second, 40 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := newAnnouncedState()
		ctx, stop := context.WithCancel(t.Context())
		checker := &healthyFrom{at: time.Now().Add(restart)}
		go r.checkLeavingTargets(ctx, checker)
		r.readEverySecond(int(restart/time.Second)-1, target("1", false), target("2", false))
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
		r.readEverySecond(int((limit-restart)/time.Second), target("1", false), target("2", false))
		assert.DeepEqual(t, r.instancesInUse(), []string{"1", "2"})
		assert.Assert(t, checker.checks <= 5, "%d checks", checker.checks)
		stop()
		synctest.Wait()
	})
}

// TestServiceWithoutOtherTargetsIsServedSoonAfterTheirRestart guards against a service that is not served for
// long after its targets have announced that they leave and have started again before a list shows anything.
func TestServiceWithoutOtherTargetsIsServedSoonAfterTheirRestart(t *testing.T) {
	const restart = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ApplyDeclaration(declaration(3), "c1")
		r.readEverySecond(2, target("1", false))
		r.announceLeaving("t-1", "1")
		ctx, stop := context.WithCancel(t.Context())
		go r.checkLeavingTargets(ctx, &healthyFrom{at: time.Now().Add(restart)})
		r.readEverySecond(int(restart/time.Second)-1, target("1", false))
		assert.Equal(t, len(r.instancesInUse()), 0)
		r.readEverySecond(3, target("1", false))
		assert.DeepEqual(t, r.instancesInUse(), []string{"1"})
		stop()
		synctest.Wait()
	})
}

// TestVMRelaysNoRequestsThatItsTargetsDoNotWant guards against requests of other VMs to a target that wants
// none from this VM, for a time or because it leaves (DRAIN, BUDGET).
func TestVMRelaysNoRequestsThatItsTargetsDoNotWant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAnnouncedState()
		assert.Assert(t, !r.takesRequests("t-1"))
		assert.Assert(t, r.takesRequests("t-2"))
		r.limits.Close("t-2", "2", 5*time.Second, time.Now())
		assert.Assert(t, !r.takesRequests("t-2"))
		time.Sleep(5 * time.Second)
		assert.Assert(t, r.takesRequests("t-2"))
	})
}
