package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m))
}

// quorum is the committed lease, as a naive single copy.
type quorum struct {
	mu    sync.Mutex
	lease state.Lease
}

// replicaLog is one VM's part of the log: it sees commits late and may be cut off.
type replicaLog struct {
	q   *quorum
	lag time.Duration

	mu  sync.Mutex
	cut bool
}

func (r *replicaLog) Lease() state.Lease {
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	l := r.q.lease
	l.Seen = l.Seen.Add(r.lag)
	return l
}

func (r *replicaLog) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *replicaLog) ProposeLease(ctx context.Context, holder string, d time.Duration, expected uint64) (uint64, error) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	time.Sleep(r.lag)
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	l := &r.q.lease
	if l.Holder != holder {
		if l.Fencing != expected {
			return 0, errors.New("lease was taken")
		}
		l.Fencing++
	}
	l.Holder, l.Duration, l.Seen = holder, d, time.Now()
	return l.Fencing, nil
}

// trustingTargets ignore fencing numbers and keep them in the order of arrival.
// Every message takes a drawn time, up to the bound of an order.
type trustingTargets struct {
	count int

	mu     sync.Mutex
	rng    *rand.Rand // nil: messages take no time
	orders []uint64
	times  []time.Time // of the orders
}

func (t *trustingTargets) Configured() []*chicoryv1.Target {
	list := make([]*chicoryv1.Target, t.count)
	for i := range list {
		list[i] = &chicoryv1.Target{Address: fmt.Sprintf("127.0.0.1:%d", i+1), Version: "v2"}
	}
	return list
}

func (t *trustingTargets) travel(ctx context.Context) error {
	if t.rng == nil {
		return nil
	}
	t.mu.Lock()
	d := time.Duration(t.rng.Int64N(int64(OrderTimeout)))
	t.mu.Unlock()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *trustingTargets) Version(ctx context.Context, _ string) (string, error) {
	return "v1", t.travel(ctx)
}

func (t *trustingTargets) Order(ctx context.Context, _ string, req *chicoryv1.OrderRequest) (*chicoryv1.OrderResponse, error) {
	if err := t.travel(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, req.GetFencing())
	t.times = append(t.times, time.Now())
	return &chicoryv1.OrderResponse{Accepted: true}, nil
}

// The holder is cut off at a drawn time and does not know it; a successor leads.
// A target that ignores fencing numbers never acts on the former holder after it
// has acted on the successor, and the successor's orders do arrive.
func TestTrustingTargetNeverActsOnTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		cutAt, electedAfter, lag := ms("cut", 8000), ms("elected", 3000), ms("lag", 300)
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			q := &quorum{}
			targets := &trustingTargets{count: 8, rng: rand.New(rand.NewPCG(seed, 0))}
			first, second := &replicaLog{q: q, lag: lag}, &replicaLog{q: q, lag: lag}
			ctx, cancel := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			run := func(id string, log Log) {
				tasks.Go(func() { (&Dispatcher{ID: id, Log: log, Targets: targets, Logger: logging.Discard()}).Run(ctx) })
			}
			run("c1", first)
			time.Sleep(cutAt)
			first.setCut(true)
			time.Sleep(electedAfter)
			run("c2", second)
			time.Sleep(20 * time.Second)
			cancel()
			tasks.Wait()
			checkOrders(t, targets.orders)
		})
	})
}

func checkOrders(t *testing.T, orders []uint64) {
	t.Helper()
	highest := uint64(0)
	for i, n := range orders {
		assert.Assert(t, n >= highest, "order %d has number %d after %d", i, n, highest)
		highest = n
	}
	assert.Assert(t, len(orders) > 0 && highest >= 1)
}

// Orders to load a version go out no faster than the weight store allows.
func TestLoadsKeepTheWeightStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &trustingTargets{count: 1}
		ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
		defer cancel()
		d := &Dispatcher{
			ID: "c1", Log: &replicaLog{q: &quorum{}}, Targets: target,
			Logger: logging.Discard(), LoadInterval: 10 * time.Second,
		}
		d.Run(ctx)
		assert.Assert(t, len(target.orders) >= 5 && len(target.orders) <= 6, "%d orders in 59 s", len(target.orders))
	})
}

// The weight store's rate is kept over a change of holder.
func TestLoadsKeepTheirRateOverAChangeOfHolder(t *testing.T) {
	const interval = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		targets, q := &trustingTargets{count: 1}, &quorum{}
		for _, id := range []string{"c1", "c2"} {
			ctx, cancel := context.WithTimeout(t.Context(), 21500*time.Millisecond)
			d := &Dispatcher{ID: id, Log: &replicaLog{q: q}, Targets: targets, Logger: logging.Discard(), LoadInterval: interval}
			d.Run(ctx)
			cancel()
		}
		assert.Equal(t, targets.orders[len(targets.orders)-1], uint64(2))
		for i := 1; i < len(targets.times); i++ {
			assert.Assert(t, targets.times[i].Sub(targets.times[i-1]) >= interval)
		}
	})
}
