package orders

import (
	"context"
	"crypto/rand"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Targets gives a Dispatcher access to the targets.
type Targets interface {
	// Configured returns the targets of the configuration in force.
	Configured() []*chicoryv1.Target
	// Version queries the version that a target serves.
	Version(ctx context.Context, address string) (string, error)
	// Order sends one order to a target.
	Order(ctx context.Context, address string, req *chicoryv1.OrderRequest) (*chicoryv1.OrderResponse, error)
}

// Dispatcher sends orders to targets while its VM is the leader.
type Dispatcher struct {
	ID      string
	Log     LeaseLog
	Targets Targets
	Logger  *logging.Logger
	// LoadInterval is the minimum time between two orders to load a version. The weight
	// store allows no higher rate.
	LoadInterval time.Duration
}

// reconcileInterval is the time between two comparisons of the targets with the
// configuration.
const reconcileInterval = 2 * time.Second

// Run holds the lease and sends orders until ctx ends, which happens when this VM stops
// being the leader. A partitioned VM that does not know it has lost leadership stops
// when its lease expires.
func (d *Dispatcher) Run(ctx context.Context) {
	l := &lease{log: d.Log, id: d.ID}
	// The previous holder may just have ordered a load.
	nextLoad := time.Now().Add(d.LoadInterval)
	for nextReconcile := time.Now(); ctx.Err() == nil; {
		wait := d.renewLease(ctx, l)
		if wait == 0 && !time.Now().Before(nextReconcile) {
			nextReconcile = time.Now().Add(reconcileInterval)
			nextLoad = d.reconcile(ctx, l, nextLoad)
		}
		pause.For(ctx, max(wait, renewInterval))
	}
}

// renewLease renews the lease. It returns how long to wait before the next attempt, or
// 0 if the lease is held.
func (d *Dispatcher) renewLease(ctx context.Context, l *lease) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	wait, err := l.renew(ctx)
	if err != nil {
		return renewInterval
	}
	return wait
}

// reconcile orders targets that serve a different version than the configured one to
// load it, at no more than the rate that the weight store allows. It returns the
// earliest time for the next load order.
func (d *Dispatcher) reconcile(ctx context.Context, l *lease, nextLoad time.Time) time.Time {
	for _, t := range d.Targets.Configured() {
		if time.Now().Before(nextLoad) || !l.validFor(2*OrderTimeout) {
			break
		}
		if d.servesConfiguredVersion(ctx, t) || !l.validFor(OrderTimeout) {
			continue
		}
		nextLoad = time.Now().Add(d.LoadInterval)
		d.sendLoadOrder(ctx, l, t)
	}
	return nextLoad
}

// servesConfiguredVersion reports whether the target serves its configured version. It
// also returns true for a target that can't be queried, so that it gets no order.
func (d *Dispatcher) servesConfiguredVersion(ctx context.Context, t *chicoryv1.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	version, err := d.Targets.Version(ctx, t.GetAddress())
	return err != nil || version == t.GetVersion()
}

// sendLoadOrder orders a target to load its configured version. The caller has checked
// that the lease outlasts the order.
func (d *Dispatcher) sendLoadOrder(ctx context.Context, l *lease, t *chicoryv1.Target) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	fields := logging.Fields{"target": t.GetAddress(), "version": t.GetVersion(), "fencing": l.fencing}
	resp, err := d.Targets.Order(ctx, t.GetAddress(), &chicoryv1.OrderRequest{
		Fencing: l.fencing,
		Kind:    chicoryv1.OrderKind_ORDER_KIND_LOAD_VERSION,
		Name:    t.GetVersion(),
		OrderId: rand.Text(),
	})
	switch {
	case err != nil:
		fields["reason"] = err
		d.Logger.Warn(logging.OrderRefused, fields)
	case !resp.GetAccepted():
		fields["reason"] = resp.GetReason()
		d.Logger.Warn(logging.OrderRefused, fields)
	default:
		d.Logger.Info(logging.OrderSent, fields)
	}
}
