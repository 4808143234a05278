package control

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// propose commits a command with the time and randomness of this VM and returns
// the state machine's result. Errors are of the kinds NotLeader (surely not
// committed), NoQuorum (may be committed) and StorageFailed, or the result's own.
func (p *Process) propose(ctx context.Context, cmd *chicoryv1.Command) (state.Result, error) {
	cmd.UnixMs = time.Now().UnixMilli()
	cmd.Random = rand.Uint64()
	b, err := proto.Marshal(cmd)
	if err != nil {
		return state.Result{}, fault.New(fault.Internal, "command: %v", err)
	}
	applied, err := p.node.Propose(ctx, b)
	if err != nil {
		return state.Result{}, p.withLeader(err)
	}
	result, ok := applied.(state.Result)
	if !ok {
		return state.Result{}, fault.New(fault.Internal, "entry had no result")
	}
	return result, result.Err
}

// readBarrier waits until the applied state holds everything that was committed
// before the call, and what is known of routers belongs to the present term.
func (p *Process) readBarrier(ctx context.Context) error {
	if err := p.node.ReadBarrier(ctx); err != nil {
		return p.withLeader(err)
	}
	p.enterTerm(p.node.Status().Term)
	return nil
}

// withLeader names the leader in a NotLeader error.
func (p *Process) withLeader(err error) error {
	e := fault.Of(err)
	if e == nil {
		return nil
	}
	if e.Kind != fault.NotLeader {
		return e
	}
	if leader, ok := p.node.Leader(); ok {
		return e.WithLeader(leader.ID)
	}
	return e
}
