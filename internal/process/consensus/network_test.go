package consensus

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

const maxDelay = 4 * time.Millisecond

// network delivers messages between nodes in memory. Delays are random, so messages are
// reordered; some are delivered a second time, late.
type network struct {
	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	nodes    map[string]*Node
	blocked  map[[2]string]bool // from, to
	frozen   map[string]bool
	installs int // complete snapshots delivered
}

func newNetwork(seed uint64) *network {
	return &network{
		random:  rand.New(rand.NewPCG(seed, 1)),
		nodes:   map[string]*Node{},
		blocked: map[[2]string]bool{},
		frozen:  map[string]bool{},
	}
}

func (w *network) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *network) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(maxDelay)))
}

func (w *network) withProbability(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(100) < percent
}

// traverse passes a message over one link. It waits while either end is frozen. On a
// blocked link it returns only when ctx ends.
func (w *network) traverse(ctx context.Context, from, to string) error {
	for first := true; ; first = false {
		if !pause.For(ctx, w.delay()) {
			return ctx.Err()
		}
		w.mu.Lock()
		blocked := w.blocked[[2]string{from, to}]
		frozen := w.frozen[from] || w.frozen[to]
		w.mu.Unlock()
		if first && blocked {
			<-ctx.Done()
			return ctx.Err()
		}
		if !frozen {
			return nil
		}
	}
}

func (w *network) node(id string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

// nodeTransport is the Transport of one node.
type nodeTransport struct {
	network *network
	from    string
}

// send delivers a copy of the request and returns a copy of the response. 5% of the
// requests are delivered twice.
func send[Req, Resp proto.Message](ctx context.Context, l nodeTransport, to Member, req Req, handle func(*Node, context.Context, Req) (Resp, error)) (Resp, error) {
	var none Resp
	deliver := func(ctx context.Context) (Resp, error) {
		if err := l.network.traverse(ctx, l.from, to.ID); err != nil {
			return none, err
		}
		n := l.network.node(to.ID)
		if n == nil {
			return none, errors.New("connection refused")
		}
		return handle(n, ctx, proto.Clone(req).(Req))
	}
	if l.network.withProbability(5) {
		go func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			time.Sleep(20 * l.network.delay())
			_, _ = deliver(late)
		}()
	}
	resp, err := deliver(ctx)
	if err != nil {
		return none, err
	}
	if err := l.network.traverse(ctx, to.ID, l.from); err != nil {
		return none, err
	}
	return proto.Clone(resp).(Resp), nil
}

func (l nodeTransport) Join(ctx context.Context, to Member, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error) {
	return send(ctx, l, to, req, (*Node).handleJoin)
}

func (l nodeTransport) Vote(ctx context.Context, to Member, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	return send(ctx, l, to, req, (*Node).handleVote)
}

func (l nodeTransport) Append(ctx context.Context, to Member, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error) {
	return send(ctx, l, to, req, (*Node).handleAppend)
}

func (l nodeTransport) Install(ctx context.Context, to Member, req *chicoryv1.InstallRequest) (*chicoryv1.InstallResponse, error) {
	resp, err := send(ctx, l, to, req, (*Node).handleInstall)
	if err == nil && resp.GetAccepted() && req.GetLast() {
		l.network.withLock(func() { l.network.installs++ })
	}
	return resp, err
}
