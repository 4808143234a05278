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
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain sets a fixed seed for property tests; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

// committedLease is a reference model of the committed lease: a single copy.
type committedLease struct {
	mu    sync.Mutex
	lease state.Lease
}

// replicaLog is one VM's view of the log. It sees commits with a delay and can be
// partitioned from the quorum.
type replicaLog struct {
	committed *committedLease
	lag       time.Duration

	mu            sync.Mutex
	isPartitioned bool
}

func (r *replicaLog) Lease() state.Lease {
	r.committed.mu.Lock()
	defer r.committed.mu.Unlock()
	l := r.committed.lease
	l.AppliedAt = l.AppliedAt.Add(r.lag)
	return l
}

func (r *replicaLog) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isPartitioned = partitioned
}

func (r *replicaLog) ProposeLease(ctx context.Context, holder string, d time.Duration, expected uint64) (uint64, error) {
	r.mu.Lock()
	partitioned := r.isPartitioned
	r.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	time.Sleep(r.lag)
	r.committed.mu.Lock()
	defer r.committed.mu.Unlock()
	l := &r.committed.lease
	if l.Holder != holder {
		if l.Fencing != expected {
			return 0, errors.New("lease has another fencing number")
		}
		l.Fencing++
	}
	l.Holder, l.Duration, l.AppliedAt = holder, d, time.Now()
	return l.Fencing, nil
}

// nonFencingTargets ignore fencing numbers and record them in order of arrival. Each
// message is delayed by a random time of up to OrderTimeout.
type nonFencingTargets struct {
	count int

	mu             sync.Mutex
	rng            *rand.Rand // nil: messages are not delayed
	fencingNumbers []uint64
	orderTimes     []time.Time // arrival times of the orders
}

func (t *nonFencingTargets) Configured() []*chicoryv1.Target {
	list := make([]*chicoryv1.Target, t.count)
	for i := range list {
		list[i] = &chicoryv1.Target{Address: fmt.Sprintf("127.0.0.1:%d", i+1), Version: "v2"}
	}
	return list
}

func (t *nonFencingTargets) delayMessage(ctx context.Context) error {
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

func (t *nonFencingTargets) Version(ctx context.Context, _ string) (string, error) {
	return "v1", t.delayMessage(ctx)
}

func (t *nonFencingTargets) Order(ctx context.Context, _ string, req *chicoryv1.OrderRequest) (*chicoryv1.OrderResponse, error) {
	if err := t.delayMessage(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fencingNumbers = append(t.fencingNumbers, req.GetFencing())
	t.orderTimes = append(t.orderTimes, time.Now())
	return &chicoryv1.OrderResponse{Accepted: true}, nil
}

// The lease holder is partitioned at a random time without noticing it, and a successor
// is elected. A target that ignores fencing numbers must not act on an order of the
// former holder after one of the successor, and orders must arrive.
func TestNonFencingTargetNeverActsOnTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		partitionedAt, electedAfter, lag := ms("cut", 8000), ms("elected", 3000), ms("lag", 300)
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			committed := &committedLease{}
			targets := &nonFencingTargets{count: 8, rng: rand.New(rand.NewPCG(seed, 0))}
			first, second := &replicaLog{committed: committed, lag: lag}, &replicaLog{committed: committed, lag: lag}
			ctx, cancel := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			run := func(id string, log LeaseLog) {
				tasks.Go(func() { (&Dispatcher{ID: id, Log: log, Targets: targets, Logger: logging.Discard()}).Run(ctx) })
			}
			run("c1", first)
			time.Sleep(partitionedAt)
			first.setPartitioned(true)
			time.Sleep(electedAfter)
			run("c2", second)
			time.Sleep(20 * time.Second)
			cancel()
			tasks.Wait()
			checkFencingOrder(t, targets.fencingNumbers)
		})
	})
}

func checkFencingOrder(t *testing.T, fencingNumbers []uint64) {
	t.Helper()
	highest := uint64(0)
	for i, n := range fencingNumbers {
		assert.Assert(t, n >= highest, "order %d has fencing number %d after %d", i, n, highest)
		highest = n
	}
	assert.Assert(t, len(fencingNumbers) > 0 && highest >= 1)
}

// Orders to load a version are sent at no more than the rate that the weight store
// allows.
func TestLoadOrdersAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &nonFencingTargets{count: 1}
		ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
		defer cancel()
		d := &Dispatcher{
			ID: "c1", Log: &replicaLog{committed: &committedLease{}}, Targets: target,
			Logger: logging.Discard(), LoadInterval: 10 * time.Second,
		}
		d.Run(ctx)
		assert.Assert(t, len(target.fencingNumbers) >= 5 && len(target.fencingNumbers) <= 6, "%d orders in 59 s", len(target.fencingNumbers))
	})
}

// The rate limit also holds when the lease changes its holder: the new holder does not
// know when the previous one last ordered a load.
func TestLoadRateLimitHoldsAcrossLeaseHolders(t *testing.T) {
	const interval = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		targets, committed := &nonFencingTargets{count: 1}, &committedLease{}
		for _, id := range []string{"c1", "c2"} {
			ctx, cancel := context.WithTimeout(t.Context(), 21500*time.Millisecond)
			d := &Dispatcher{ID: id, Log: &replicaLog{committed: committed}, Targets: targets, Logger: logging.Discard(), LoadInterval: interval}
			d.Run(ctx)
			cancel()
		}
		assert.Equal(t, targets.fencingNumbers[len(targets.fencingNumbers)-1], uint64(2))
		for i := 1; i < len(targets.orderTimes); i++ {
			assert.Assert(t, targets.orderTimes[i].Sub(targets.orderTimes[i-1]) >= interval)
		}
	})
}
