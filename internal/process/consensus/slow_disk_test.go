package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

// TestLeaderStepsDownWhenSyncHangs gives the leader a disk whose sync takes 20 s: calls must
// return and another replica must lead long before the sync does.
func TestLeaderStepsDownWhenSyncHangs(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(t)
		c.disks[old].SetFaults(disktest.Faults{SyncDelay: func() time.Duration { return 20 * time.Second }})
		began := time.Now()
		assert.NilError(t, c.net.node(old).propose("committed by the others "))
		err := c.net.node(old).propose("behind the hanging sync ")
		assert.Assert(t, fault.Is(err, fault.NoQuorum) || fault.Is(err, fault.NotLeader), "%v", err)
		next := c.leader(t, old)
		assert.Assert(t, time.Since(began) < 3*time.Second, "another leader after %v", time.Since(began))
		assert.NilError(t, c.net.node(next).propose("x "))
		assert.Equal(t, c.states[next].read(), "committed by the others x ")
	})
}
