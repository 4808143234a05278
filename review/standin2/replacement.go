package main

import (
	"syscall"
	"time"
)

// The times of the case "replacement".
const (
	coreMachines = 3
	catchUp      = 4 * time.Second // bound catch_up_s
	catchUpSlack = 500 * time.Millisecond
	graceTime    = 8 * time.Second // bound grace_s
)

// replacement replaces each core machine by an empty one at another address, one after the other: the
// successor runs for longer than catch_up_s and returns the manifest before the old machine gets SIGTERM. The
// manifest is then read back.
func replacement(b *bed) (bool, error) {
	for range coreMachines {
		b.addKeeper(true)
	}
	if err := b.start(); err != nil {
		return false, err
	}
	o := &operator{b: b}
	for version := range int64(5) {
		if err := b.putManifest(manifest(int(version + 1))); err != nil {
			return false, err
		}
		o.acked.Store(version + 1)
	}
	b.forbidBootstrap()
	b.record.line("version %d is acknowledged", o.acked.Load())
	time.Sleep(catchUp)
	if b.trouble {
		for n := range coreMachines {
			if err := b.replaceKeeper(o, n); err != nil {
				return false, err
			}
		}
	}
	b.record.line("waiting for recover_s")
	time.Sleep(recoverTime)
	broken := o.readBack()
	if err := b.putManifestWithin(manifest(6), recoverTime); err != nil {
		b.record.line("a further manifest: %v", err)
	} else {
		b.record.line("a further manifest was acknowledged")
	}
	return broken, nil
}

// replaceKeeper starts the successor of a core machine and then stops the machine for good.
func (b *bed) replaceKeeper(o *operator, n int) error {
	old, successor := b.keepers[n], b.addKeeper(false)
	if err := successor.start(); err != nil {
		return err
	}
	b.record.line("%s was started, the successor of %s", successor.id, old.id)
	time.Sleep(catchUp + catchUpSlack)
	b.record.line("%s returns version %d", successor.id, b.readManifest(len(b.keepers)-1))
	b.record.line("%s gets SIGTERM and leaves", old.id)
	b.leave(old)
	return nil
}

// leave stops a machine for good.
func (b *bed) leave(p *program) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		b.record.line("%s has ended", p.id)
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.exited
		b.record.line("%s was killed after grace_s", p.id)
	}
}
