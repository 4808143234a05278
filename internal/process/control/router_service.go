package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// routerService implements ControlService.
type routerService struct {
	p *Process
}

func (s *routerService) Watch(ctx context.Context, req *connect.Request[chicoryv1.WatchRequest], stream *connect.ServerStream[chicoryv1.WatchResponse]) error {
	ctx, cancel := mergeCancel(ctx, s.p.ctx)
	defer cancel()
	return s.p.watchServer.Watch(ctx, req.Msg, stream.Send)
}

// mergeCancel returns a context derived from a that is also cancelled when b is done.
func mergeCancel(a, b context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Report records a heartbeat. It responds after a quorum has confirmed this VM as
// leader, so the revision in the response is not older than any revision committed
// before the call.
func (s *routerService) Report(ctx context.Context, req *connect.Request[chicoryv1.ReportRequest]) (*connect.Response[chicoryv1.ReportResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	s.p.receiveReport(s.p.node.Status().Term, req.Msg)
	c, _ := s.p.machine.Configuration()
	now, timeout := time.Now(), s.p.settings.RouterTimeout.Std()
	return connect.NewResponse(&chicoryv1.ReportResponse{
		CommittedRevision: c.GetRevision(),
		LiveRouters:       uint32(s.p.routers.liveCount(now, timeout)),
		Settling:          !s.p.routers.settled(now, timeout),
	}), nil
}

func (s *routerService) Claim(ctx context.Context, req *connect.Request[chicoryv1.ClaimRequest]) (*connect.Response[chicoryv1.ClaimResponse], error) {
	r, err := s.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Claim{Claim: req.Msg}})
	if err != nil {
		return nil, fault.ToConnect(err, "")
	}
	return connect.NewResponse(&chicoryv1.ClaimResponse{Results: r.Claims}), nil
}

func (s *routerService) Close(ctx context.Context, req *connect.Request[chicoryv1.CloseRequest]) (*connect.Response[chicoryv1.CloseResponse], error) {
	r, err := s.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Close{Close: req.Msg}})
	if err != nil {
		return nil, fault.ToConnect(err, "")
	}
	return connect.NewResponse(&chicoryv1.CloseResponse{States: r.Closed}), nil
}
