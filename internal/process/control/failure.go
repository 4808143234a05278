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
	// lockFileName is the file in the data folder that a running process keeps locked.
	lockFileName = "lock"
	lockFileMode = 0o600
	folderMode   = 0o700
	// failureCheckInterval is how often the replicated log is checked for a failure.
	failureCheckInterval = 500 * time.Millisecond
)

// lockDataFolder prevents other processes from using the data folder until the returned
// file is closed or the process ends.
func lockDataFolder(folder string) (*os.File, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fault.New(fault.StorageFailed, "data folder: %v", err)
	}
	f, err := os.OpenFile(filepath.Join(folder, lockFileName), os.O_CREATE|os.O_RDWR, lockFileMode)
	if err != nil {
		return nil, fault.New(fault.StorageFailed, "data folder: %v", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fault.New(fault.StorageFailed, "the data folder %s is used by another process: %v", folder, err)
	}
	return f, nil
}

// Failed receives the reason when the process can't continue, such as a failed disk.
func (p *Process) Failed() <-chan error {
	return p.failed
}

// watchNodeFailure sends a failure of the replicated log to p.failed. Only a restart,
// which reads the disk again, recovers from it.
func (p *Process) watchNodeFailure() {
	defer p.tasks.Done()
	for p.ctx.Err() == nil {
		if err := p.node.Status().Err; err != nil {
			p.failed <- errors.Trace(err)
			return
		}
		pause.For(p.ctx, failureCheckInterval)
	}
}
