package paths_test

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// isOpen reports whether a connection may carry another request.
func isOpen(c net.Conn) bool { return c.(interface{ IsOpen() bool }).IsOpen() }

// cutOffThisVM makes all targets refuse this VM, and waits until it uses other VMs.
func cutOffThisVM(t *testing.T, n *network, table *paths.Table) {
	t.Helper()
	n.set(refuses, targets...)
	assertServed(t, table)
	time.Sleep(time.Second)
}

// TestConnectionThatIsClosedTwiceCountsOnce guards against a helper that seems to have fewer
// connections than it has, and gets more than its share of further ones.
func TestConnectionThatIsClosedTwiceCountsOnce(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.others = peers[:3]
		cutOffThisVM(t, n, table)
		var open []net.Conn
		for range 20 {
			c, err := table.Dial(t.Context(), "tcp", "t1:1")
			assert.NilError(t, err)
			open = append(open, c)
		}
		for range 10 { // only the first time counts
			_ = open[0].Close()
		}
		before := n.openedThrough()
		for range 20 {
			c, err := table.Dial(t.Context(), "tcp", "t1:1")
			assert.NilError(t, err)
			open = append(open, c)
		}
		a2, a3 := n.openedThrough()["a2:1"]-before["a2:1"], n.openedThrough()["a3:1"]-before["a3:1"]
		assert.Assert(t, max(a2, a3)-min(a2, a3) <= 2, "%d and %d connections", a2, a3)
		for _, c := range open {
			_ = c.Close()
		}
	})
}

func (n *network) openedThrough() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := map[string]int{}
	for helper, opened := range n.opened {
		counts[helper] = opened
	}
	return counts
}

// TestHelperWithoutRoomKeepsItsConnections guards against connections that work and are given up
// since their helper takes no further one, and against requests that wait for such helpers.
func TestHelperWithoutRoomKeepsItsConnections(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		cutOffThisVM(t, n, table)
		kept, err := table.Dial(t.Context(), "tcp", "t1:1")
		assert.NilError(t, err)
		full := fault.New(fault.Overloaded, "128 connections are relayed already")
		n.mu.Lock()
		n.refusals["a2:1"], n.refusals["a3:1"] = full, full
		n.mu.Unlock()
		for range 3 {
			assertServed(t, table)
		}
		assert.Assert(t, isOpen(kept))
		assert.NilError(t, kept.Close())
	})
}

// TestTargetThatWantsNothingFromAHelperIsReachedThroughOthers guards against a helper that is not asked for
// other targets because one target wants no further requests from it, against a target that is taken for
// down for that reason, and against a VM that takes itself for isolated.
func TestTargetThatWantsNothingFromAHelperIsReachedThroughOthers(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.others = peers[:3]
		cutOffThisVM(t, n, table)
		closed := fault.New(fault.NoTarget, "target t1:1 wants no further requests from this VM")
		setClosed := func(helper string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.targetRefusals[[2]string{helper, "t1:1"}] = closed
		}
		setClosed("a2:1")
		for range 5 {
			assertServed(t, table)
		}
		setClosed("a3:1")
		kept, err := table.Dial(t.Context(), "tcp", "t2:1")
		assert.NilError(t, err)
		for range 5 {
			took, err := connect(t, table, "t1:1")
			var failed *paths.DialError
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Equal(t, failed.Reach, paths.ReachUnknown)
			assert.Assert(t, !failed.Isolated)
			assert.Assert(t, took <= objective, "refused after %v", took)
			assert.Equal(t, table.Blame(t.Context(), "t1:1", time.Now(), err), paths.BlamePath)
			for _, address := range targets[1:] {
				_, err = connect(t, table, address)
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, isOpen(kept))
		assert.Assert(t, table.CanReachTargets())
		assert.NilError(t, kept.Close())
	})
}

// TestConnectionsOfAHelperThatStopsAreNotUsedAgain guards against requests that are sent through a VM
// that is about to stop.
func TestConnectionsOfAHelperThatStopsAreNotUsedAgain(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.others = peers[:2]
		cutOffThisVM(t, n, table)
		kept, err := table.Dial(t.Context(), "tcp", "t1:1")
		assert.NilError(t, err)
		n.mu.Lock()
		n.refusals["a2:1"] = fault.New(fault.Draining, "the entry VM is shutting down")
		n.mu.Unlock()
		_, err = connect(t, table, "t2:1")
		assert.Assert(t, err != nil)
		assert.Assert(t, !isOpen(kept))
		assert.NilError(t, kept.Close())
	})
}

// Sizes of a large deployment of which most of one availability zone is cut off.
const (
	largeZones       = 5
	largeEntryVMs    = 191
	largeCutOff      = 30
	connectionsPerVM = 40
	// maxLoadFactor is the largest load of a helper, as a multiple of the mean of all.
	maxLoadFactor = 3
)

// TestLoadOfHelpersIsSpread guards against a few VMs that carry the connections of most VMs of an
// availability zone.
func TestLoadOfHelpersIsSpread(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("cut_VMs_known_%t", known), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSpread(t, known) })
		})
	}
}

func testSpread(t *testing.T, known bool) {
	n := newNetwork()
	defer func() {
		n.close()
		time.Sleep(2 * time.Second) // dials, checks and timers that are still running end
	}()
	n.set(refuses, targets...)
	n.others = nil
	for i := range largeEntryVMs {
		id := fmt.Sprintf("entry-%d", i)
		n.others = append(n.others, feed.Peer{ID: id, PeerAddress: id + ":1", AvailabilityZone: fmt.Sprint(i % largeZones)})
	}
	var cut []feed.Peer
	for _, p := range n.others {
		if p.AvailabilityZone == "0" && len(cut) < largeCutOff {
			cut = append(cut, p)
			n.cutOff[p.PeerAddress] = known
			n.refusals[p.PeerAddress] = fault.New(fault.NotReady, "no path")
		}
	}
	var open []net.Conn
	for _, p := range cut {
		table := n.tableOf(p.ID, p.AvailabilityZone)
		defer table.Close()
		open = append(open, dialMany(t, table)...)
	}
	total, most, sound := 0, 0, largeEntryVMs-largeCutOff
	for _, opened := range n.openedThrough() {
		total, most = total+opened, max(most, opened)
	}
	assert.Assert(t, most*sound <= maxLoadFactor*total, "one VM carries %d connections, the mean is %.1f", most, float64(total)/float64(sound))
	for _, c := range open {
		assert.NilError(t, c.Close())
	}
}

func dialMany(t *testing.T, table *paths.Table) []net.Conn {
	t.Helper()
	var open []net.Conn
	for i := range connectionsPerVM {
		c, err := table.Dial(t.Context(), "tcp", targets[i%len(targets)])
		assert.NilError(t, err)
		open = append(open, c)
	}
	return open
}
