package consensus

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// Transport sends a request to a member and returns the response. A message may be
// lost, delayed or duplicated. Calls return when their context ends.
type Transport interface {
	Join(ctx context.Context, to Member, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error)
	Vote(ctx context.Context, to Member, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error)
	Append(ctx context.Context, to Member, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error)
	Install(ctx context.Context, to Member, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error)
}

// rpcTransport sends requests as RPCs of the replica service.
type rpcTransport struct {
	client  connect.HTTPClient
	baseURL func(address string) string
	// onTimeout is called after a request had no response by its deadline.
	onTimeout func()

	mu       sync.Mutex // guards services
	services map[string]chicoryv1connect.ReplicaServiceClient
}

// NewPeerTransport returns a transport over client. After a request without a response
// by its deadline, the client's idle connections are closed, so that a dead connection
// is replaced. The client should therefore be used for nothing else.
func NewPeerTransport(client *peer.Client) Transport {
	return newTransport(client.Client, peer.BaseURL, client.CloseIdleConnections)
}

// NewPlainTransport returns a transport over HTTP/1.1 without certificates. A request
// without a response by its deadline closes its connection, so a dead connection costs
// one request.
func NewPlainTransport(client *http.Client) Transport {
	return newTransport(client, peer.PlainURL, func() {})
}

func newTransport(client connect.HTTPClient, baseURL func(string) string, onTimeout func()) Transport {
	return &rpcTransport{
		client:    client,
		baseURL:   baseURL,
		onTimeout: onTimeout,
		services:  map[string]chicoryv1connect.ReplicaServiceClient{},
	}
}

func (t *rpcTransport) service(to Member) chicoryv1connect.ReplicaServiceClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[to.Address]
	if !ok {
		s = chicoryv1connect.NewReplicaServiceClient(t.client, t.baseURL(to.Address), peer.Uncompressed, peer.ReadLimit)
		t.services[to.Address] = s
	}
	return s
}

func (t *rpcTransport) Join(ctx context.Context, to Member, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error) {
	return call(ctx, t, t.service(to).Join, req)
}

func (t *rpcTransport) Vote(ctx context.Context, to Member, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	return call(ctx, t, t.service(to).Vote, req)
}

func (t *rpcTransport) Append(ctx context.Context, to Member, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error) {
	return call(ctx, t, t.service(to).Append, req)
}

func (t *rpcTransport) Install(ctx context.Context, to Member, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error) {
	return call(ctx, t, t.service(to).Install, req)
}

// rpcMethod is a method of the generated client.
type rpcMethod[Req, Resp any] func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call invokes an RPC method. It calls onTimeout when the request had no response by its
// deadline.
func call[Req, Resp any](ctx context.Context, t *rpcTransport, m rpcMethod[Req, Resp], req *Req) (*Resp, error) {
	resp, err := m(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.onTimeout()
		}
		return nil, errors.Trace(err)
	}
	return resp.Msg, nil
}
