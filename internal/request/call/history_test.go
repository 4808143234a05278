package call

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

// The histories are generated in shards, which run in parallel.
const (
	shards            = 8
	historiesPerShard = "1280"
	drainTime         = 10 * time.Second
	// maxTransitTime is longer than any delay of a message.
	maxTransitTime = 2 * time.Second
)

// result is the result of one call.
type result struct {
	response string
	kind     fault.Kind
	ran      chicoryv1.Ran
}

// historyTotals counts the calls and results of all histories. The test logs them to
// show that the histories exercise the service.
type historyTotals struct {
	histories, calls, answers, notRun, unknown, ranErrors atomic.Int64
}

// historyRun holds the state of a running history.
type historyRun struct {
	history        history
	cluster        *cluster
	routers        []*testRouter
	routersStarted int // number of routers so far, which is the incarnation of the latest one
	keys           []string
	totals         *historyTotals

	calls      sync.WaitGroup
	mu         sync.Mutex // guards the fields below
	results    map[string][]result
	violations []string
}

func TestHistoriesOfCalls(t *testing.T) {
	var total historyTotals
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(rt *rapid.T) {
					// Each shard starts at a different offset of the random sequence.
					for range shard {
						rapid.Uint64().Draw(rt, "skipped")
					}
					h := drawHistory(rt)
					if violations := runHistory(t, h, &total); len(violations) > 0 {
						rt.Fatalf("%s\nhistory: %+v", violations, h)
					}
				})
			})
		}
	})
	t.Logf("histories=%d calls=%d answers=%d not_run=%d unknown=%d ran_refusals=%d",
		total.histories.Load(), total.calls.Load(), total.answers.Load(),
		total.notRun.Load(), total.unknown.Load(), total.ranErrors.Load())
}

// runHistory runs a history in virtual time and returns the violated guarantees.
func runHistory(t *testing.T, h history, total *historyTotals) []string {
	r := &historyRun{history: h, totals: total, results: map[string][]result{}}
	synctest.Test(t, func(*testing.T) { r.run() })
	total.histories.Add(1)
	return r.violations
}

func (r *historyRun) run() {
	r.cluster = newCluster(r.history.targets)
	r.cluster.canLookupKeys, r.cluster.http1 = r.history.canLookupKeys, r.history.http1
	r.routers = make([]*testRouter, r.history.routers)
	for i := range r.routers {
		r.startRouter(i)
	}
	for range r.history.keys {
		r.keys = append(r.keys, ledger.NewKey(time.Now()))
	}
	for _, s := range r.history.steps {
		time.Sleep(s.pause)
		r.execute(s)
	}
	r.finish()
	r.check()
}

// startRouter starts router i with the same ID and a new incarnation.
func (r *historyRun) startRouter(i int) {
	r.routersStarted++
	r.routers[i] = r.cluster.startRouter(fmt.Sprint("r", i), fmt.Sprint(r.routersStarted))
}

func (r *historyRun) execute(s step) {
	routerIndex := s.routerIndex % r.history.routers
	router := r.routers[routerIndex]
	target := r.cluster.targets[s.targetIndex%r.history.targets]
	switch s.kind {
	case stepCallWithKey, stepCallWithKeyAgain:
		r.callWithKey(router, s)
	case stepCallOnce:
		r.call(router, s, onceRequest("once "+fmt.Sprint(r.totals.calls.Load(), " ", time.Now().UnixNano())))
	case stepCallIdempotent:
		r.call(router, s, idempotentRequest("lookup "+fmt.Sprint(r.totals.calls.Load(), " ", time.Now().UnixNano())))
	case stepSetTargetFault:
		target.setFault(s.targetFault)
	case stepRestartTarget:
		target.kill()
		if s.payloadVariant == 0 {
			target.start()
		}
	case stepBlackholeTarget:
		r.cluster.network.blackhole(target.address)
	case stepCloseTargetConns:
		r.cluster.network.closeConns(target.address)
	case stepFaultProposals:
		r.cluster.ledger.addProposalFaults(s.proposalFaults...)
	case stepPartitionRouter:
		router.leader.setPartitioned(!router.leader.isPartitioned())
	case stepCrashRouter:
		router.crash()
		r.startRouter(routerIndex)
	case stepDrainRouter:
		r.calls.Go(func() { r.drain(router) })
		r.startRouter(routerIndex)
	case stepToggleAdmission:
		router.admitter.rejecting.Store(!router.admitter.rejecting.Load())
	case stepDeclareRouterLost:
		o := router.opts
		r.cluster.ledger.apply(func(l *ledger.Ledger, now time.Time) { l.RouterLost(o.RouterID, o.Incarnation, now) })
	case stepChangeClock:
		r.cluster.ledger.apply(func(l *ledger.Ledger, now time.Time) { l.Expire(now) })
		r.cluster.ledger.mu.Lock()
		r.cluster.ledger.clockOffset = s.clockOffset
		r.cluster.ledger.mu.Unlock()
	case stepRestoreLedger:
		if err := r.cluster.ledger.restore(); err != nil {
			r.violation("restore: %s", err)
		}
	}
}

// drain drains and stops a router.
func (r *historyRun) drain(router *testRouter) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := router.Drain(ctx); err != nil {
		router.crashed.Store(true) // uncommitted outcomes were abandoned
	}
	router.stopClients()
}

func (r *historyRun) callWithKey(router *testRouter, s step) {
	key := s.keyIndex % r.history.keys
	r.call(router, s, keyedRequest(r.keys[key], fmt.Sprintf("key %d body %d", key, s.payloadVariant)))
}

// call makes a call through a router and records its result.
func (r *historyRun) call(router *testRouter, s step, req *chicoryv1.CallRequest) {
	req.TimeoutMs = uint32(s.timeout.Milliseconds())
	r.totals.calls.Add(1)
	r.calls.Go(func() {
		start := time.Now()
		resp, err := router.Call(context.Background(), req)
		if over := time.Since(start) - s.timeout; over > 0 {
			r.violation("the call returned %s after the deadline", over)
		}
		r.record(router, req, resp, err)
	})
}

func (r *historyRun) record(router *testRouter, req *chicoryv1.CallRequest, resp *chicoryv1.CallResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if router.crashed.Load() {
		return // responses of a crashed router do not reach the caller
	}
	res := result{response: string(resp.GetPayload())}
	if e := fault.Of(err); e != nil {
		res = result{kind: e.Kind, ran: e.Ran}
	}
	r.results[string(req.GetPayload())] = append(r.results[string(req.GetPayload())], res)
	r.totals.count(res)
}

func (t *historyTotals) count(res result) {
	switch {
	case res.kind == "":
		t.answers.Add(1)
	case res.ran == chicoryv1.Ran_RAN_NOT_RUN:
		t.notRun.Add(1)
	case res.ran == chicoryv1.Ran_RAN_UNKNOWN:
		t.unknown.Add(1)
	default:
		t.ranErrors.Add(1)
	}
}

// finish clears the faults, calls every router once more with every key and stops the
// cluster.
func (r *historyRun) finish() {
	r.calls.Wait()
	r.cluster.ledger.mu.Lock()
	r.cluster.ledger.proposalFaults = nil
	r.cluster.ledger.clockOffset = 0
	r.cluster.ledger.mu.Unlock()
	for _, ft := range r.cluster.targets {
		ft.setFault(faultNone)
	}
	for _, router := range r.routers {
		router.leader.setPartitioned(false)
		router.admitter.rejecting.Store(false)
		for key := range r.keys {
			r.callWithKey(router, step{keyIndex: key, timeout: time.Second})
		}
	}
	r.calls.Wait()
	for _, router := range r.routers {
		r.drain(router)
	}
	time.Sleep(maxTransitTime) // wait for calls that are still in transit
	r.cluster.close()
}
