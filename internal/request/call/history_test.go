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

// The histories are drawn in shards that run side by side.
const (
	shards            = 8
	historiesPerShard = "1280"
	drainTime         = 10 * time.Second
	// travelTime is above the longest delay of a message.
	travelTime = 2 * time.Second
)

// said is what a caller was told about a body.
type said struct {
	answer string
	kind   fault.Kind
	ran    chicoryv1.Ran
}

// totals count over all histories, to show that they are not idle.
type totals struct {
	histories, calls, answers, notRun, unknown, ranRefusals atomic.Int64
}

// historyRun is one history while it runs.
type historyRun struct {
	h       history
	cell    *cell
	routers []*testRouter
	started int // routers so far; the incarnation of the next one
	keys    []string
	total   *totals

	calls sync.WaitGroup
	mu    sync.Mutex // guards the fields below
	told  map[string][]said
	bad   []string
}

func TestHistoriesOfCalls(t *testing.T) {
	var total totals
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(rt *rapid.T) {
					// Each shard starts its draws at another place of the stream.
					for range shard {
						rapid.Uint64().Draw(rt, "skipped")
					}
					h := drawHistory(rt)
					if bad := runHistory(t, h, &total); len(bad) > 0 {
						rt.Fatalf("%s\nhistory: %+v", bad, h)
					}
				})
			})
		}
	})
	t.Logf("histories=%d calls=%d answers=%d not_run=%d unknown=%d ran_refusals=%d",
		total.histories.Load(), total.calls.Load(), total.answers.Load(),
		total.notRun.Load(), total.unknown.Load(), total.ranRefusals.Load())
}

// runHistory runs a history in virtual time and returns the broken promises.
func runHistory(t *testing.T, h history, total *totals) []string {
	r := &historyRun{h: h, total: total, told: map[string][]said{}}
	synctest.Test(t, func(*testing.T) { r.run() })
	total.histories.Add(1)
	return r.bad
}

func (r *historyRun) run() {
	r.cell = newCell(r.h.desks)
	r.cell.lookups, r.cell.http1 = r.h.lookups, r.h.http1
	r.routers = make([]*testRouter, r.h.routers)
	for i := range r.routers {
		r.startRouter(i)
	}
	for range r.h.keys {
		r.keys = append(r.keys, ledger.NewKey(time.Now()))
	}
	for _, s := range r.h.steps {
		time.Sleep(s.pause)
		r.do(s)
	}
	r.finish()
	r.check()
}

// startRouter starts a router under its old identity and a new incarnation.
func (r *historyRun) startRouter(i int) {
	r.started++
	r.routers[i] = r.cell.router(fmt.Sprint("r", i), fmt.Sprint(r.started))
}

func (r *historyRun) do(s step) {
	i := s.router % r.h.routers
	router := r.routers[i]
	desk := r.cell.desks[s.desk%r.h.desks]
	switch s.kind {
	case callWithKey, callWithKeyAgain:
		r.callKey(router, s)
	case callOnceOnly:
		r.call(router, s, note("once "+fmt.Sprint(r.total.calls.Load(), " ", time.Now().UnixNano())))
	case callLookup:
		r.call(router, s, fare("lookup "+fmt.Sprint(r.total.calls.Load(), " ", time.Now().UnixNano())))
	case changeDesk:
		desk.setFault(s.fault)
	case restartDesk:
		desk.kill()
		if s.body == 0 {
			desk.start()
		}
	case silenceDesk:
		r.cell.network.silence(desk.address)
	case cutDesk:
		r.cell.network.cut(desk.address)
	case loseProposals:
		r.cell.ledger.addFates(s.fates...)
	case partitionRouter:
		router.link.cutOff(!router.link.isBroken())
	case crashRouter:
		router.crash()
		r.startRouter(i)
	case drainRouter:
		r.calls.Go(func() { r.drain(router) })
		r.startRouter(i)
	case closeAdmission:
		router.admission.closed.Store(!router.admission.closed.Load())
	case declareLost:
		o := router.opts
		r.cell.ledger.apply(func(l *ledger.Ledger, now time.Time) { l.RouterLost(o.RouterID, o.Incarnation, now) })
	case stepClock:
		r.cell.ledger.apply(func(l *ledger.Ledger, now time.Time) { l.Expire(now) })
		r.cell.ledger.mu.Lock()
		r.cell.ledger.step = s.clock
		r.cell.ledger.mu.Unlock()
	case restoreLedger:
		if err := r.cell.ledger.restore(); err != nil {
			r.report("restore: %s", err)
		}
	}
}

// drain ends a router gracefully.
func (r *historyRun) drain(router *testRouter) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := router.Drain(ctx); err != nil {
		router.crashed.Store(true) // its outcomes are lost
	}
	router.stopTasks()
}

func (r *historyRun) callKey(router *testRouter, s step) {
	key := s.key % r.h.keys
	r.call(router, s, payout(r.keys[key], fmt.Sprintf("key %d body %d", key, s.body)))
}

// call sends a call through a router and notes what the caller is told.
func (r *historyRun) call(router *testRouter, s step, req *chicoryv1.CallRequest) {
	req.TimeoutMs = uint32(s.timeout.Milliseconds())
	r.total.calls.Add(1)
	r.calls.Go(func() {
		start := time.Now()
		resp, err := router.Call(context.Background(), req)
		if over := time.Since(start) - s.timeout; over > 0 {
			r.report("the answer came %s after the deadline", over)
		}
		r.note(router, req, resp, err)
	})
}

func (r *historyRun) note(router *testRouter, req *chicoryv1.CallRequest, resp *chicoryv1.CallResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if router.crashed.Load() {
		return // nobody hears what a dead router says
	}
	w := said{answer: string(resp.GetPayload())}
	if e := fault.Of(err); e != nil {
		w = said{kind: e.Kind, ran: e.Ran}
	}
	r.told[string(req.GetPayload())] = append(r.told[string(req.GetPayload())], w)
	r.total.count(w)
}

func (t *totals) count(w said) {
	switch {
	case w.kind == "":
		t.answers.Add(1)
	case w.ran == chicoryv1.Ran_RAN_NOT_RUN:
		t.notRun.Add(1)
	case w.ran == chicoryv1.Ran_RAN_UNKNOWN:
		t.unknown.Add(1)
	default:
		t.ranRefusals.Add(1)
	}
}

// finish heals what is left, asks for each key once more and ends the cell.
func (r *historyRun) finish() {
	r.calls.Wait()
	r.cell.ledger.mu.Lock()
	r.cell.ledger.fates = nil
	r.cell.ledger.step = 0
	r.cell.ledger.mu.Unlock()
	for _, d := range r.cell.desks {
		d.setFault(healthy)
	}
	for _, router := range r.routers {
		router.link.cutOff(false)
		router.admission.closed.Store(false)
		for key := range r.keys {
			r.callKey(router, step{key: key, timeout: time.Second})
		}
	}
	r.calls.Wait()
	for _, router := range r.routers {
		r.drain(router)
	}
	time.Sleep(travelTime) // what is still travelling arrives
	r.cell.close()
}
