package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// decoder reads configurations whose document is their version.
type decoder struct{}

func (decoder) DecodeConfiguration(document []byte) (*declared.Configuration, error) {
	if len(document) != 1 {
		return nil, fault.New(fault.PlanRejected, "not one byte")
	}
	return &declared.Configuration{
		Version:  uint64(document[0]),
		Services: []declared.Service{{Name: "desk"}},
	}, nil
}

func testRoster() *roster {
	engines := placement.NewEngines(placement.Defaults(), "a")
	return newRoster(decoder{}, engines, newBudgets(Defaults().Retry, metrics.NewRegistry()), logging.Discard())
}

func declaration(version byte) *chicoryv1.Declaration {
	return &chicoryv1.Declaration{Version: uint64(version), Document: []byte{version}}
}

func listOf(targets ...*chicoryv1.ListedTarget) *chicoryv1.TargetList {
	return &chicoryv1.TargetList{Targets: targets}
}

func target(instance string, leaving bool) *chicoryv1.ListedTarget {
	return &chicoryv1.ListedTarget{Address: "t-" + instance, Instance: instance, Service: "desk", Leaving: leaving}
}

// inForce returns the instances that calls may go to.
func (r *roster) inForce() []string {
	var out []string
	for _, t := range r.targets.Current().Raw().GetTargets() {
		out = append(out, t.GetInstance())
	}
	return out
}

func TestReadyOnceConfigurationAndListAreKnown(t *testing.T) {
	r := testRoster()
	ready, _ := r.ready()
	assert.Assert(t, !ready)
	r.Targets(listOf(target("1", false)))
	ready, _ = r.ready()
	assert.Assert(t, !ready)
	r.Declaration(declaration(3), "c1")
	ready, reason := r.ready()
	assert.Assert(t, ready, reason)
	<-r.started
}

// TestLeavingTargetNeverComesBack: feeds lag behind each other, so an older list may
// come after a newer one.
func TestLeavingTargetNeverComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRoster()
		r.Declaration(declaration(3), "c1")
		r.Targets(listOf(target("1", false), target("2", false)))
		assert.DeepEqual(t, r.inForce(), []string{"1", "2"})
		r.Targets(listOf(target("1", true), target("2", false)))
		assert.DeepEqual(t, r.inForce(), []string{"2"})
		r.Targets(listOf(target("1", false), target("2", false)))
		assert.DeepEqual(t, r.inForce(), []string{"2"})
		r.Targets(listOf(target("1", false)))
		r.Targets(listOf(target("1", false), target("2", false)))
		assert.Equal(t, len(r.inForce()), 0, "what left the list stays out as well")
		time.Sleep(goneMemory + time.Second)
		r.Targets(listOf(target("2", false)))
		assert.DeepEqual(t, r.inForce(), []string{"2"}) // but not for ever
	})
}

func TestOlderAndUnreadableDeclarationsChangeNothing(t *testing.T) {
	r := testRoster()
	r.Declaration(declaration(5), "c1")
	r.Declaration(declaration(4), "c2")
	r.Declaration(&chicoryv1.Declaration{Version: 9, Document: []byte("no")}, "c3")
	assert.Equal(t, r.Version(), uint64(5))
}

func TestTargetsOfUnknownServicesAreLeftOut(t *testing.T) {
	r := testRoster()
	r.Declaration(declaration(5), "c1")
	other := target("9", false)
	other.Service = "another"
	r.Targets(listOf(target("1", false), other))
	assert.DeepEqual(t, r.inForce(), []string{"1"})
}

func TestListIsStaleWithoutWordOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRoster()
		r.Fresh()
		assert.Assert(t, !r.isStale())
		time.Sleep(3 * time.Second)
		assert.Assert(t, r.isStale())
	})
}
