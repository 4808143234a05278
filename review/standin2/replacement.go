package main

import (
	"os"
	"strings"
	"syscall"
	"time"
)

// The machines and times of the case "replacement".
const (
	coreMachines = 5
	spares       = 3
	catchUp      = 4 * time.Second // bound catch_up_s
	catchUpSlack = 500 * time.Millisecond
	leaveGap     = time.Second
	graceTime    = 8 * time.Second // bound grace_s
)

// replacement replaces three core machines by empty ones at other addresses: the successors run for longer
// than catch_up_s and return the manifest before the old machines get SIGTERM. A fourth machine then loses
// its disk. The manifest is read back.
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
		if err := b.replaceKeepers(); err != nil {
			return false, err
		}
		if err := b.loseDisk(b.keepers[spares]); err != nil {
			return false, err
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

// replaceKeepers starts the successors of the first core machines and then stops those for good.
func (b *bed) replaceKeepers() error {
	for n := range spares {
		successor := b.addKeeper(false)
		if err := successor.start(); err != nil {
			return err
		}
		b.record.line("%s was started, the successor of %s", successor.id, b.keepers[n].id)
	}
	time.Sleep(catchUp + catchUpSlack)
	for n := coreMachines; n < len(b.keepers); n++ {
		b.record.line("%s returns version %d", b.keepers[n].id, b.readManifest(n))
	}
	for n := range spares {
		b.record.line("%s gets SIGTERM and leaves", b.keepers[n].id)
		b.leave(b.keepers[n])
		time.Sleep(leaveGap)
	}
	return nil
}

// loseDisk ends a machine, which is back after the restart delay with an empty disk.
func (b *bed) loseDisk(p *program) error {
	p.kill()
	if err := os.RemoveAll(b.dataFolder(p.id)); err != nil {
		return err
	}
	b.record.line("%s was killed and has lost its disk", p.id)
	if err := b.renewSeeds(p); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	b.record.line("%s is started again", p.id)
	return p.start()
}

// renewSeeds writes settings in which the seeds are core machines that run.
func (b *bed) renewSeeds(p *program) error {
	file := p.command[len(p.command)-1]
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(strings.Replace(string(text), b.seeds(0), b.seeds(coreMachines), 1)), 0o600)
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
