package target

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// slowEngine sends one chunk, and a second one after resume is closed.
type slowEngine struct {
	chicoryv1connect.UnimplementedEngineServiceHandler
	resume chan struct{}
}

func (e *slowEngine) Generate(ctx context.Context, _ *connect.Request[chicoryv1.EngineServiceGenerateRequest], s *connect.ServerStream[chicoryv1.EngineServiceGenerateResponse]) error {
	if err := s.Send(&chicoryv1.EngineServiceGenerateResponse{}); err != nil {
		return err
	}
	select {
	case <-e.resume:
	case <-ctx.Done():
	}
	return s.Send(&chicoryv1.EngineServiceGenerateResponse{})
}

// loadService returns an empty load report.
type loadService struct {
	chicoryv1connect.UnimplementedTargetServiceHandler
}

func (loadService) Load(context.Context, *connect.Request[chicoryv1.LoadRequest]) (*connect.Response[chicoryv1.LoadResponse], error) {
	return connect.NewResponse(&chicoryv1.LoadResponse{}), nil
}

// startServer serves e and load reports over HTTP/2. accepted counts the connections.
func startServer(t *testing.T, e *slowEngine) (address string, accepted *atomic.Int32) {
	t.Helper()
	accepted = &atomic.Int32{}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewEngineServiceHandler(e))
	mux.Handle(chicoryv1connect.NewTargetServiceHandler(loadService{}))
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: mux, Protocols: p, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted.Add(1)
		}
	}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String(), accepted
}

func TestReplaceConnectionsKeepsOpenStreams(t *testing.T) {
	e := &slowEngine{resume: make(chan struct{})}
	address, accepted := startServer(t, e)
	p := newTestPool(t, false)
	clients := p.Clients(address)
	stream, err := clients.Engine.Generate(context.Background(), connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, stream.Receive())
	load := func() {
		_, err := clients.Target.Load(context.Background(), connect.NewRequest(&chicoryv1.LoadRequest{}))
		assert.NilError(t, err)
	}
	load()
	// net/http assigns a new connection to its request before listing it as available,
	// so on a busy machine this request may have accepted a second connection.
	before := accepted.Load()

	old := p.endpoint(address).current.Load()
	p.ReplaceConnections(address)
	load()
	assert.Equal(t, accepted.Load(), before+1)
	close(e.resume)
	assert.Assert(t, stream.Receive(), "the stream must not be interrupted: %v", stream.Err())
	assert.Assert(t, !stream.Receive())
	assert.NilError(t, stream.Err())
	assert.NilError(t, stream.Close())
	assert.Equal(t, old.inFlight, 0)
	load()
	assert.Equal(t, accepted.Load(), before+1)
}

func TestDispatchReplacesOnlyItsOwnConnection(t *testing.T) {
	address, accepted := startServer(t, &slowEngine{})
	p := newTestPool(t, false)
	load := func(d *Dispatch) {
		ctx := WithDispatch(context.Background(), d)
		_, err := p.Clients(address).Target.Load(ctx, connect.NewRequest(&chicoryv1.LoadRequest{}))
		assert.NilError(t, err)
	}
	first, second := &Dispatch{}, &Dispatch{}
	load(first)
	load(second)
	first.ReplaceConnection()
	second.ReplaceConnection() // already replaced
	load(&Dispatch{})
	second.ReplaceConnection()
	load(&Dispatch{})
	assert.Equal(t, accepted.Load(), int32(2))
}
