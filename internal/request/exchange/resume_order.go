package exchange

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

const (
	// copyLifetimeShare is the share of the lifetime of a copy in which it is relied on. It begins with the
	// last part of the copy, and events arrive some hundred milliseconds after the tokens of the last part.
	copyLifetimeShare = 0.9
	// maxDeferral is the time for which streams of higher priorities precede the resume of a stream: twice the
	// time that engines take to process a long prompt.
	maxDeferral = 2 * time.Second
	// recheckInterval is the time after which a stream that is not the first checks that again: the order
	// changes with time.
	recheckInterval = 150 * time.Millisecond
)

// resumeOrder orders the streams of this VM that wait for the retry budget, by service. It addresses the loss of
// many engines at once, which interrupts more streams than the budget allows to resume at that time.
type resumeOrder struct {
	mu      sync.Mutex // guards waiting
	waiting map[string][]*waitingResume
}

// waitingResume is a stream that waits. first receives a value when the stream may have become the first.
type waitingResume struct {
	st    *stream
	first chan struct{}
}

func newResumeOrder() *resumeOrder { return &resumeOrder{waiting: map[string][]*waitingResume{}} }

// await waits until the budget allows the resume of a stream. It returns false if ctx ends before.
func (o *resumeOrder) await(ctx context.Context, st *stream) bool {
	w := &waitingResume{st, make(chan struct{}, 1)}
	o.join(w)
	defer o.leave(w)
	budget := st.s.opts.Budget(st.a.Service.Name)
	for {
		wait := recheckInterval
		if o.isFirst(w) {
			var ok bool
			if ok, wait = budget.Allow(st.resumeKind(st.validBackup(time.Now()) != nil, time.Now())); ok {
				return true
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-w.first:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

func (o *resumeOrder) join(w *waitingResume) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting[w.st.a.Service.Name] = append(o.waiting[w.st.a.Service.Name], w)
}

// leave removes a stream and wakes the one that is the first now.
func (o *resumeOrder) leave(w *waitingResume) {
	o.mu.Lock()
	defer o.mu.Unlock()
	service := w.st.a.Service.Name
	rest := slices.DeleteFunc(o.waiting[service], func(x *waitingResume) bool { return x == w })
	if len(rest) == 0 {
		delete(o.waiting, service)
		return
	}
	o.waiting[service] = rest
	select {
	case firstResume(rest, time.Now()).first <- struct{}{}:
	default: // it has been woken already
	}
}

func (o *resumeOrder) isFirst(w *waitingResume) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return firstResume(o.waiting[w.st.a.Service.Name], time.Now()) == w
}

// firstResume returns the stream that is resumed next.
func firstResume(waiting []*waitingResume, now time.Time) *waitingResume {
	return slices.MinFunc(waiting, func(a, b *waitingResume) int { return compareResumes(a.st.resumeRank(now), b.st.resumeRank(now)) })
}

// resumeRank is the place of a stream in the order.
type resumeRank struct {
	kind      request.RetryKind
	copyUntil time.Time
	lostAt    time.Time
}

func (st *stream) resumeRank(now time.Time) resumeRank {
	return resumeRank{st.resumeKind(st.validBackup(now) != nil, now), st.copyUntil, st.lostAt}
}

// kindRanks orders the kinds of resumes.
var kindRanks = map[request.RetryKind]int{request.ResumeFromCopy: 0, request.ResumeGeneration: 1, request.ResumeDeferrable: 2}

// compareResumes orders resumes: those from copies, the one that expires first in front, then those of the highest
// priority and those that have waited for maxDeferral, in the order of their losses, then the others.
func compareResumes(a, b resumeRank) int {
	if c := cmp.Compare(kindRanks[a.kind], kindRanks[b.kind]); c != 0 {
		return c
	}
	if a.kind == request.ResumeFromCopy {
		return a.copyUntil.Compare(b.copyUntil)
	}
	return a.lostAt.Compare(b.lostAt)
}

// resumeKind returns the kind of the stream's next attempt. hasCopy states that the backup engine has a copy of
// the run's memory.
func (st *stream) resumeKind(hasCopy bool, now time.Time) request.RetryKind {
	if hasCopy && st.a.trial == nil {
		return request.ResumeFromCopy
	}
	highest := st.s.opts.HighestPriority
	if highest != nil && st.a.Priority > highest(st.a.Service.Name) && now.Sub(st.lostAt) < maxDeferral {
		return request.ResumeDeferrable
	}
	return request.ResumeGeneration
}

// validBackup returns the engine that keeps a copy of the run's memory, or nil if there is none or the copy has
// expired.
func (st *stream) validBackup(now time.Time) *chicoryv1.ListedTarget {
	if !st.copyUntil.IsZero() && !now.Before(st.copyUntil) {
		return nil
	}
	return st.backup
}

// copyLifetime returns how long after its last part a copy is relied on, or 0 if that is not configured.
func (st *stream) copyLifetime() time.Duration {
	if st.a.Service.Engine == nil {
		return 0
	}
	return time.Duration(copyLifetimeShare * float64(st.a.Service.Engine.CopyLifetime))
}
