package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
)

const (
	// blameTimeout limits the time to find out whether a target or the path to it failed.
	blameTimeout = 400 * time.Millisecond
	// maxBlameWait is how long a request waits for that. A request that crashes targets must not
	// be sent to a further one before its losses are counted.
	maxBlameWait = 50 * time.Millisecond
)

// afterBlame calls f with what a failed attempt shows. It returns when f has returned, after maxWait or
// when ctx ends: f may be called later.
func (s *Service) afterBlame(ctx context.Context, maxWait time.Duration, target string, sentAt time.Time, err error, f func(paths.Blame)) {
	if s.opts.Paths == nil {
		f(paths.BlameGone)
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), blameTimeout)
		defer cancel()
		f(s.opts.Paths.Blame(checkCtx, target, sentAt, err))
	}()
	wait := time.NewTimer(maxWait)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	case <-ctx.Done():
	}
}

// reportCall reports an attempt to the picker and to the quarantine.
func (s *Service) reportCall(ctx context.Context, a *AdmittedRequest, t *attempt, p request.Placement, sentAt time.Time) {
	result := t.targetResult(ctx)
	loss := quarantine.Loss{Target: targetOf(p.Target), SentAt: sentAt, At: time.Now(), TrialKeys: a.trialKeys()}
	switch result {
	case request.ResultSuccess:
		p.Done(result, t.latency)
	case request.ResultReset, request.ResultSilent:
		lost := t.outcome == outcomeLost && ctx.Err() == nil && isConnectionEnd(t.err)
		s.afterBlame(ctx, maxBlameWait, t.target, sentAt, t.err, func(b paths.Blame) {
			if b == paths.BlamePath {
				p.Done(request.ResultUnreached, 0)
				return
			}
			p.Done(result, 0)
			if lost {
				s.recordTargetLoss(a, loss)
			}
		})
	default:
		p.Done(result, 0)
	}
	if t.outcome == outcomeAnswered && t.status < http.StatusMultipleChoices {
		s.opts.Quarantine.RecordBegun(a.keys, time.Now())
	}
}

// reportEngine records that an engine was lost, if the attempt shows it. An engine that is silent and
// accepts connections may only be paused: it is avoided, but no request has crashed it.
func (st *stream) reportEngine(ctx context.Context, run *placement.Run, result attemptResult) {
	showsLoss, silent, lost := st.showsLoss(ctx, result), isSilence(context.Cause(ctx)), engineLost(ctx, result)
	if lost {
		st.s.opts.Pool.CloseIdle(run.Target.GetAddress())
	}
	if !showsLoss && !lost {
		return
	}
	// What the blame shows is of this attempt: the request may be a trial, or in another attempt, by then.
	loss := quarantine.Loss{Target: targetOf(run.Target), SentAt: st.dispatchedAt, At: time.Now(), TrialKeys: st.a.trialKeys()}
	maxWait := time.Duration(0)
	if showsLoss {
		maxWait = maxBlameWait
	}
	waitCtx := context.WithoutCancel(ctx) // an attempt that was given up has ended ctx
	st.s.afterBlame(waitCtx, maxWait, run.Target.GetAddress(), loss.SentAt, result.err, func(b paths.Blame) {
		if b == paths.BlamePath {
			return
		}
		if showsLoss && (!silent || b == paths.BlameGone) {
			st.s.recordTargetLoss(st.a, loss)
		}
		if lost {
			run.MarkLost()
		}
	})
}
