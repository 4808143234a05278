package orders

import (
	"context"
	"crypto/rand"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Targets are the targets as the dispatcher reaches them.
type Targets interface {
	// Configured returns the targets of the configuration in force.
	Configured() []*chicoryv1.Target
	// Version asks a target which version it serves.
	Version(ctx context.Context, address string) (string, error)
	// Order sends one order.
	Order(ctx context.Context, address string, req *chicoryv1.OrderRequest) (*chicoryv1.OrderResponse, error)
}

// Dispatcher sends orders while its VM leads.
type Dispatcher struct {
	ID      string
	Log     Log
	Targets Targets
	Logger  *logging.Logger
	// LoadInterval is the shortest time between two orders to load a version, as
	// the weight store allows.
	LoadInterval time.Duration
}

// roundInterval is the time between two comparisons of targets with the
// configuration.
const roundInterval = 2 * time.Second

// Run holds the lease and sends orders until ctx ends, which is when the VM stops
// to lead. A VM that was cut off and does not know it stops when its lease ends.
func (d *Dispatcher) Run(ctx context.Context) {
	l := &lease{log: d.Log, id: d.ID}
	// A former holder may just have ordered a load.
	nextLoad := time.Now().Add(d.LoadInterval)
	for round := time.Now(); ctx.Err() == nil; {
		wait := d.hold(ctx, l)
		if wait == 0 && !time.Now().Before(round) {
			round = time.Now().Add(roundInterval)
			nextLoad = d.compare(ctx, l, nextLoad)
		}
		pause.For(ctx, max(wait, renewInterval))
	}
}

// hold renews the lease. It returns how long to wait before the next try, or 0
// when the lease is held.
func (d *Dispatcher) hold(ctx context.Context, l *lease) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	wait, err := l.renew(ctx)
	if err != nil {
		return renewInterval
	}
	return wait
}

// compare orders targets that serve another version than the configured one to
// load it, no faster than the weight store allows. It returns the time from which
// the next load may be ordered.
func (d *Dispatcher) compare(ctx context.Context, l *lease, nextLoad time.Time) time.Time {
	for _, t := range d.Targets.Configured() {
		if time.Now().Before(nextLoad) || !l.covers(2*OrderTimeout) {
			break
		}
		if d.serves(ctx, t) || !l.covers(OrderTimeout) {
			continue
		}
		nextLoad = time.Now().Add(d.LoadInterval)
		d.order(ctx, l, t)
	}
	return nextLoad
}

// serves reports whether the target serves its configured version. A target that
// can't be asked gets no order.
func (d *Dispatcher) serves(ctx context.Context, t *chicoryv1.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	version, err := d.Targets.Version(ctx, t.GetAddress())
	return err != nil || version == t.GetVersion()
}

// order sends one order. The caller has checked that the lease outlasts it.
func (d *Dispatcher) order(ctx context.Context, l *lease, t *chicoryv1.Target) {
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
