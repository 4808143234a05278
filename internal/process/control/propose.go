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

// propose commits a command, with the time and a random number of this VM, and returns
// the result of the state machine. After an error of the kind NotLeader the command is
// certainly not committed; after NoQuorum or StorageFailed it may be. Any other error
// is the one in the result.
func (p *Process) propose(ctx context.Context, cmd *chicoryv1.Command) (state.Result, error) {
	cmd.UnixMs = time.Now().UnixMilli()
	cmd.Random = rand.Uint64()
	b, err := proto.Marshal(cmd)
	if err != nil {
		return state.Result{}, fault.New(fault.Internal, "encode command: %v", err)
	}
	applied, err := p.node.Propose(ctx, b)
	if err != nil {
		return state.Result{}, p.withLeader(err)
	}
	result, ok := applied.(state.Result)
	if !ok {
		return state.Result{}, fault.New(fault.Internal, "state machine returned no result for the command")
	}
	return result, result.Err
}

// readBarrier waits until the applied state includes everything that was committed
// before the call. It also discards reports and evidence of earlier terms.
func (p *Process) readBarrier(ctx context.Context) error {
	if err := p.node.ReadBarrier(ctx); err != nil {
		return p.withLeader(err)
	}
	p.enterTerm(p.node.Status().Term)
	return nil
}

// withLeader adds the identity of the leader, if known, to a NotLeader error.
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
