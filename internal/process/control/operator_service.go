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

// defaultHistoryLimit is how many entries History returns if the request sets no limit.
const defaultHistoryLimit = 50

// operatorService implements OperatorService. It responds only after a quorum has
// confirmed this VM as leader, so that a VM that is partitioned from the others does not
// return stale state as current.
type operatorService struct {
	p *Process
}

// inForceCheckInterval is how often waitInForce checks again without a new report: a
// router that went silent no longer counts, but sends no report to say so.
const inForceCheckInterval = time.Second

type operatorNameKey struct{}

// withOperatorName puts the name in the client's certificate into the request context.
// Changes are recorded under this name.
func withOperatorName(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := peer.IdentityOf(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, id.ID)))
	})
}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}

func (s *operatorService) Plan(ctx context.Context, req *connect.Request[chicoryv1.PlanRequest]) (*connect.Response[chicoryv1.PlanResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	s.p.fillExpectedRates(req.Msg.GetChanges())
	p, err := s.p.machine.Plan(operatorName(ctx), req.Msg.GetChanges(), time.Now())
	if err != nil {
		return nil, fault.ToConnect(err, "")
	}
	p.PlanId = rand.Text()
	return connect.NewResponse(&chicoryv1.PlanResponse{Plan: p}), nil
}

// fillExpectedRates sets the expected rate of moves that have none to the observed
// rate. It is part of the plan, so that Confirm schedules by the same rate.
func (p *Process) fillExpectedRates(changes []*chicoryv1.Change) {
	store := p.enterTerm(p.node.Status().Term)
	for _, c := range changes {
		if x, ok := c.GetChange().(*chicoryv1.Change_StartMove); ok {
			x.StartMove = move.WithExpectedRate(x.StartMove, store.RequestRate(time.Now(), x.StartMove.GetRoute()))
		}
	}
}

func (s *operatorService) Confirm(ctx context.Context, req *connect.Request[chicoryv1.ConfirmRequest]) (*connect.Response[chicoryv1.ConfirmResponse], error) {
	id := req.Msg.GetRequestId()
	if id == "" || req.Msg.GetWhy() == "" {
		err := fault.New(fault.InvalidArgument, "a confirm needs a request ID and a reason")
		return nil, fault.ToConnect(err, id)
	}
	req.Msg.Operator = operatorName(ctx)
	r, err := s.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Confirm{Confirm: req.Msg}})
	if err != nil {
		s.p.log.Warn(logging.ChangeRefused, logging.Fields{"operator": req.Msg.GetOperator(), "request": id, "reason": err})
		return nil, fault.ToConnect(err, id)
	}
	s.p.log.Info(logging.ChangeConfirmed, logging.Fields{
		"operator": req.Msg.GetOperator(), "request": id, "revision": r.Confirm.GetRevision(), "why": req.Msg.GetWhy(),
	})
	// The result is part of the replicated state, so the response must be a copy.
	resp := proto.Clone(r.Confirm).(*chicoryv1.ConfirmResponse)
	resp.InForceEverywhere = s.p.waitInForce(ctx, resp.GetRevision(), req.Msg.GetWaitInForceMs())
	return connect.NewResponse(resp), nil
}

// waitInForce waits at most waitMs until every live router runs the revision, and
// reports whether they do.
func (p *Process) waitInForce(ctx context.Context, revision uint64, waitMs uint32) bool {
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		ok, changed := p.routers.inForce(revision, time.Now(), p.settings.RouterTimeout.Std())
		if ok {
			return p.confirmInForce(ctx, revision)
		}
		select {
		case <-changed:
		case <-time.After(inForceCheckInterval):
		case <-end:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// confirmInForce checks again after a quorum has confirmed that this VM is the leader.
// Routers send no reports to a former leader, so it would count none as live and take
// any revision to be in force.
func (p *Process) confirmInForce(ctx context.Context, revision uint64) bool {
	if p.readBarrier(ctx) != nil {
		return false
	}
	ok, _ := p.routers.inForce(revision, time.Now(), p.settings.RouterTimeout.Std())
	return ok
}

func (s *operatorService) Moves(ctx context.Context, req *connect.Request[chicoryv1.MovesRequest]) (*connect.Response[chicoryv1.MovesResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
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
		return nil, fault.ToConnect(err, "")
	}
	limit := int(req.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	return connect.NewResponse(&chicoryv1.HistoryResponse{Entries: s.p.machine.History(limit)}), nil
}

func (s *operatorService) ListClaims(ctx context.Context, _ *connect.Request[chicoryv1.ListClaimsRequest]) (*connect.Response[chicoryv1.ListClaimsResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	_, inDoubt := s.p.machine.Claims()
	return connect.NewResponse(&chicoryv1.ListClaimsResponse{Claims: inDoubt}), nil
}

func (s *operatorService) GetConfiguration(ctx context.Context, _ *connect.Request[chicoryv1.GetConfigurationRequest]) (*connect.Response[chicoryv1.GetConfigurationResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	c, _ := s.p.machine.Configuration()
	return connect.NewResponse(&chicoryv1.GetConfigurationResponse{Configuration: c}), nil
}

func (s *operatorService) ReportBurn(ctx context.Context, req *connect.Request[chicoryv1.ReportBurnRequest]) (*connect.Response[chicoryv1.ReportBurnResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	rows := s.p.burn.Rows(time.Now(), req.Msg.GetRoute())
	return connect.NewResponse(&chicoryv1.ReportBurnResponse{Rows: rows}), nil
}
