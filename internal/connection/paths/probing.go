package paths

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

const (
	// sampledPaths is the number of targets that are probed in one round.
	sampledPaths = 3
	// maxSampledPaths is that after rounds in which some were reached.
	maxSampledPaths = 48
)

// probeBroken probes the targets of broken paths until none is left.
func (t *Table) probeBroken() {
	for pause.For(t.ctx, t.opts.Settings.ProbeInterval) {
		var test sync.WaitGroup
		test.Go(t.testHelpers)
		ended := t.probeWhileReached()
		test.Wait()
		if ended {
			return
		}
	}
}

// testHelpers finds out whether another entry VM helps, if this VM is cut off and no request has shown
// it lately.
func (t *Table) testHelpers() {
	if !t.IsCutOff() || t.helpers.isTested(time.Now()) {
		return
	}
	for _, p := range t.sample(t.brokenPaths(), 1) {
		if c, err := t.dialRelayed(t.ctx, p); err == nil {
			_ = c.Close() // nothing was written
		}
	}
}

// probeWhileReached probes the targets of some broken paths, and of more while some are reached: paths
// that were lost together are likely to work again together. It reports whether probing has ended.
func (t *Table) probeWhileReached() (ended bool) {
	for n := sampledPaths; t.ctx.Err() == nil; n = min(2*n, maxSampledPaths) {
		broken := t.brokenPaths()
		if len(broken) == 0 && t.endProbing() {
			return true
		}
		if t.IsCutOff() {
			broken = append(broken, t.presumedPaths()...)
		}
		if !t.probeAll(t.sample(broken, n)) {
			break
		}
	}
	return false
}

// endProbing ends the task that probes unless a path was found broken meanwhile. A VM whose broken
// paths all led to targets that are no longer listed isn't known to be cut off.
func (t *Table) endProbing() bool {
	listed := t.listed()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.paths {
		if !p.brokenAt.IsZero() && listed[p.address] {
			return false
		}
	}
	t.probing, t.cutOffAt = false, time.Time{}
	return true
}

// probeAll probes targets directly and reports whether one of the paths works.
func (t *Table) probeAll(paths []*path) bool {
	var reached atomic.Bool
	var probes sync.WaitGroup
	for _, p := range paths {
		probes.Go(func() {
			if t.probe(p) {
				reached.Store(true)
			}
		})
	}
	probes.Wait()
	return reached.Load()
}

// probe probes a target directly and reports whether its path works.
func (t *Table) probe(p *path) bool {
	t.mu.Lock()
	needed := p.needed
	if p.brokenAt.IsZero() {
		needed = t.neededLocked()
	}
	t.mu.Unlock()
	request, wanted := t.probeRequest(p, needed == answered)
	if reached, _ := t.probeDirect(p, request); reached < wanted {
		return false // the path stays broken
	}
	t.markWorking(p)
	return true
}

// neededLocked returns how far probes of broken paths must get. The caller holds mu.
func (t *Table) neededLocked() progress {
	needed := connected
	for _, p := range t.paths {
		if !p.brokenAt.IsZero() {
			needed = max(needed, p.needed)
		}
	}
	return needed
}
