package main

import (
	"syscall"
	"time"
)

// The times of the case "founding".
const (
	startSpread = 300 * time.Millisecond // all machines start within this time
	killAfter   = 250 * time.Millisecond
	operateTime = 30 * time.Second
)

// founding starts the system for the first time. The control process that started first is killed before the
// last one has started, and starts again as the platform does it. The operator then sends the first manifest,
// and reads it back.
func founding(b *bed) (bool, error) {
	for range coreMachines {
		b.addKeeper(true)
	}
	if err := b.keepers[0].start(); err != nil {
		return false, err
	}
	b.record.line("core-1 was started")
	if b.trouble {
		time.Sleep(killAfter)
		b.keepers[0].signal(syscall.SIGKILL)
		<-b.keepers[0].exited
		b.record.line("core-1 was killed")
		time.Sleep(startSpread - killAfter)
	} else {
		time.Sleep(startSpread)
	}
	for n := 1; n < coreMachines; n++ {
		if err := b.keepers[n].start(); err != nil {
			return false, err
		}
		b.record.line("core-%d was started", n+1)
	}
	if b.trouble {
		time.Sleep(restartDelay)
		b.forbidBootstrap() // the system doesn't start for the first time any more
		if err := b.keepers[0].start(); err != nil {
			return false, err
		}
		b.record.line("core-1 was started again, with its disk folder")
	}
	o := &operator{b: b}
	err := b.putManifestWithin(manifest(1), operateTime)
	switch {
	case err != nil:
		b.record.line("the first manifest: %v", err)
	default:
		b.record.line("the first manifest is acknowledged")
		o.acked.Store(1)
	}
	return o.readBack(), nil
}
