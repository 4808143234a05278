package call

import (
	"context"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// dispatchAwaitingLateResponse is dispatch for a call whose outcome is recorded. It
// waits up to LateResponseTimeout after the end of ctx for a late response, so that
// a resend gets that response instead of an unknown outcome. At the end of ctx it
// reports the target as silent to the picker and the recorder, and cancels the
// attempt if the call was not written to a connection by then.
func (s *Service) dispatchAwaitingLateResponse(ctx context.Context, c *call, p request.Placement, d *target.Dispatch, number int) *attempt {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan *attempt, 1)
	go func() { ended <- s.send(sendCtx, c, p.Target, d, number) }()
	select {
	case a := <-ended:
		s.reportAttempt(c, p, a, a.pickerResult(ctx, 0))
		return a
	case <-ctx.Done():
	}
	noResponse := &attempt{status: attemptNoResponse, target: p.Target.GetAddress()}
	s.reportAttempt(c, p, noResponse, noResponse.pickerResult(ctx, 0))
	d.ReplaceConnection()
	if !d.MayHaveArrived() {
		cancel()
	}
	select {
	case a := <-ended:
		return a
	case <-s.ctx.Done():
	case <-time.After(s.opts.Settings.LateResponseTimeout):
	}
	cancel()
	return <-ended
}
