package call

import (
	"context"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// dispatchWithGrace is dispatch for a call whose outcome is recorded: it waits for
// a late answer beyond the end of ctx, so that a resend gets the answer where the
// outcome would be unknown. The picker and the recorder learn at the end of ctx
// that the target is silent. A call that was not written by then is given up.
func (s *Service) dispatchWithGrace(ctx context.Context, c *call, p request.Placement, d *target.Dispatch, number int) *attempt {
	answerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan *attempt, 1)
	go func() { ended <- s.attempt(answerCtx, c, p.Target, d, number) }()
	select {
	case a := <-ended:
		s.report(c, p, a, a.result(ctx, 0))
		return a
	case <-ctx.Done():
	}
	silent := &attempt{ending: lost, target: p.Target.GetAddress()}
	s.report(c, p, silent, silent.result(ctx, 0))
	d.DropConnection()
	if !d.MayHaveArrived() {
		cancel()
	}
	select {
	case a := <-ended:
		return a
	case <-s.ctx.Done():
	case <-time.After(s.opts.Settings.AnswerGrace):
	}
	cancel()
	return <-ended
}
