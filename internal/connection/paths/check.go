package paths

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/relay"
)

// check is a running check of a path. reach is set before done is closed.
type check struct {
	done  chan struct{}
	reach Reach
}

// Check finds out whether this VM or another one reaches the target at address. A check that is
// running already is shared. If ctx ends first, the result is ReachUnknown.
func (t *Table) Check(ctx context.Context, address string) Reach {
	c := t.startCheck(t.path(address), false)
	select {
	case <-c.done:
		return c.reach
	case <-ctx.Done():
		return ReachUnknown
	}
}

// Suspect is called when the target at address sends nothing. The path is checked if no target has
// sent anything for a while, or this one has not for longer and was not checked lately: it may be one
// of several lost paths, while others work. isCall states that the target usually answers within that
// time, so that a connection alone does not show that the path works.
func (t *Table) Suspect(address string, isCall bool) {
	p, s, now := t.path(address), t.opts.Settings, time.Now()
	silence := s.MaxSilence
	if isCall {
		silence = s.SilenceDelay
	}
	allSilent := now.Sub(t.lastDirect.Load()) >= silence
	pathSilent := now.Sub(p.lastReceived.Load()) >= s.MaxSilence && now.Sub(p.suspectedAt.Load()) >= s.SuspectInterval
	if !(allSilent || pathSilent) || t.isBroken(p) {
		return
	}
	p.suspectedAt.Store(now)
	t.startCheck(p, isCall)
}

// probeRequest returns the request of a probe, nil if it only connects, and how far it must get.
func (t *Table) probeRequest(p *path, answers bool) ([]byte, progress) {
	if !answers {
		return nil, connected
	}
	if request := t.opts.Prober.PathProbe(p.address); request != nil {
		return request, answered
	}
	return nil, connected
}

// Blame is what a failed attempt at a target shows.
type Blame int

// The values of Blame.
const (
	// BlamePath: the path or a helper failed, or nothing is known about the target.
	BlamePath Blame = iota
	// BlameTarget: the target has failed, and accepts connections.
	BlameTarget
	// BlameGone: the target accepts no connections.
	BlameGone
)

// Blame returns what an attempt at the target at address shows that was sent at sentAt and failed with
// err. It connects to the target to find out.
func (t *Table) Blame(ctx context.Context, address string, sentAt time.Time, err error) Blame {
	var helperErr *relay.HelperError
	var dialErr *DialError
	switch {
	case errors.As(err, &helperErr):
		return BlamePath
	case errors.As(err, &dialErr):
		return t.blame(dialErr.Reach)
	case t.wasBroken(address, sentAt):
		return BlameTarget // the attempt used another entry VM
	}
	return t.blame(t.Check(ctx, address))
}

// blame returns what it shows how far a target is reached. A VM that knows other entry VMs and hears
// from none of them, or that has heard from no target since it started, knows nothing about targets that
// it doesn't reach.
func (t *Table) blame(reach Reach) Blame {
	switch {
	case reach == ReachDirect:
		return BlameTarget
	case reach == ReachNone, reach == ReachUnknown && !t.helpers.areKnown() && !t.lastDirect.Load().IsZero():
		return BlameGone
	}
	return BlamePath
}

// wasBroken reports whether the path was broken before a time, so that a request that was sent then
// used another entry VM.
func (t *Table) wasBroken(address string, before time.Time) bool {
	p := t.path(address)
	t.mu.Lock()
	defer t.mu.Unlock()
	since := p.brokenAt
	if since.IsZero() {
		since = t.cutOffAt
	}
	return t.isBrokenLocked(p) && since.Before(before)
}

// startCheck starts a check unless one is running. With answers, the target must answer a probe.
func (t *Table) startCheck(p *path, answers bool) *check {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.check != nil {
		return p.check
	}
	c := &check{done: make(chan struct{})}
	p.check = c
	go func() {
		c.reach = t.reach(p, answers)
		p.mu.Lock()
		p.check = nil
		p.mu.Unlock()
		close(c.done)
	}()
	return c
}

// reach probes the target directly and, unless that succeeds soon, through another entry VM, and
// compares how far the probes got.
func (t *Table) reach(p *path, answers bool) Reach {
	if t.isBroken(p) {
		return ReachRelayed
	}
	t.checks.Inc(1)
	request, wanted := t.probeRequest(p, answers)
	direct := startProbe(func() (progress, error) { return t.probeDirect(p, request) })
	select {
	case r := <-direct:
		if r.reached >= wanted {
			return ReachDirect
		}
		direct <- r // read again below
	case <-time.After(t.opts.Settings.RelayDelay):
	}
	relayed := startProbe(func() (progress, error) { return t.probeRelayed(p, request) })
	d, r := <-direct, <-relayed
	switch {
	case d.reached == connected && r.reached == unconnected && isHelperError(r.err) && t.markUnknown(p, wanted, d.err, r.err):
		return ReachUnknown
	case d.reached >= r.reached && d.reached > unconnected:
		return ReachDirect
	case r.reached > d.reached:
		t.markBroken(p, r.reached, d.err)
		return ReachRelayed
	}
	var dialErr *DialError
	errors.As(t.dialError(p, d.err, r.err), &dialErr)
	return dialErr.Reach
}

// checkOthers checks some of the paths from which nothing was received lately, since they may have
// been lost with another one that needs to get as far as needed.
func (t *Table) checkOthers(needed progress) {
	silent := slices.DeleteFunc(t.workingPaths(), func(p *path) bool {
		return time.Since(p.lastReceived.Load()) < t.opts.Settings.SilenceDelay
	})
	for _, p := range t.sample(silent, sampledPaths) {
		t.startCheck(p, needed == answered)
	}
}
