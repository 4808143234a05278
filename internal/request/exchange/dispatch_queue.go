package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/dispatchqueue"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

const (
	// dispatchInterval is the least time between two decisions about the waiting streams. A decision looks
	// at all engines for each size of stream that finds no room.
	dispatchInterval = 5 * time.Millisecond
	// dispatchCheckInterval is the longest time between two decisions while streams wait: cooldowns of
	// engines end, loads and demand go stale, and streams run out of time without a notification.
	dispatchCheckInterval = 50 * time.Millisecond
	// minRetryAfter is the least time for which a refused caller is sent away.
	minRetryAfter = 500 * time.Millisecond
)

// dispatchQueue holds the streams of this VM that wait for room at an engine. While no stream waits here or at
// other VMs, it costs a stream one atomic load.
type dispatchQueue struct {
	s *Service
	// active: streams wait, or other VMs have shared that theirs do.
	active atomic.Bool

	mu      sync.Mutex // guards the fields below; EngineTable.mu may be locked while it is held
	queue   *dispatchqueue.Queue
	waiting map[*dispatchqueue.Entry]*waitingStream
	// running: a task decides about the waiting streams.
	running bool
	// joined receives a value when a stream has joined.
	joined chan struct{}
	// freed is EngineTable.Freed at the last decision.
	freed placement.Freed
	// offeredAt is when the room of engines was last counted.
	offeredAt time.Time
	// lengths counts the waiting streams by priority, for metrics.
	lengths map[int]int
}

// waitingStream is a stream that waits for an engine.
type waitingStream struct {
	st       *stream
	joinedAt time.Time
	placed   chan placed // has room for the result
}

// placed is the result of a wait.
type placed struct {
	run *placement.Run
	err error
}

func newDispatchQueue(s *Service) *dispatchQueue {
	return &dispatchQueue{
		s: s, queue: dispatchqueue.New(rand.Float64), waiting: map[*dispatchqueue.Entry]*waitingStream{},
		joined: make(chan struct{}, 1), lengths: map[int]int{},
	}
}

// usesQueue reports whether the stream waits for room before it is sent to an engine: the memory of the engines and
// the time at which the stream is due must be known. A trial of the quarantine goes to an engine of its own.
func (st *stream) usesQueue() bool {
	engine := st.a.Service.Engine
	return engine != nil && engine.KVCapacityTokens > 0 && st.a.Route.LatencyObjective > 0 && st.a.trial == nil
}

// entry returns the stream's place in the queue.
func (st *stream) entry() *dispatchqueue.Entry {
	return &dispatchqueue.Entry{
		Service: st.a.Service.Name, Team: st.a.Team, Priority: st.a.Priority, Begun: st.hasBegun(),
		PromptTokens: st.size.Prompt,
		Objective:    st.a.ReceivedAt.Add(st.a.Route.LatencyObjective),
		Deadline:     st.a.Deadline,
		// An idle engine processes a prompt in half of the time that the settings allow for it.
		Work: time.Duration(float64(st.size.Prompt) / (2 * st.s.opts.Settings.PromptTokensPerSecond) * float64(time.Second)),
	}
}

// place selects an engine for a stream, after a wait if no engine has room or others precede the stream.
func (q *dispatchQueue) place(ctx context.Context, st *stream) (*placement.Run, error) {
	if !q.active.Load() {
		if run, err := st.placeNew("", true); !errors.Is(err, placement.ErrNoRoom) {
			return run, err
		}
	}
	e := st.entry()
	w, run, err := q.join(e, st)
	if w == nil {
		return run, err
	}
	select {
	case p := <-w.placed:
		return p.run, p.err
	case <-ctx.Done():
		q.leave(e, w)
	}
	return nil, contextError(ctx, st.headerSent || st.possibleRuns > 0)
}

// join adds a stream to the queue. If it need not wait, it returns its run instead, and if it is refused or can't be
// placed, an error.
func (q *dispatchQueue) join(e *dispatchqueue.Entry, st *stream) (*waitingStream, *placement.Run, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if !q.queue.MustWait(e, now) {
		q.active.Store(q.running || q.queue.HasRemoteDemand(now))
		run, err := st.placeNew("", true)
		if !errors.Is(err, placement.ErrNoRoom) {
			return nil, run, err
		}
	}
	wait := q.queue.ExpectedWait(e, now)
	if e.WillMissDeadline(wait, now) && !st.headerSent {
		return nil, nil, q.refuse(st, wait, 0)
	}
	w := &waitingStream{st: st, joinedAt: now, placed: make(chan placed, 1)}
	q.active.Store(true)
	q.waiting[e] = w
	q.count(e, 1)
	if excess := q.queue.Join(e, now); excess != nil {
		q.end(excess, placed{err: q.refuse(q.waiting[excess].st, q.queue.ExpectedWait(excess, now), now.Sub(q.waiting[excess].joinedAt))})
	}
	if !q.running {
		q.running, q.offeredAt = true, time.Time{}
		q.freed = q.s.opts.Engines.Freed()
		go q.run()
	}
	select {
	case q.joined <- struct{}{}:
	default:
	}
	st.logQueued(e, wait, q.queue.Len())
	return w, nil, nil
}

// leave removes a stream whose caller has left or whose deadline has passed, and gives its engine back.
func (q *dispatchQueue) leave(e *dispatchqueue.Entry, w *waitingStream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[e] == w {
		q.queue.Leave(e)
		q.forget(e)
	}
	select {
	case p := <-w.placed:
		if p.run != nil {
			p.run.Release()
		}
	default:
	}
}

// refuse returns the error for a stream that can't be served before its deadline. The caller holds mu.
func (q *dispatchQueue) refuse(st *stream, expected, waited time.Duration) error {
	retryAfter := max(time.Duration((0.5+rand.Float64())*float64(expected)), minRetryAfter)
	q.s.metrics.queueRefused.Inc(1)
	q.s.opts.Logger.Warn(logging.StreamQueueRefused, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "priority": st.a.Priority, "waited_ms": waited.Milliseconds(),
		"expected_wait_ms": expected.Milliseconds(), "retry_after_ms": retryAfter.Milliseconds(), "waiting": q.queue.Len(),
		"prompt_tokens": st.size.Prompt,
	})
	if st.possibleRuns > 0 {
		return queueRefusal{fault.New(fault.OutcomeUnknown, "%d engines were lost and no other has room before the deadline", st.possibleRuns)}
	}
	return queueRefusal{fault.New(fault.Overloaded, "the engines of service %q have no room before the deadline", st.a.Service.Name).WithRetryAfter(retryAfter)}
}

// queueRefusal is the error for a stream that the queue refuses. Other errors of the kind Overloaded ask for a wait for a permit.
type queueRefusal struct{ cause *fault.Error }

// Unwrap returns the error that the caller receives.
func (r queueRefusal) Unwrap() error { return r.cause }

func (r queueRefusal) Error() string { return r.cause.Error() }

// run decides about the waiting streams until none waits.
func (q *dispatchQueue) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-q.joined:
		case <-q.s.opts.Engines.Room():
		case <-timer.C:
		}
		if !q.dispatch() {
			return
		}
		time.Sleep(dispatchInterval)
		timer.Reset(dispatchCheckInterval)
	}
}

// dispatch sends the streams that may be sent now to their engines, and reports whether others wait.
func (q *dispatchQueue) dispatch() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if freed := q.s.opts.Engines.Freed(); freed != q.freed {
		q.queue.RoomFreed(int(freed.Here-q.freed.Here), now)
		q.freed = freed
	}
	q.offer(now)
	for _, e := range q.queue.RemoveExpired(now) {
		w := q.waiting[e]
		q.end(e, placed{err: q.refuse(w.st, q.queue.ExpectedWait(e, now), now.Sub(w.joinedAt))})
	}
	room := q.roomCheck()
	for e := q.queue.Next(now, room); e != nil; e = q.queue.Next(now, room) {
		w := q.waiting[e]
		run, err := w.st.placeNew("", false)
		w.st.logDequeued(e, run, now.Sub(w.joinedAt))
		q.s.metrics.queueWait(e.Priority).Update(now.Sub(w.joinedAt).Milliseconds())
		if e.BeyondRoom() {
			q.s.metrics.queueBeyondRoom.Inc(1)
		}
		q.end(e, placed{run: run, err: err})
		room = q.roomCheck() // there is less than before
	}
	q.running = len(q.waiting) > 0
	q.active.Store(q.running || q.queue.HasRemoteDemand(now))
	return q.running
}

// offer counts the engines with room for streams that other VMs may have waiting as well. The caller holds mu.
func (q *dispatchQueue) offer(now time.Time) {
	if now.Sub(q.offeredAt) < dispatchqueue.OfferInterval || !q.queue.SharesRoom(now) {
		return
	}
	q.offeredAt = now
	counted := map[string]bool{}
	for e, w := range q.waiting {
		if !counted[e.Service] {
			counted[e.Service] = true
			q.queue.Offer(e.Service, q.s.opts.Engines.CountRoom(w.st.placeRequest()), now)
		}
	}
}

// roomCheck returns a function that reports whether an engine has room for a stream. It looks for room for
// each prompt that may be cached, but otherwise only for streams shorter than those without room. The caller holds mu.
func (q *dispatchQueue) roomCheck() func(*dispatchqueue.Entry) bool {
	type key struct{ service, prompt string }
	without := map[key]placement.Size{}
	return func(e *dispatchqueue.Entry) bool {
		st := q.waiting[e].st
		k := key{service: e.Service}
		if q.s.opts.Engines.IsPromptKnown(st.a.PromptID) {
			k.prompt = st.a.PromptID
		}
		if size, ok := without[k]; ok && len(st.tried) == 0 && st.size.Prompt >= size.Prompt && st.size.Total() >= size.Total() {
			return false
		}
		if st.hasRoom() {
			return true
		}
		if len(st.tried) == 0 {
			without[k] = st.size
		}
		return false
	}
}

// end ends the wait of a stream that is no longer in the queue. The caller holds mu.
func (q *dispatchQueue) end(e *dispatchqueue.Entry, p placed) {
	q.waiting[e].placed <- p
	q.forget(e)
}

func (q *dispatchQueue) forget(e *dispatchqueue.Entry) {
	delete(q.waiting, e)
	q.count(e, -1)
}

// count changes the number of waiting streams of the priority of e. The caller holds mu.
func (q *dispatchQueue) count(e *dispatchqueue.Entry, change int) {
	q.lengths[e.Priority] += change
	q.s.metrics.queueLength(e.Priority).Update(int64(q.lengths[e.Priority]))
}

// Demand returns the number of streams that wait at this VM, for the other VMs.
func (s *Service) Demand() []dispatchqueue.Demand {
	if !s.queue.active.Load() {
		return nil
	}
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.queue.queue.Demand(time.Now())
}

// SetRemoteDemand replaces the sum of what waits at all other VMs.
func (s *Service) SetRemoteDemand(demand []dispatchqueue.Demand) {
	if len(demand) == 0 && !s.queue.active.Load() {
		return
	}
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	now := time.Now()
	s.queue.queue.SetRemoteDemand(demand, now)
	s.queue.active.Store(s.queue.running || s.queue.queue.HasRemoteDemand(now))
}

// maxPriorityMetrics bounds the metrics by priority; lower priorities share the last one.
const maxPriorityMetrics = 9

func (m *serviceMetrics) queueLength(priority int) metrics.Gauge {
	return metrics.GetOrRegisterGauge(fmt.Sprintf("request.stream.queue.length.%d", min(max(priority, 0), maxPriorityMetrics)), m.registry)
}

func (m *serviceMetrics) queueWait(priority int) metrics.Histogram {
	return latencyHistogram(fmt.Sprintf("request.stream.queue.ms.%d", min(max(priority, 0), maxPriorityMetrics)), m.registry)
}
