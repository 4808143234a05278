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

// harm carries a plan out. It returns when all is undone.
func (w *world) harm(ctx context.Context, plan []step) {
	var steps sync.WaitGroup
	for _, s := range plan {
		steps.Go(func() {
			if !pause.For(ctx, s.at) {
				return
			}
			switch {
			case s.keeper >= 0:
				w.harmMachine(ctx, w.keepers[s.keeper], s)
			case s.entry >= 0:
				w.harmMachine(ctx, w.entries[s.entry], s)
			case s.target >= 0:
				w.harmTarget(ctx, w.targets[s.target], s)
			default:
				end := w.history.harm(s.kind, "list")
				w.list.SetDown(true)
				pause.For(ctx, s.last)
				w.list.SetDown(false)
				end()
			}
		})
	}
	steps.Wait()
}

func (w *world) harmMachine(ctx context.Context, m *machine, s step) {
	end := w.history.harm(s.kind, m.id)
	defer end()
	switch s.kind {
	case troublePause:
		m.signal(syscall.SIGSTOP)
		pause.For(ctx, s.last)
		m.signal(syscall.SIGCONT)
	case troubleReload:
		m.signal(syscall.SIGHUP)
	case troubleKill, troubleWipe, troubleTear, troubleStop, troubleStopKill:
		w.endMachine(ctx, m, s)
		pause.For(ctx, s.last)
		if err := m.start(); err != nil {
			w.history.note("%v", err)
		}
	default:
		harmLink(ctx, m.link, s)
	}
}

// endMachine ends a machine's process in the step's way.
func (w *world) endMachine(ctx context.Context, m *machine, s step) {
	switch s.kind {
	case troubleStop:
		from := time.Now()
		w.history.checkStop(m.id, from, m.stop())
	case troubleStopKill:
		m.signal(syscall.SIGTERM)
		pause.For(ctx, s.last/2)
		m.kill()
	case troubleWipe:
		m.kill()
		if err := os.RemoveAll(m.folder); err != nil {
			w.history.note("disk of %s: %v", m.id, err)
		}
	case troubleTear:
		m.kill()
		if err := tear(m.folder); err != nil {
			w.history.note("disk of %s: %v", m.id, err)
		}
	default:
		m.kill()
	}
}

// tear adds half a record to the newest file of the log, as a write that a loss of
// power broke off.
func tear(folder string) error {
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

func harmLink(ctx context.Context, p *proxy, s step) {
	switch s.kind {
	case troubleDelay:
		p.set(effect{delay: s.last / 10})
	case troubleReset:
		p.reset()
		return
	case troubleCutForth:
		p.set(effect{holdForth: true})
	case troubleCutBack:
		p.set(effect{holdBack: true})
	case troubleCut:
		p.set(effect{holdForth: true, holdBack: true})
	case troubleRefuse:
		p.set(effect{refuse: true})
	}
	pause.For(ctx, s.last)
	p.set(effect{})
}

func (w *world) harmTarget(ctx context.Context, t *slot, s step) {
	if s.kind == troubleLeave {
		w.leave(ctx, t, s)
		return
	}
	instance := t.change(func(*standin.Behavior) {})
	end := w.history.harm(s.kind, instance)
	defer end()
	switch s.kind {
	case troubleCrash:
		t.endTarget()
		pause.For(ctx, s.last)
		w.restart(t)
	case troubleMute, troubleFail, troubleLose, troubleSpoil, troubleSlow, troubleBreak:
		t.change(func(b *standin.Behavior) { behave(b, s.kind, true) })
		pause.For(ctx, s.last)
		t.change(func(b *standin.Behavior) { behave(b, s.kind, false) })
	default:
		harmLink(ctx, t.link, s)
	}
}

// behave begins or ends a trouble of a target.
func behave(b *standin.Behavior, kind string, begins bool) {
	switch kind {
	case troubleMute:
		b.Unresponsive = begins
	case troubleFail:
		b.Status = 0
		if begins {
			b.Status = 500
		}
	case troubleLose:
		b.DropsResponses = begins
	case troubleSpoil:
		b.TruncatesResponses = begins
	case troubleSlow:
		b.CallDuration, b.EventInterval = normalWork, normalEventPause
		if begins {
			b.CallDuration, b.EventInterval = 5*normalWork, 5*normalEventPause
		}
	case troubleBreak:
		b.DisconnectAfter = 0
		if begins {
			b.DisconnectAfter = 7
		}
	}
}

// leave takes a target off the list in order: it is shown as leaving, ends later, and
// another one starts.
func (w *world) leave(ctx context.Context, t *slot, s step) {
	instance := t.change(func(b *standin.Behavior) { b.Leaving = true })
	w.publish()
	end := w.history.harm(s.kind, instance)
	defer end()
	if !pause.For(ctx, leaveTime+2*time.Second) {
		return
	}
	t.endTarget()
	w.publish()
	if !pause.For(ctx, 2*time.Second) { // an address may be used again after that time
		return
	}
	w.restart(t)
}

func (w *world) restart(t *slot) {
	if err := w.startTarget(t); err != nil {
		w.history.note("%v", err)
	}
	t.change(setNormal)
	w.publish()
}

const (
	normalWork       = 25 * time.Millisecond
	normalEventPause = 40 * time.Millisecond
)

// setNormal makes a target work as it does without trouble.
func setNormal(b *standin.Behavior) { b.CallDuration, b.EventInterval = normalWork, normalEventPause }
