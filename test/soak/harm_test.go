package soak

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// injectFaults executes a plan. It returns when all faults have been undone.
func (tb *testbed) injectFaults(ctx context.Context, plan []plannedFault) {
	var steps sync.WaitGroup
	for _, f := range plan {
		steps.Go(func() {
			if !pause.For(ctx, f.at) {
				return
			}
			switch {
			case f.keeper >= 0:
				tb.injectVMFault(ctx, tb.keepers[f.keeper], f)
			case f.entry >= 0:
				tb.injectVMFault(ctx, tb.entries[f.entry], f)
			case f.target >= 0:
				tb.injectTargetFault(ctx, tb.targets[f.target], f)
			default:
				end := tb.history.beginFault(f.kind, "list")
				tb.list.SetDown(true)
				pause.For(ctx, f.duration)
				tb.list.SetDown(false)
				end()
			}
		})
	}
	steps.Wait()
}

func (tb *testbed) injectVMFault(ctx context.Context, m *vm, f plannedFault) {
	end := tb.history.beginFault(f.kind, m.id)
	defer end()
	if f.programs != "" {
		m.setPrograms(f.programs)
	}
	switch f.kind {
	case faultPause:
		m.signal(syscall.SIGSTOP)
		pause.For(ctx, f.duration)
		m.signal(syscall.SIGCONT)
	case faultReload:
		m.signal(syscall.SIGHUP)
	case faultKill, faultWipe, faultTornRecord, faultStop, faultStopKill:
		tb.terminateVM(ctx, m, f)
		pause.For(ctx, f.duration)
		if err := m.start(); err != nil {
			tb.history.addViolation("%v", err)
		}
	case cutHang, cutReset, cutRefuse:
		endCut := tb.cutFromTargets(f.kind, f.service, m)
		pause.For(ctx, f.duration)
		endCut()
	default:
		injectLinkFault(ctx, m.proxy, f)
	}
}

// terminateVM ends the process of a VM in the way that the fault requires.
func (tb *testbed) terminateVM(ctx context.Context, m *vm, f plannedFault) {
	switch f.kind {
	case faultStop:
		from := time.Now()
		tb.history.checkGracefulStop(m.id, from, m.stop())
	case faultStopKill:
		m.signal(syscall.SIGTERM)
		pause.For(ctx, f.duration/2)
		m.kill()
	case faultWipe:
		m.kill()
		if err := os.RemoveAll(m.folder); err != nil {
			tb.history.addViolation("disk of %s: %v", m.id, err)
		}
	case faultTornRecord:
		m.kill()
		if err := appendTornRecord(m.folder); err != nil {
			tb.history.addViolation("disk of %s: %v", m.id, err)
		}
	default:
		m.kill()
	}
}

// appendTornRecord appends a partial record to the newest log file, as a power failure
// during a write does.
func appendTornRecord(folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*", "*.wal"))
	if err != nil || len(files) == 0 {
		return errors.Trace(err)
	}
	f, err := os.OpenFile(files[len(files)-1], os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	_, err = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7})
	return errors.Trace(err)
}

func injectLinkFault(ctx context.Context, p *proxy, f plannedFault) {
	switch f.kind {
	case faultDelay:
		p.setState(linkState{delay: f.duration / 10})
	case faultReset:
		p.reset()
		return
	case faultStallInbound:
		p.setState(linkState{holdInbound: true})
	case faultStallOutbound:
		p.setState(linkState{holdOutbound: true})
	case faultStallBoth:
		p.setState(linkState{holdInbound: true, holdOutbound: true})
	case faultRefuse:
		p.setState(linkState{refuse: true})
	}
	pause.For(ctx, f.duration)
	p.setState(linkState{})
}

func (tb *testbed) injectTargetFault(ctx context.Context, t *targetHost, f plannedFault) {
	switch f.kind {
	case faultLeave:
		tb.replaceTarget(ctx, t, f)
		return
	case faultRestart:
		tb.restartInPlace(ctx, t, f)
		return
	case faultAnnounce:
		tb.restartAnnounced(ctx, t, f)
		return
	case faultLimit:
		tb.limitTarget(ctx, t, f)
		return
	}
	instance := t.changeBehavior(func(*standin.Behavior) {})
	end := tb.history.beginFault(f.kind, instance)
	defer end()
	switch f.kind {
	case faultCrash:
		t.closeTarget()
		pause.For(ctx, f.duration)
		tb.restartTarget(t)
	case faultHang, faultError, faultLoseAnswers, faultTruncateAnswers, faultMalform, faultSlow, faultBreakStreams, faultCopies, faultBusy:
		t.changeBehavior(func(b *standin.Behavior) { setFault(b, f.kind, true) })
		pause.For(ctx, f.duration)
		t.changeBehavior(func(b *standin.Behavior) { setFault(b, f.kind, false) })
	default:
		injectLinkFault(ctx, t.proxy, f)
	}
}

// setFault sets or clears a fault of a target.
func setFault(b *standin.Behavior, kind string, begins bool) {
	switch kind {
	case faultHang:
		b.Unresponsive = begins
	case faultError:
		b.Status = 0
		if begins {
			b.Status = 500
		}
	case faultLoseAnswers:
		b.DropsResponses = begins
	case faultTruncateAnswers:
		b.TruncatesResponses = begins
	case faultMalform:
		b.MalformsResponses = begins
	case faultCopies:
		b.SendsLateCopies, b.RunsEvery = begins, 0
		if begins {
			b.RunsEvery = 3 // so that requests are sent to one target several times
		}
	case faultBusy:
		b.RetryAfter = 0
		if begins {
			b.RetryAfter = busySeconds
		}
	case faultSlow:
		b.CallDuration, b.EventInterval = normalWork, normalEventPause
		if begins {
			b.CallDuration, b.EventInterval = 5*normalWork, 5*normalEventPause
		}
	case faultBreakStreams:
		b.DisconnectAfter = 0
		if begins {
			b.DisconnectAfter = 7
		}
	}
}

// replaceTarget lists a target as leaving, ends it later and starts another one in its
// place.
func (tb *testbed) replaceTarget(ctx context.Context, t *targetHost, f plannedFault) {
	instance := t.changeBehavior(func(b *standin.Behavior) { b.Leaving = true })
	tb.publishTargets()
	end := tb.history.beginFault(f.kind, instance)
	defer end()
	if !pause.For(ctx, maxLeaveDelay+2*time.Second) {
		return
	}
	t.closeTarget()
	tb.publishTargets()
	if !pause.For(ctx, 2*time.Second) { // the platform reuses an address only after that time
		return
	}
	tb.restartTarget(t)
}

// restartInPlace lists a target as leaving, ends it and starts it again under its ID. The list shows
// it as leaving meanwhile.
func (tb *testbed) restartInPlace(ctx context.Context, t *targetHost, f plannedFault) {
	instance := t.changeBehavior(func(b *standin.Behavior) { b.Leaving = true })
	if instance == "" {
		return // the host's target has crashed
	}
	tb.publishTargets()
	end := tb.history.beginFault(f.kind, instance)
	defer end()
	if tb.restartAfter(ctx, t, instance, maxLeaveDelay+timingTolerance) {
		tb.publishTargets()
	}
}

// restartAfter ends a target after a time and starts it again under its ID. It reports false if another fault
// has ended the target.
func (tb *testbed) restartAfter(ctx context.Context, t *targetHost, instance string, delay time.Duration) bool {
	if !pause.For(ctx, delay) || !t.closeInstance(instance) {
		return false
	}
	tb.history.recordTargetEnd(instance)
	pause.For(ctx, restartTime)
	if err := tb.startInstance(t, instance); err != nil {
		tb.history.addViolation("%v", err)
	}
	t.changeBehavior(resetTimings)
	return true
}

// restartAnnounced makes a target state in its responses that it leaves, ends it and starts it again under its
// ID. The list shows it as ready all the while.
func (tb *testbed) restartAnnounced(ctx context.Context, t *targetHost, f plannedFault) {
	instance := t.changeBehavior(func(b *standin.Behavior) { b.AnnouncesLeaving = true })
	if instance == "" {
		return // the host's target has crashed
	}
	end := tb.history.beginFault(f.kind, instance)
	defer end()
	tb.restartAfter(ctx, t, instance, 2*maxLeaveDelay)
}

// limitTarget makes a target name a limit, and records the requests that it receives meanwhile.
func (tb *testbed) limitTarget(ctx context.Context, t *targetHost, f plannedFault) {
	instance := t.changeBehavior(func(b *standin.Behavior) { b.Limit = f.limit })
	if instance == "" {
		return // the host's target has crashed
	}
	end := tb.history.beginFault(f.kind, instance)
	defer end()
	from, start := time.Now(), t.startNumber()
	pause.For(ctx, f.duration)
	received, ok := t.received(instance, start)
	t.changeBehavior(func(b *standin.Behavior) { b.Limit = 0 })
	if ok { // otherwise another target has started, without a limit
		tb.history.recordLimit(namedLimit{target: instance, rate: f.limit, from: from, to: time.Now(), received: received})
	}
}

func (tb *testbed) restartTarget(t *targetHost) {
	if err := tb.startTarget(t); err != nil {
		tb.history.addViolation("%v", err)
	}
	t.changeBehavior(resetTimings)
	tb.publishTargets()
}

const (
	normalWork       = 25 * time.Millisecond
	normalEventPause = 40 * time.Millisecond
)

// resetTimings sets the timings of a target without faults.
func resetTimings(b *standin.Behavior) {
	b.CallDuration, b.EventInterval = normalWork, normalEventPause
}
