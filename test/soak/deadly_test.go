package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

const (
	// deadlyInterval is the time between two deadly calls at one entry VM.
	deadlyInterval = 400 * time.Millisecond
	// deadlyShare is the share of seeds with deadly calls.
	deadlyShare = 0.4
	// maxDeadlyCrashes is the number of targets that a deadly call crashes before the limit holds,
	// maxLateDeadly the number of times that it may reach targets from settleTime later on.
	maxDeadlyCrashes = 3
	maxLateDeadly    = 3
	// targetRestartTime is the time from the crash of a target to its end as a fault.
	targetRestartTime = 2 * time.Second
)

// deadlyCalls is a call that crashes each target that runs it and that callers repeat at each
// entry VM, from a time after the start of the faults on.
type deadlyCalls struct {
	*standin.CrashingCall
	path string
	from time.Duration
}

// newDeadlyCalls draws the deadly calls of a seed. It returns nil if there are none.
func newDeadlyCalls(r *rand.Rand, f *standin.Fleet, length time.Duration) *deadlyCalls {
	if r.Float64() >= deadlyShare {
		return nil
	}
	d := &deadlyCalls{path: standin.PathLook + "deadly", from: time.Duration(r.Int64N(int64(length)))}
	if r.IntN(2) == 0 {
		d.path = standin.PathPay + "deadly"
	}
	f.SetRestartDelay(time.Duration(300+r.IntN(1200)) * time.Millisecond)
	d.CrashingCall = f.CrashOnCall("POST", d.path, "")
	return d
}

// send sends the call again and again until ctx ends.
func (d *deadlyCalls) send(ctx context.Context, c *caller) {
	if !pause.For(ctx, settleTime+d.from) {
		return
	}
	for ctx.Err() == nil {
		c.send(requestSpec{kind: kindDeadly, path: d.path, timeout: callTimeout})
		c.randomPause(ctx, deadlyInterval)
	}
}

// Crashed implements standin.Observer.
func (h *history) Crashed(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.faults = append(h.faults, &fault{kind: faultDeadly, subject: target, from: now, to: now.Add(targetRestartTime)})
}

// checkDeadly checks that a deadly call stays out of the targets once all VMs can know that it
// crashes them. What it reaches during faults that match onAnyVM doesn't count.
func (h *history) checkDeadly(crashes, received []time.Time) {
	if len(crashes) < maxDeadlyCrashes {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	limit, late := crashes[maxDeadlyCrashes-1].Add(settleTime+timingTolerance), 0
	for _, at := range received {
		if at.After(limit) && h.faultFree(at.Add(-settleTime), at, onAnyVM) {
			late++
		}
	}
	if late > maxLateDeadly {
		h.addViolationLocked("a call that had crashed %d targets by %s reached targets %d times later; %d crashed in all", maxDeadlyCrashes, h.elapsed(crashes[maxDeadlyCrashes-1]), late, len(crashes))
	}
}
