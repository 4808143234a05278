package keeper

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// startSingleReplica runs a replica that has only itself as a seed, on an in-memory
// disk.
func startSingleReplica(t *testing.T, d *disktest.Disk) (*replica, *DeclarationStore) {
	t.Helper()
	const address = settings.Address("127.0.0.1:9000")
	r := newReplica(Settings{
		OperatorAddress: address, PeerPort: 9001, Seeds: []settings.Address{address}, MayFound: true, DataFolder: "data",
	}, d.Mount(), logging.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		r.run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, newDeclarationStore(r, logging.Discard())
}

func eventually(t *testing.T, f func() error) {
	t.Helper()
	var err error
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

func TestOlderDeclarationsDoNotReplaceNewer(t *testing.T) {
	_, d := startSingleReplica(t, disktest.New())
	eventually(t, func() error { return d.Declare(t.Context(), 5, []byte("five")) })
	assert.NilError(t, d.Declare(t.Context(), 4, []byte("four")), "an older version is confirmed")
	assert.NilError(t, d.Declare(t.Context(), 5, []byte("other")), "another document of the same version is confirmed")
	latest, err := d.Latest(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(latest.GetDocument()), "five")
	_, ok := d.remoteLeader()
	assert.Assert(t, !ok, "this VM leads")
}

// A disk failure stops this VM's replica of the log but not the process, and confirmed
// declarations are still there when the disk works again.
func TestReplicaReopensAfterDiskFailure(t *testing.T) {
	disk := disktest.New()
	r, d := startSingleReplica(t, disk)
	eventually(t, func() error { return d.Declare(t.Context(), 5, []byte("five")) })
	disk.SetFaults(disktest.Faults{FailSync: true})
	err := d.Declare(t.Context(), 6, []byte("six"))
	assert.Assert(t, err != nil)
	eventually(t, func() error {
		if _, _, err := r.current(); err == nil {
			return fault.New(fault.Internal, "the replica is still running")
		}
		return nil
	})
	latest, _ := r.declaration()
	assert.Equal(t, string(latest.GetDocument()), "five", "the declaration stays available while the disk fails")
	disk.SetFaults(disktest.Faults{})
	eventually(t, func() error {
		latest, err := d.Latest(t.Context())
		if err != nil {
			return err
		}
		assert.Assert(t, latest.GetVersion() >= 5)
		return nil
	})
}
