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

// Handler returns the RPC handler for the other control VMs, to be mounted on the
// peer listener. It rejects peers of other roles.
func (n *Node) Handler() (path string, h http.Handler) {
	path, h = n.PlainHandler()
	return path, peer.RequireRole(h, peer.RoleControl)
}

// PlainHandler is like Handler but doesn't check the peer's role. It is for a listener
// that only other control VMs can reach.
func (n *Node) PlainHandler() (path string, h http.Handler) {
	return chicoryv1connect.NewReplicaServiceHandler(replicaService{n}, peer.ReadLimit)
}

// replicaService implements the replica RPC service for a node.
type replicaService struct{ n *Node }

func (s replicaService) Join(ctx context.Context, req *connect.Request[chicoryv1.JoinRequest]) (*connect.Response[chicoryv1.JoinResponse], error) {
	return toResponse(s.n.handleJoin(ctx, req.Msg))
}

func (s replicaService) Vote(ctx context.Context, req *connect.Request[chicoryv1.VoteRequest]) (*connect.Response[chicoryv1.VoteResponse], error) {
	return toResponse(s.n.handleVote(ctx, req.Msg))
}

func (s replicaService) Append(ctx context.Context, req *connect.Request[chicoryv1.AppendRequest]) (*connect.Response[chicoryv1.AppendResponse], error) {
	return toResponse(s.n.handleAppend(ctx, req.Msg))
}

func (s replicaService) Install(ctx context.Context, req *connect.Request[chicoryv1.InstallRequest]) (*connect.Response[chicoryv1.InstallResponse], error) {
	return toResponse(s.n.handleInstall(ctx, req.Msg))
}

// toResponse converts a handler's result to that of an RPC method.
func toResponse[Resp any](resp *Resp, err error) (*connect.Response[Resp], error) {
	if err != nil {
		return nil, fault.ToConnect(err, "")
	}
	return connect.NewResponse(resp), nil
}
