package consensus

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Handler returns the service for the other control VMs, to be mounted on the
// peer listener. Peers of another role are refused.
func (n *Node) Handler() (path string, h http.Handler) {
	path, h = n.PlainHandler()
	return path, peer.RequireRole(h, peer.RoleControl)
}

// PlainHandler is Handler without a check of the peer's role, for a listener that
// only other control VMs can reach.
func (n *Node) PlainHandler() (path string, h http.Handler) {
	return chicoryv1connect.NewReplicaServiceHandler(service{n})
}

type service struct{ n *Node }

func (s service) Join(ctx context.Context, req *connect.Request[chicoryv1.JoinRequest]) (*connect.Response[chicoryv1.JoinResponse], error) {
	return answer(s.n.handleJoin(ctx, req.Msg))
}

func (s service) Vote(ctx context.Context, req *connect.Request[chicoryv1.VoteRequest]) (*connect.Response[chicoryv1.VoteResponse], error) {
	return answer(s.n.handleVote(ctx, req.Msg))
}

func (s service) Append(ctx context.Context, req *connect.Request[chicoryv1.AppendRequest]) (*connect.Response[chicoryv1.AppendResponse], error) {
	return answer(s.n.handleAppend(ctx, req.Msg))
}

func (s service) Install(ctx context.Context, req *connect.Request[chicoryv1.InstallRequest]) (*connect.Response[chicoryv1.InstallResponse], error) {
	return answer(s.n.handleInstall(ctx, req.Msg))
}

func answer[Resp any](resp *Resp, err error) (*connect.Response[Resp], error) {
	if err != nil {
		return nil, fault.Answer(err, "")
	}
	return connect.NewResponse(resp), nil
}
