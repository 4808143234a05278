// Package paths opens connections to targets. Where this VM reaches a target no longer and
// another entry VM does, the connection is opened through that VM.
//
// What one VM sees doesn't show whether a target is down or the path to it is broken: another
// VM is asked to connect to the target. A path is broken if the target connects, or answers a
// probe, only through the other VM. It is probed in the background until it works again. A VM that
// loses the paths to several targets and hears from none is cut off: it then uses other entry VMs
// for all targets that it hasn't heard from since.
package paths

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Table holds what this VM knows about its paths to targets. It is safe for concurrent use.
type Table struct {
	opts    Options
	helpers *helpers
	// lastDirect is when a byte last came directly from any target.
	lastDirect atomicTime

	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex // guards the fields below, and brokenAt and needed of all paths
	paths map[string]*path
	// cutOffAt is when this VM was found cut off; the zero time if it is not.
	cutOffAt time.Time
	// probing: a task dials over the broken paths. confirming: a task finds out whether this VM
	// is cut off.
	probing, confirming bool

	relayed, checks metrics.Counter
}

// minBrokenPaths is the number of broken paths from which a VM that hears from no target is cut
// off.
const minBrokenPaths = 2

// maxPaths is the number of paths from which those to targets that are no longer listed are
// removed.
const maxPaths = 1024

// NewTable returns a table without broken paths. Close ends its tasks.
func NewTable(o Options) *Table {
	t := &Table{
		opts:    o,
		helpers: newHelpers(o),
		paths:   map[string]*path{},
		relayed: metrics.GetOrRegisterCounter("target.connections.relayed", o.Registry),
		checks:  metrics.GetOrRegisterCounter("target.paths.checked", o.Registry),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	metrics.NewRegisteredFunctionalGauge("target.paths.broken", o.Registry, func() int64 { return int64(len(t.brokenPaths())) })
	metrics.NewRegisteredFunctionalGauge("target.cut_off", o.Registry, func() int64 {
		if t.IsCutOff() {
			return 1
		}
		return 0
	})
	return t
}

// Close ends the tasks of the table. Open connections are not closed.
func (t *Table) Close() { t.stop() }

// IsCutOff reports whether this VM reaches no target directly.
func (t *Table) IsCutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutOffAt.IsZero()
}

// CanReachTargets reports whether this VM reaches targets directly or through another entry VM.
func (t *Table) CanReachTargets() bool {
	return !t.IsCutOff() || t.helpers.anyWorks(time.Now()) && !t.isIsolated()
}

// isIsolated reports whether this VM is cut off and no other entry VM helps.
func (t *Table) isIsolated() bool { return t.IsCutOff() && t.helpers.areLost(time.Now()) }

// path returns the path to the target at address.
func (t *Table) path(address string) *path {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	if p == nil {
		if len(t.paths) >= maxPaths {
			t.removeUnlisted()
		}
		p = &path{table: t, address: address}
		t.paths[address] = p
	}
	return p
}

// removeUnlisted removes the paths to targets that are no longer listed. The caller holds mu.
func (t *Table) removeUnlisted() {
	listed := t.listed()
	for address := range t.paths {
		if !listed[address] {
			delete(t.paths, address)
		}
	}
}

func (t *Table) listed() map[string]bool {
	listed := map[string]bool{}
	for _, address := range t.opts.Targets() {
		listed[address] = true
	}
	return listed
}

// isBroken reports whether the path doesn't work, or is presumed not to: this VM is cut off and
// has heard nothing from the target since.
func (t *Table) isBroken(p *path) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBrokenLocked(p)
}

func (t *Table) isBrokenLocked(p *path) bool {
	return !p.brokenAt.IsZero() || !t.cutOffAt.IsZero() && !p.lastReceived.Load().After(t.cutOffAt)
}

// markBroken records that another entry VM reaches the target and this VM doesn't. The path works
// again when a probe gets as far as it did there.
func (t *Table) markBroken(p *path, needed progress, cause error) {
	t.mu.Lock()
	if !p.brokenAt.IsZero() {
		t.mu.Unlock()
		return
	}
	p.brokenAt, p.needed = time.Now(), needed
	mayBeCutOff := t.cutOffAt.IsZero() && t.lostPaths() >= minBrokenPaths && !t.confirming
	t.confirming = t.confirming || mayBeCutOff
	startProbing := !t.probing
	t.probing = true
	t.mu.Unlock()
	t.opts.Logger.Warn(logging.TargetPathLost, logging.Fields{"target": p.address, "reason": cause})
	t.notifyBroken(p)
	if startProbing {
		go t.probeBroken()
	}
	if mayBeCutOff {
		go t.confirmCutOff()
		return
	}
	t.checkOthers(needed)
}

// markUnknown records that this VM doesn't reach the target and has lost the other entry VMs that it
// asked, so that its own network is likely to have failed. It reports false if that isn't so. One that
// refuses is reached.
func (t *Table) markUnknown(p *path, needed progress, cause, relayErr error) bool {
	if isRefusal(relayErr) || errors.Is(relayErr, errRecentlyUnreachable) || !t.helpers.areKnown() {
		return false
	}
	t.markBroken(p, needed, cause)
	return true
}

func (t *Table) notifyBroken(paths ...*path) {
	if t.opts.OnBroken == nil {
		return
	}
	for _, p := range paths {
		t.opts.OnBroken(p.address)
	}
}

// lostPaths returns the number of paths that were found broken since this VM last heard from any
// target. The caller holds mu.
func (t *Table) lostPaths() int {
	lost := 0
	for _, p := range t.paths {
		if p.brokenAt.After(t.lastDirect.Load()) {
			lost++
		}
	}
	return lost
}

// confirmCutOff probes some of the targets whose paths are not known to be broken, and records that
// this VM is cut off if none of them answers and nothing comes from any target meanwhile.
func (t *Table) confirmCutOff() {
	begin := time.Now()
	reached := t.probeAll(t.sample(t.workingPaths(), sampledPaths))
	if !reached {
		_ = pause.For(t.ctx, t.opts.Settings.SilenceDelay-time.Since(begin)) // probes may fail at once
	}
	t.mu.Lock()
	t.confirming = false
	if reached || t.lastDirect.Load().After(begin) || t.lostPaths() < minBrokenPaths {
		t.mu.Unlock()
		return
	}
	t.cutOffAt = time.Now()
	var presumed []*path
	for _, p := range t.paths {
		if p.brokenAt.IsZero() {
			presumed = append(presumed, p)
		}
	}
	lost := t.lostPaths()
	t.mu.Unlock()
	t.opts.Logger.Warn(logging.TargetsCutOff, logging.Fields{"targets": lost})
	t.notifyBroken(presumed...)
}

// received records that bytes came directly from a target. They don't end a cut: they may have waited
// in the socket.
func (t *Table) received(p *path, now time.Time) {
	p.lastReceived.Store(now)
	t.lastDirect.Store(now)
}

// markWorking records that a probe has reached the target directly.
func (t *Table) markWorking(p *path) {
	t.mu.Lock()
	broken, cutOff := !p.brokenAt.IsZero(), !t.cutOffAt.IsZero()
	p.brokenAt = time.Time{}
	t.cutOffAt = time.Time{}
	if cutOff && broken {
		// The other paths are likely to work as well. One that doesn't is found again.
		for _, other := range t.paths {
			other.brokenAt = time.Time{}
		}
	}
	t.mu.Unlock()
	if broken {
		t.opts.Logger.Info(logging.TargetPathFound, logging.Fields{"target": p.address})
	}
	if cutOff {
		t.opts.Logger.Info(logging.TargetsReached, logging.Fields{"target": p.address})
	}
}

// brokenPaths returns the paths to listed targets that are known to be broken.
func (t *Table) brokenPaths() []*path {
	listed := t.listed()
	t.mu.Lock()
	defer t.mu.Unlock()
	var broken []*path
	for _, p := range t.paths {
		if !p.brokenAt.IsZero() && listed[p.address] {
			broken = append(broken, p)
		}
	}
	return broken
}

// presumedPaths returns the paths to listed targets that are only presumed to be broken.
func (t *Table) presumedPaths() []*path {
	var presumed []*path
	for _, address := range t.opts.Targets() {
		p := t.path(address)
		t.mu.Lock()
		if p.brokenAt.IsZero() && t.isBrokenLocked(p) {
			presumed = append(presumed, p)
		}
		t.mu.Unlock()
	}
	return presumed
}

// workingPaths returns the paths to listed targets that are not known to be broken.
func (t *Table) workingPaths() []*path {
	var working []*path
	for _, address := range t.opts.Targets() {
		if p := t.path(address); !t.isBroken(p) {
			working = append(working, p)
		}
	}
	return working
}

// sample returns up to n random paths.
func (t *Table) sample(paths []*path, n int) []*path {
	rand.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
	return paths[:min(len(paths), n)]
}

func (t *Table) dialDirect(p *path, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	return t.opts.Dial(ctx, "tcp", p.address)
}

// atomicTime is a time that can be read and replaced atomically.
type atomicTime struct{ p atomic.Pointer[time.Time] }

// Load returns the time, or the zero time if none was stored.
func (a *atomicTime) Load() time.Time {
	if t := a.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Store replaces the time.
func (a *atomicTime) Store(t time.Time) { a.p.Store(&t) }
