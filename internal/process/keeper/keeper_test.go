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

// startLone runs one replica that is its own only seed, on a disk in memory.
func startLone(t *testing.T, d *disktest.Disk) (*replica, *Declarations) {
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
	return r, newDeclarations(r, logging.Discard())
}

func await(t *testing.T, f func() error) {
	t.Helper()
	var err error
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

func TestDeclarationsAreKeptByTheirVersion(t *testing.T) {
	_, d := startLone(t, disktest.New())
	await(t, func() error { return d.Declare(t.Context(), 5, []byte("five")) })
	assert.NilError(t, d.Declare(t.Context(), 4, []byte("four")), "an older one is confirmed")
	assert.NilError(t, d.Declare(t.Context(), 5, []byte("other")), "another document as well")
	newest, err := d.Newest(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(newest.GetDocument()), "five")
	_, ok := d.leader()
	assert.Assert(t, !ok, "this one leads")
}

// TestFailedDiskIsOpenedAgain: a disk that fails costs the VM its part in the log, not
// its process, and what was confirmed is there when it works again.
func TestFailedDiskIsOpenedAgain(t *testing.T) {
	disk := disktest.New()
	r, d := startLone(t, disk)
	await(t, func() error { return d.Declare(t.Context(), 5, []byte("five")) })
	disk.SetFaults(disktest.Faults{FailSync: true})
	err := d.Declare(t.Context(), 6, []byte("six"))
	assert.Assert(t, err != nil)
	await(t, func() error {
		if _, _, err := r.current(); err == nil {
			return fault.New(fault.Internal, "the replica still runs")
		}
		return nil
	})
	newest, _ := r.declaration()
	assert.Equal(t, string(newest.GetDocument()), "five", "feeds go on")
	disk.SetFaults(disktest.Faults{})
	await(t, func() error {
		newest, err := d.Newest(t.Context())
		if err != nil {
			return err
		}
		assert.Assert(t, newest.GetVersion() >= 5)
		return nil
	})
}
