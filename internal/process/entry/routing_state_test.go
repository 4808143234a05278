package entry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// decoder decodes documents that consist of one byte, their version.
type decoder struct{}

func (decoder) DecodeConfiguration(document []byte) (*declared.Configuration, error) {
	if len(document) != 1 {
		return nil, fault.New(fault.PlanRejected, "document is not one byte")
	}
	return &declared.Configuration{
		Version:  uint64(document[0]),
		Services: []declared.Service{{Name: "desk"}},
	}, nil
}

func newTestRoutingState() *routingState {
	engines := placement.NewEngineTable(placement.Defaults(), "a", request.Unlimited{})
	suspects := quarantine.NewTable(quarantine.Options{Random: func() float64 { return 0 }})
	limits := ratelimit.NewTable(ratelimit.Options{EntryVMs: 20, Logger: logging.Discard(), Registry: metrics.NewRegistry()})
	return newRoutingState(decoder{}, engines, suspects, limits, newRetryBudgets(Defaults().Retry, metrics.NewRegistry()), Defaults().DrainTime.Std(), logging.Discard())
}

func declaration(version byte) *chicoryv1.Declaration {
	return &chicoryv1.Declaration{Version: uint64(version), Document: []byte{version}}
}

func targetList(targets ...*chicoryv1.ListedTarget) *chicoryv1.TargetList {
	return &chicoryv1.TargetList{Targets: targets}
}

func target(instance string, leaving bool) *chicoryv1.ListedTarget {
	return &chicoryv1.ListedTarget{Address: "t-" + instance, Instance: instance, Service: "desk", Leaving: leaving}
}

// readNow returns the time of a read that takes no time.
func readNow() observe.Reading { return observe.Reading{Began: time.Now(), Ended: time.Now()} }

// instancesInUse returns the instances that calls may be sent to.
func (r *routingState) instancesInUse() []string {
	var out []string
	for _, t := range r.targets.Current().Raw().GetTargets() {
		out = append(out, t.GetInstance())
	}
	return out
}

func TestReadyOnceConfigurationAndTargetListAreKnown(t *testing.T) {
	r := newTestRoutingState()
	ready, _ := r.ready()
	assert.Assert(t, !ready)
	r.SetTargets(targetList(target("1", false)), readNow())
	ready, _ = r.ready()
	assert.Assert(t, !ready)
	r.ApplyDeclaration(declaration(3), "c1")
	ready, reason := r.ready()
	assert.Assert(t, ready, reason)
	<-r.initialized
}

// Feeds lag behind each other, so an older list may arrive after a newer one. A target
// that was seen leaving must not be used again because of it.
func TestLeavingTargetStaysExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ApplyDeclaration(declaration(3), "c1")
		r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
		assert.DeepEqual(t, r.instancesInUse(), []string{"1", "2"})
		r.SetTargets(targetList(target("1", true), target("2", false)), readNow())
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
		r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"})
		r.SetTargets(targetList(target("1", false)), readNow())
		r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
		assert.Equal(t, len(r.instancesInUse()), 0, "removed targets stay excluded as well")
		time.Sleep(removedTargetRetention + time.Second)
		r.SetTargets(targetList(target("2", false)), readNow())
		assert.DeepEqual(t, r.instancesInUse(), []string{"2"}) // excluded only for removedTargetRetention
	})
}

func TestOlderAndInvalidDeclarationsAreIgnored(t *testing.T) {
	r := newTestRoutingState()
	r.ApplyDeclaration(declaration(5), "c1")
	r.ApplyDeclaration(declaration(4), "c2")
	r.ApplyDeclaration(&chicoryv1.Declaration{Version: 9, Document: []byte("no")}, "c3")
	assert.Equal(t, r.DeclaredVersion(), uint64(5))
}

func TestTargetsOfUnknownServicesAreExcluded(t *testing.T) {
	r := newTestRoutingState()
	r.ApplyDeclaration(declaration(5), "c1")
	other := target("9", false)
	other.Service = "another"
	r.SetTargets(targetList(target("1", false), other), readNow())
	assert.DeepEqual(t, r.instancesInUse(), []string{"1"})
}

func TestTargetListBecomesStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoutingState()
		r.ConfirmTargets()
		assert.Assert(t, !r.isListStale())
		time.Sleep(3 * time.Second)
		assert.Assert(t, r.isListStale())
	})
}

// TestEachListChangeIsLogged checks that a change of the target list is logged when a feed
// delivers it, and not only when this VM reads the platform's list itself: without the line,
// the log doesn't show why a request found no target.
func TestEachListChangeIsLogged(t *testing.T) {
	r := newTestRoutingState()
	var log bytes.Buffer
	r.logger = logging.New(&log, "entry", "e1")
	lines := func() int { return strings.Count(log.String(), "event=target_list_changed") }

	r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
	assert.Equal(t, lines(), 1)
	r.SetTargets(targetList(target("1", false), target("2", false)), readNow())
	assert.Equal(t, lines(), 1, "the second feed delivers the same list")
	r.SetTargets(targetList(target("1", true), target("2", false)), readNow())
	assert.Equal(t, lines(), 2)
	r.SetTargets(targetList(target("2", false)), readNow())
	assert.Equal(t, lines(), 3)
	for _, want := range []string{"added=2", "leaving=1", "removed=1"} {
		assert.Assert(t, strings.Contains(log.String(), want), "%q is missing in\n%s", want, log.String())
	}
}
