package consensus

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// Transport sends one message to a member and returns its answer. A message may
// be lost, late or delivered twice. Calls end with their context.
type Transport interface {
	Join(ctx context.Context, to Member, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error)
	Vote(ctx context.Context, to Member, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error)
	Append(ctx context.Context, to Member, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error)
	Install(ctx context.Context, to Member, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error)
}

// peerTransport sends messages over a peer client.
type peerTransport struct {
	client *peer.Client

	mu       sync.Mutex // guards services
	services map[string]chicoryv1connect.ReplicaServiceClient
}

// NewPeerTransport returns a transport over client. After a message went
// unanswered for its time, the client's idle connections are closed, so that a
// connection that went silent for good is replaced: give the log a client that
// nothing else uses.
func NewPeerTransport(client *peer.Client) Transport {
	return &peerTransport{
		client:   client,
		services: map[string]chicoryv1connect.ReplicaServiceClient{},
	}
}

func (t *peerTransport) service(to Member) chicoryv1connect.ReplicaServiceClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[to.Address]
	if !ok {
		s = chicoryv1connect.NewReplicaServiceClient(t.client.Client, peer.BaseURL(to.Address))
		t.services[to.Address] = s
	}
	return s
}

func (t *peerTransport) Join(ctx context.Context, to Member, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error) {
	return call(ctx, t, t.service(to).Join, req)
}

func (t *peerTransport) Vote(ctx context.Context, to Member, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	return call(ctx, t, t.service(to).Vote, req)
}

func (t *peerTransport) Append(ctx context.Context, to Member, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error) {
	return call(ctx, t, t.service(to).Append, req)
}

func (t *peerTransport) Install(ctx context.Context, to Member, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error) {
	return call(ctx, t, t.service(to).Install, req)
}

// method is one call of the generated client.
type method[Req, Resp any] func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

func call[Req, Resp any](ctx context.Context, t *peerTransport, m method[Req, Resp], req *Req) (*Resp, error) {
	resp, err := m(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.client.CloseIdleConnections()
		}
		return nil, errors.Trace(err)
	}
	return resp.Msg, nil
}
