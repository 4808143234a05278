package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/orders"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// orderDispatcher returns the leader's task that orders targets to load the
// versions that the configuration names.
func (p *Process) orderDispatcher() *orders.Dispatcher {
	return &orders.Dispatcher{
		ID:           p.settings.ID,
		Log:          replicatedLease{p},
		Targets:      orderTargets{p},
		Logger:       p.log,
		LoadInterval: p.settings.LoadInterval.Std(),
	}
}

// replicatedLease stores the order lease in the replicated state.
type replicatedLease struct {
	p *Process
}

func (l replicatedLease) Lease() state.Lease {
	return l.p.machine.Lease()
}

func (l replicatedLease) ProposeLease(ctx context.Context, holder string, duration time.Duration, expected uint64) (uint64, error) {
	r, err := l.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Lease{Lease: &chicoryv1.LeaseCommand{
		Holder:          holder,
		DurationMs:      uint32(duration / time.Millisecond),
		ExpectedFencing: expected,
	}}})
	return r.Fencing, err
}

// orderTargets sends requests to the targets of the configuration in force.
type orderTargets struct {
	p *Process
}

func (t orderTargets) Configured() []*chicoryv1.Target {
	c, _ := t.p.machine.Configuration()
	return c.GetTargets()
}

func (t orderTargets) Version(ctx context.Context, address string) (string, error) {
	resp, err := t.p.targets.Clients(address).Target.Load(ctx, connect.NewRequest(&chicoryv1.LoadRequest{}))
	if err != nil {
		return "", err
	}
	return resp.Msg.GetVersion(), nil
}

func (t orderTargets) Order(ctx context.Context, address string, req *chicoryv1.OrderRequest) (*chicoryv1.OrderResponse, error) {
	resp, err := t.p.targets.Clients(address).Target.Order(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
