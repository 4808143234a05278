package control

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
)

// defaultHistory is how many entries History returns when none are asked for.
const defaultHistory = 50

// operatorService implements OperatorService. Every answer is given after a
// quorum has confirmed this VM as leader, so a VM that was cut off answers nothing
// as if it were current.
type operatorService struct {
	p *Process
}

// inForcePeriod is the time after which it is looked again whether a revision is in
// force, because a router that became silent tells so by no report.
const inForcePeriod = time.Second

type operatorKey struct{}

// withOperator puts the name in the client's certificate into the context. It is
// the name under which changes are recorded.
func withOperator(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := peer.IdentityOf(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, id.ID)))
	})
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

func (s *operatorService) Plan(ctx context.Context, req *connect.Request[chicoryv1.PlanRequest]) (*connect.Response[chicoryv1.PlanResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.Answer(err, "")
	}
	s.p.fillRates(req.Msg.GetChanges())
	p, err := s.p.machine.Plan(operatorOf(ctx), req.Msg.GetChanges(), time.Now())
	if err != nil {
		return nil, fault.Answer(err, "")
	}
	p.PlanId = rand.Text()
	return connect.NewResponse(&chicoryv1.PlanResponse{Plan: p}), nil
}

// fillRates gives moves without an expected rate the one that was observed. The
// plan carries it, so that the confirm schedules by the same.
func (p *Process) fillRates(changes []*chicoryv1.Change) {
	store := p.enterTerm(p.node.Status().Term)
	for _, c := range changes {
		if x, ok := c.GetChange().(*chicoryv1.Change_StartMove); ok {
			x.StartMove = move.WithRate(x.StartMove, store.Rate(time.Now(), x.StartMove.GetRoute()))
		}
	}
}

func (s *operatorService) Confirm(ctx context.Context, req *connect.Request[chicoryv1.ConfirmRequest]) (*connect.Response[chicoryv1.ConfirmResponse], error) {
	id := req.Msg.GetRequestId()
	if id == "" || req.Msg.GetWhy() == "" {
		err := fault.New(fault.InvalidArgument, "a confirm needs a request identity and a reason")
		return nil, fault.Answer(err, id)
	}
	req.Msg.Operator = operatorOf(ctx)
	r, err := s.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Confirm{Confirm: req.Msg}})
	if err != nil {
		s.p.log.Warn(logging.ChangeRefused, logging.Fields{"operator": req.Msg.GetOperator(), "request": id, "reason": err})
		return nil, fault.Answer(err, id)
	}
	s.p.log.Info(logging.ChangeConfirmed, logging.Fields{
		"operator": req.Msg.GetOperator(), "request": id, "revision": r.Confirm.GetRevision(), "why": req.Msg.GetWhy(),
	})
	// The result is part of the replicated state, so the answer is a copy.
	resp := proto.Clone(r.Confirm).(*chicoryv1.ConfirmResponse)
	resp.InForceEverywhere = s.p.waitInForce(ctx, resp.GetRevision(), req.Msg.GetWaitInForceMs())
	return connect.NewResponse(resp), nil
}

// waitInForce waits at most waitMs until every live router runs the revision.
func (p *Process) waitInForce(ctx context.Context, revision uint64, waitMs uint32) bool {
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		ok, changed := p.routers.inForce(revision, time.Now(), p.settings.RouterTimeout.Std())
		if ok {
			return p.stillInForce(ctx, revision)
		}
		select {
		case <-changed:
		case <-time.After(inForcePeriod):
		case <-end:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// stillInForce looks again once a quorum has confirmed that this VM leads: routers
// are silent towards a VM that doesn't.
func (p *Process) stillInForce(ctx context.Context, revision uint64) bool {
	if p.readBarrier(ctx) != nil {
		return false
	}
	ok, _ := p.routers.inForce(revision, time.Now(), p.settings.RouterTimeout.Std())
	return ok
}

func (s *operatorService) Moves(ctx context.Context, req *connect.Request[chicoryv1.MovesRequest]) (*connect.Response[chicoryv1.MovesResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.Answer(err, "")
	}
	resp := &chicoryv1.MovesResponse{}
	for _, m := range s.p.machine.Moves() {
		if id := req.Msg.GetId(); id == "" || id == m.GetId() {
			resp.Moves = append(resp.Moves, m)
		}
	}
	return connect.NewResponse(resp), nil
}

func (s *operatorService) History(ctx context.Context, req *connect.Request[chicoryv1.HistoryRequest]) (*connect.Response[chicoryv1.HistoryResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.Answer(err, "")
	}
	limit := int(req.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistory
	}
	return connect.NewResponse(&chicoryv1.HistoryResponse{Entries: s.p.machine.History(limit)}), nil
}

func (s *operatorService) ListClaims(ctx context.Context, _ *connect.Request[chicoryv1.ListClaimsRequest]) (*connect.Response[chicoryv1.ListClaimsResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.Answer(err, "")
	}
	_, doubt := s.p.machine.Claims()
	return connect.NewResponse(&chicoryv1.ListClaimsResponse{Claims: doubt}), nil
}

func (s *operatorService) GetConfiguration(ctx context.Context, _ *connect.Request[chicoryv1.GetConfigurationRequest]) (*connect.Response[chicoryv1.GetConfigurationResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.Answer(err, "")
	}
	c, _ := s.p.machine.Configuration()
	return connect.NewResponse(&chicoryv1.GetConfigurationResponse{Configuration: c}), nil
}

func (s *operatorService) ReportBurn(ctx context.Context, req *connect.Request[chicoryv1.ReportBurnRequest]) (*connect.Response[chicoryv1.ReportBurnResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.Answer(err, "")
	}
	rows := s.p.burn.Rows(time.Now(), req.Msg.GetRoute())
	return connect.NewResponse(&chicoryv1.ReportBurnResponse{Rows: rows}), nil
}
