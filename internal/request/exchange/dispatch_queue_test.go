package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/dispatchqueue"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// queued is a service whose engines have one slot each, and the events that it logs.
type queued struct {
	*Service
	w *testNetwork

	mu     sync.Mutex // guards the fields below
	events []string
	fields []logging.Fields
}

func newQueued(t *testing.T, e engine, addresses ...string) *queued {
	w := newTestNetwork()
	for address, x := range w.engines(e, addresses...) {
		w.set(address, keepConnections(x.serve))
	}
	s, engines := w.service(unlimitedBudget{}, addresses...)
	var listed []*chicoryv1.ListedTarget
	for _, address := range addresses {
		listed = append(listed, &chicoryv1.ListedTarget{Address: address, Instance: "i-" + address, Service: "s", AvailabilityZone: "a", Slots: 1})
	}
	engines.Update(listed, func(string) int { return 50_000 })
	t.Cleanup(s.opts.Pool.Close)
	q := &queued{Service: s, w: w}
	q.opts.Logger = logging.Discard()
	q.opts.Logger.Observe(func(event logging.Event, fields logging.Fields) {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.events, q.fields = append(q.events, string(event)), append(q.fields, fields)
	})
	return q
}

// keepConnections serves further requests on the connection of the first one.
func keepConnections(serve func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		reader := bufio.NewReader(c)
		for err := error(nil); err == nil; r, err = http.ReadRequest(reader) {
			if r.Body != nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			serve(c, r)
		}
	}
}

// count returns the number of events with the name.
func (q *queued) count(event logging.Event) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, e := range q.events {
		if e == string(event) {
			n++
		}
	}
	return n
}

// order returns the routes of the requests in the order in which they were sent to engines.
func (q *queued) order() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var routes []string
	for i, e := range q.events {
		if e == string(logging.StreamPlaced) {
			routes = append(routes, fmt.Sprint(q.fields[i]["route"]))
		}
	}
	return routes
}

// queuedRequest returns a request that waits for room.
func queuedRequest(priority int) *AdmittedRequest {
	a := admitted(declared.Resumable, true)
	a.Service = &declared.Service{Name: "s", Engine: &declared.Engine{KVCapacityTokens: 50_000}}
	a.Route.LatencyObjective = 8 * time.Second
	a.Priority, a.Deadline = priority, a.ReceivedAt.Add(25*time.Second)
	a.PromptID = ""
	return a
}

// serve serves requests at the same time, each 1 ms after the one before, and returns their errors. Request IDs stay
// those that the engines answer, so requests are told apart by their route.
func (q *queued) serve(ctx context.Context, requests ...*AdmittedRequest) []error {
	errs := make([]error, len(requests))
	var wg sync.WaitGroup
	for i, a := range requests {
		wg.Go(func() { errs[i] = q.Serve(ctx, httptest.NewRecorder(), a) })
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return errs
}

// TestStreamsAreNotQueuedWhileThereIsRoom guards against a cost for callers in a deployment with much room: no wait, no log
// line, no task.
func TestStreamsAreNotQueuedWhileThereIsRoom(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		q := newQueued(t, defaultEngine, "a", "b", "c")
		for _, err := range q.serve(t.Context(), queuedRequest(0), queuedRequest(2), queuedRequest(2)) {
			assert.NilError(t, err)
		}
		assert.Equal(t, q.count(logging.StreamQueued), 0)
		assert.Equal(t, q.count(logging.StreamPlaced), 3)
		assert.Assert(t, !q.queue.active.Load() && !q.queue.running)
	})
}

// TestWaitingStreamsAreSentInOrder guards against streams that are sent in the order of their arrival, to engines that are
// full. Load pattern: four streams of different priority at an engine with one slot.
func TestWaitingStreamsAreSentInOrder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		q := newQueued(t, defaultEngine, "a")
		var requests []*AdmittedRequest
		for i, priority := range []int{1, 2, 1, 0} {
			a := queuedRequest(priority)
			a.Route.Name = fmt.Sprint(i, " of priority ", priority)
			requests = append(requests, a)
		}
		for _, err := range q.serve(t.Context(), requests...) {
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, q.order(), []string{"0 of priority 1", "3 of priority 0", "2 of priority 1", "1 of priority 2"})
		assert.Equal(t, q.count(logging.StreamQueued), 3)
		assert.Equal(t, q.count(logging.StreamDequeued), 3)
		assert.Equal(t, q.w.runs(), 4)
		assert.Equal(t, q.queueLengths(), 0)
	})
}

// queueLengths returns the sum of the metric of waiting streams.
func (q *queued) queueLengths() int {
	q.queue.mu.Lock()
	defer q.queue.mu.Unlock()
	n := 0
	for _, length := range q.queue.lengths {
		n += length
	}
	return n + q.queue.queue.Len() + len(q.queue.waiting)
}

// TestOnlyServicesWithEnginesAndObjectivesQueue guards against a wait where the configuration does not ask for it.
func TestOnlyServicesWithEnginesAndObjectivesQueue(t *testing.T) {
	for name, change := range map[string]func(*AdmittedRequest){
		"no engine memory":     func(a *AdmittedRequest) { a.Service.Engine.KVCapacityTokens = 0 },
		"no engines":           func(a *AdmittedRequest) { a.Service.Engine = nil },
		"no latency objective": func(a *AdmittedRequest) { a.Route.LatencyObjective = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				q := newQueued(t, defaultEngine, "a")
				requests := []*AdmittedRequest{queuedRequest(0), queuedRequest(0), queuedRequest(0)}
				for _, a := range requests {
					change(a)
				}
				for _, err := range q.serve(t.Context(), requests...) {
					assert.NilError(t, err)
				}
				assert.Equal(t, q.count(logging.StreamQueued), 0)
			})
		})
	}
}

// TestCallerThatLeavesFreesItsPlace guards against a place in the queue, or an engine, that is kept for a caller that has
// left, also if it leaves in the moment in which it gets an engine.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	for left := range 40 {
		inVirtualTime(t, func(t *testing.T) {
			q := newQueued(t, defaultEngine, "a")
			ctx, leave := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { _ = q.Serve(t.Context(), httptest.NewRecorder(), queuedRequest(0)) })
			time.Sleep(time.Millisecond)
			wg.Go(func() { _ = q.Serve(ctx, httptest.NewRecorder(), queuedRequest(0)) })
			// The first stream ends after 1.1 s, in which the decision about the second one is made.
			time.Sleep(1060*time.Millisecond + time.Duration(left)*2*time.Millisecond)
			leave()
			wg.Wait()
			synctest.Wait()
			assert.Equal(t, q.queueLengths(), 0)
			assert.NilError(t, q.Serve(t.Context(), httptest.NewRecorder(), queuedRequest(0)))
			loads, _ := q.opts.Engines.LocalState(false)
			assert.Equal(t, len(loads), 0, "%v", loads)
		})
	}
}

// TestCallerThatLeavesWithAnEngineFreesIt guards against room that is kept for a caller that leaves in the moment in which its
// stream gets an engine.
func TestCallerThatLeavesWithAnEngineFreesIt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		q := newQueued(t, defaultEngine, "a")
		running, err := q.opts.Engines.Place(placement.PlaceRequest{Service: "s", Size: placement.Size{Prompt: 100}})
		assert.NilError(t, err)
		st := &stream{s: q.Service, a: queuedRequest(0), size: placement.Size{Prompt: 100}}
		e := st.entry()
		w, run, err := q.queue.join(e, st)
		assert.Assert(t, w != nil && run == nil && err == nil)
		running.Release()
		time.Sleep(time.Second)
		assert.Equal(t, len(w.placed), 1, "the stream has an engine")
		q.queue.leave(e, w)
		loads, _ := q.opts.Engines.LocalState(false)
		assert.Equal(t, len(loads), 0, "%v", loads)
		assert.Equal(t, q.queueLengths(), 0)
	})
}

// TestHopelessStreamsAreRefused guards against streams that wait for their deadline, and against a refusal without a useful
// Retry-After. Load pattern: an engine with one slot, and eight times as many streams at once as it can serve in time.
func TestHopelessStreamsAreRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		q := newQueued(t, defaultEngine, "a")
		running := make(chan error, 1)
		go func() { running <- q.Serve(t.Context(), httptest.NewRecorder(), queuedRequest(0)) }()
		time.Sleep(time.Millisecond)
		a := queuedRequest(0)
		a.Route.LatencyObjective, a.Deadline = 900*time.Millisecond, a.ReceivedAt.Add(time.Second)
		a.Size.Prompt = 6000 // takes more than a second
		begin := time.Now()
		err := q.Serve(t.Context(), httptest.NewRecorder(), a)
		assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
		assert.Assert(t, time.Since(begin) < 10*time.Millisecond)
		assert.NilError(t, <-running)

		// More streams than the engine can serve before their deadline.
		var requests []*AdmittedRequest
		for range 40 {
			a := queuedRequest(0)
			a.Route.LatencyObjective, a.Deadline = 5*time.Second, a.ReceivedAt.Add(6*time.Second)
			requests = append(requests, a)
		}
		refused := 0
		for i, err := range q.serve(t.Context(), requests...) {
			switch {
			case err == nil:
			case fault.Is(err, fault.Overloaded):
				refused++
				assert.Assert(t, fault.Of(err).RetryAfter >= minRetryAfter)
			default:
				assert.Assert(t, fault.Is(err, fault.DeadlineNotRun), "stream %d: %v", i, err)
			}
		}
		assert.Assert(t, refused >= 30, "%d were refused", refused)
		early := 0
		for _, wait := range q.refusals() {
			if wait < 3000 {
				early++
			}
		}
		assert.Assert(t, early >= 20, "only %d were refused within 3 s of 6", early)
		assert.Equal(t, q.count(logging.StreamQueueRefused), refused+1)
		assert.Equal(t, q.queueLengths(), 0)
	})
}

// TestBegunStreamPrecedesAll guards against a stream whose response has begun that waits behind new ones, or is refused,
// when its engine is lost. Load pattern: the other engine is full and streams of the highest priority wait.
func TestBegunStreamPrecedesAll(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		slow := defaultEngine
		slow.gap = 200 * time.Millisecond
		q := newQueued(t, slow, "a", "b")
		lost := &engine{w: q.w, first: 300 * time.Millisecond, gap: 40 * time.Millisecond, total: eventCount, dieAfter: 8}
		q.w.set("a", lost.serve)
		var wg sync.WaitGroup
		serve := func(w http.ResponseWriter, priority int) {
			wg.Go(func() { _ = q.Serve(t.Context(), w, queuedRequest(priority)) })
			time.Sleep(time.Millisecond)
		}
		first, second := &gapRecorder{ResponseRecorder: httptest.NewRecorder()}, &gapRecorder{ResponseRecorder: httptest.NewRecorder()}
		serve(first, 5)
		serve(second, 5)
		for range 3 {
			serve(httptest.NewRecorder(), 0)
		}
		wg.Wait()
		for _, rec := range []*gapRecorder{first, second} {
			assert.Equal(t, rec.Body.String(), streamText(eventCount))
			assert.Assert(t, rec.longest < 700*time.Millisecond, "%v", rec.longest)
		}
		assert.Equal(t, q.queueLengths(), 0)
	})
}

// TestOtherVMsDemandHoldsBackLowerPriorities guards against a stream of a low priority that takes room which streams of a
// higher one wait for at other VMs, and against one that waits for them without end.
func TestOtherVMsDemandHoldsBackLowerPriorities(t *testing.T) {
	for name, c := range map[string]struct {
		remote   int // priority of the streams of other VMs
		n        int
		min, max int64 // wait in ms
	}{
		"none":                        {0, 0, 0, 0},
		"lower":                       {5, 10, 0, 0},
		"higher, fewer than the room": {0, 1, 0, 5},
		"higher, more than the room":  {0, 10, 200, 1100},
		"the same":                    {2, 1000, 200, 1600},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				q := newQueued(t, defaultEngine, "a", "b", "c")
				ctx, stop := context.WithCancel(t.Context())
				t.Cleanup(stop)
				go func() {
					for pause.For(ctx, 100*time.Millisecond) {
						q.SetRemoteDemand([]dispatchqueue.Demand{{Service: "s", Priority: c.remote, Requests: c.n}})
					}
				}()
				time.Sleep(150 * time.Millisecond)
				assert.NilError(t, q.Serve(t.Context(), httptest.NewRecorder(), queuedRequest(2)))
				waits := append(q.waits(), 0)
				assert.Assert(t, waits[0] >= c.min && waits[0] <= c.max, "%v", waits)
				assert.Equal(t, len(q.Demand()), 0)
			})
		})
	}
}

// waits returns the waits in milliseconds of the streams that have got an engine.
func (q *queued) waits() []int64 { return q.waitsBefore(logging.StreamDequeued) }

// refusals returns the waits in milliseconds of the streams that were refused.
func (q *queued) refusals() []int64 { return q.waitsBefore(logging.StreamQueueRefused) }

func (q *queued) waitsBefore(event logging.Event) []int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var waits []int64
	for i, e := range q.events {
		if e == string(event) {
			waits = append(waits, q.fields[i]["waited_ms"].(int64))
		}
	}
	return waits
}

// TestWrongEstimateOfRoomBoundsTheWait guards against streams that wait although the engines are idle, because the loads of
// other VMs that this one knows are wrong.
func TestWrongEstimateOfRoomBoundsTheWait(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		q := newQueued(t, defaultEngine, "a", "b")
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go func() {
			for pause.For(ctx, 100*time.Millisecond) {
				q.opts.Engines.SetRemoteLoads([]*chicoryv1.EngineLoad{{Address: "a", Tokens: 50_000}, {Address: "b", Tokens: 50_000}})
			}
		}()
		time.Sleep(150 * time.Millisecond)
		for _, err := range q.serve(t.Context(), queuedRequest(0), queuedRequest(2)) {
			assert.NilError(t, err)
		}
		waits := q.waits()
		assert.Equal(t, len(waits), 2)
		assert.Assert(t, slices.Max(waits) <= 2100, "%v", waits)
	})
}

// TestQueuedStreamsKeepToLimits guards against waiting streams that are sent to a target beyond the limit that it names.
func TestQueuedStreamsKeepToLimits(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		q := newQueued(t, defaultEngine, "a")
		q.opts.Limits.UpdateTargets([]*chicoryv1.ListedTarget{{Address: "a", Instance: "i-a", Service: "s"}})
		q.opts.Limits.Observe("a", "i-a", 0.5, time.Now())
		for _, err := range q.serve(t.Context(), queuedRequest(0), queuedRequest(0)) {
			assert.Assert(t, err == nil || strings.Contains(err.Error(), "overloaded"), "%v", err)
		}
		assert.Equal(t, q.queueLengths(), 0)
	})
}
