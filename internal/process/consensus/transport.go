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

// Transport sends one message to a member and returns its answer. A message may
// be lost, late or delivered twice. Calls end with their context.
type Transport interface {
	Join(ctx context.Context, to Member, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error)
	Vote(ctx context.Context, to Member, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error)
	Append(ctx context.Context, to Member, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error)
	Install(ctx context.Context, to Member, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error)
}

// rpcTransport sends messages as calls of the replica service.
type rpcTransport struct {
	client  connect.HTTPClient
	baseURL func(address string) string
	// onSilence is called after a message went unanswered for its time.
	onSilence func()

	mu       sync.Mutex // guards services
	services map[string]chicoryv1connect.ReplicaServiceClient
}

// NewPeerTransport returns a transport over client. After a message went
// unanswered for its time, the client's idle connections are closed, so that a
// connection that went silent for good is replaced: give the log a client that
// nothing else uses.
func NewPeerTransport(client *peer.Client) Transport {
	return newTransport(client.Client, peer.BaseURL, client.CloseIdleConnections)
}

// NewPlainTransport returns a transport over HTTP/1.1 without certificates. A
// message that goes unanswered for its time closes the connection that it was on,
// so a connection that went silent for good costs one message.
func NewPlainTransport(client *http.Client) Transport {
	return newTransport(client, peer.PlainURL, func() {})
}

func newTransport(client connect.HTTPClient, baseURL func(string) string, onSilence func()) Transport {
	return &rpcTransport{
		client:    client,
		baseURL:   baseURL,
		onSilence: onSilence,
		services:  map[string]chicoryv1connect.ReplicaServiceClient{},
	}
}

func (t *rpcTransport) service(to Member) chicoryv1connect.ReplicaServiceClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[to.Address]
	if !ok {
		s = chicoryv1connect.NewReplicaServiceClient(t.client, t.baseURL(to.Address), peer.Uncompressed)
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

// method is one call of the generated client.
type method[Req, Resp any] func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

func call[Req, Resp any](ctx context.Context, t *rpcTransport, m method[Req, Resp], req *Req) (*Resp, error) {
	resp, err := m(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.onSilence()
		}
		return nil, errors.Trace(err)
	}
	return resp.Msg, nil
}
