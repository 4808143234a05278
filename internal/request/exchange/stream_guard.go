package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// attemptGuard gives up an attempt at an engine that appears to be lost, but only if the
// stream can continue on another engine at once. A sound engine may pause for a second or
// more, and a stream that can't continue elsewhere would be truncated.
type attemptGuard struct {
	st     *stream
	run    *placement.Run
	cancel context.CancelCauseFunc
	// movable: the route allows another attempt after this one.
	movable bool
	// backsUp: another engine keeps a copy of the run's memory, from the first event on. withoutCopy is the kind
	// of the next attempt before.
	backsUp     bool
	withoutCopy request.RetryKind

	mu sync.Mutex // guards the fields below
	// granted: the retry budget has allowed the next attempt.
	granted bool
	// suspected: the engine was marked as lost.
	suspected bool
	// exchange is nil until the request was sent.
	exchange *http1.Exchange
	// unreadSince is when bytes were first found to wait since the last new event; the zero
	// time if none did.
	unreadSince time.Time
}

// maxReadDelay is the time for which bytes that wait to be read may be new events. An engine
// that sends only comments, faster than they are read, is silent.
const maxReadDelay = 500 * time.Millisecond

func (st *stream) newAttemptGuard(run *placement.Run, cancel context.CancelCauseFunc) *attemptGuard {
	return &attemptGuard{
		st: st, run: run, cancel: cancel,
		movable: st.a.Route.RetryPolicy == declared.Resumable && st.possibleRuns+1 < st.a.maxAttempts() &&
			(st.headerSent || st.refused < st.s.opts.Settings.MaxRefusals),
		backsUp: st.backup != nil, withoutCopy: st.resumeKind(false, time.Now()),
	}
}

// resumeKind returns the kind of the attempt that follows if this one is given up.
func (g *attemptGuard) resumeKind() request.RetryKind {
	if g.backsUp && g.run.HasFirstEvent() {
		return request.ResumeFromCopy
	}
	return g.withoutCopy
}

// sent records the exchange that the attempt reads from.
func (g *attemptGuard) sent(x *http1.Exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchange = x
}

// received records that a new event was read.
func (g *attemptGuard) received() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreadSince = time.Time{}
}

// hasUnread reports whether events may wait to be read: this process is short of processor
// time, and the engine is not silent.
func (g *attemptGuard) hasUnread() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchange == nil || !g.exchange.HasUnread() {
		return false
	}
	if g.unreadSince.IsZero() {
		g.unreadSince = time.Now()
	}
	return time.Since(g.unreadSince) < maxReadDelay
}

// onSilence is called while no event is read. New runs avoid the engine even if this one
// stays there.
func (g *attemptGuard) onSilence() bool {
	if g.hasUnread() {
		return false
	}
	g.suspect()
	return g.giveUp(pace.ErrSilenceTimeout)
}

func (g *attemptGuard) suspect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspected {
		return
	}
	g.suspected = true
	g.run.MarkLost()
	g.st.s.suspectPath(g.run.Target.GetAddress(), false)
	g.st.s.opts.Logger.Warn(logging.EngineSilent, logging.Fields{
		"request": g.st.a.ID, "route": g.st.a.Route.Name, "target": g.run.Target.GetAddress(), "movable": g.movable,
	})
}

// giveUp ends the attempt if the stream can continue elsewhere, and reports whether it did.
func (g *attemptGuard) giveUp(cause error) bool {
	if g.hasUnread() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.granted {
		if !g.movable || !g.st.s.opts.Engines.HasOther(g.run.Target) {
			return false
		}
		if g.granted, _ = g.st.s.opts.Budget(g.st.a.Service.Name).Allow(g.resumeKind()); !g.granted {
			return false
		}
	}
	g.cancel(cause)
	return true
}

// allowed reports whether the retry budget has allowed the next attempt.
func (g *attemptGuard) allowed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.granted
}
