package control

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

const (
	// lockName is the file in the data folder that the running process keeps locked.
	lockName   = "lock"
	lockMode   = 0o600
	folderMode = 0o700
	// failurePeriod is how often it is looked whether the replicated log has failed.
	failurePeriod = 500 * time.Millisecond
)

// lockFolder keeps other processes off the data folder until the file is closed or
// the process ends.
func lockFolder(folder string) (*os.File, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fault.New(fault.StorageFailed, "data folder: %v", err)
	}
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, lockMode)
	if err != nil {
		return nil, fault.New(fault.StorageFailed, "data folder: %v", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fault.New(fault.StorageFailed, "the data folder %s is used by another process: %v", folder, err)
	}
	return f, nil
}

// Failed receives the reason when the process can't go on, as after a failed disk.
func (p *Process) Failed() <-chan error {
	return p.failed
}

// watchNode tells of a failure of the replicated log. Only a new start, which reads
// the disk again, mends it.
func (p *Process) watchNode() {
	defer p.tasks.Done()
	for p.ctx.Err() == nil {
		if err := p.node.Status().Failed; err != nil {
			p.failed <- errors.Trace(err)
			return
		}
		pause.For(p.ctx, failurePeriod)
	}
}
