package standin

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Times for which an engine keeps an attempt.
const (
	// detachedLifetime is how long an attempt without a stream goes on.
	detachedLifetime = 10 * time.Second
	// endedLifetime is how long an ended attempt can still be attached to.
	endedLifetime = 30 * time.Second
)

const bytesPerPromptToken = 4

type attemptKey struct {
	generation string
	number     uint32
}

// attempt is one run of an engine. Its text grows whether or not a stream reads it.
type attempt struct {
	req *chicoryv1.EngineServiceGenerateRequest
	run uint32
	// version is the replica's when the attempt began.
	version string
	cancel  chan struct{}

	mu        sync.Mutex // guards the fields below
	changed   chan struct{}
	start     int // offset of tokens[0]
	tokens    []string
	finish    chicoryv1.FinishReason
	prefilled uint32
	cached    uint32
	streams   int
	stopped   bool
}

// isRunning reports whether the attempt still uses the engine.
func (a *attempt) isRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED && !a.stopped
}

// update changes the attempt under its lock and wakes its streams.
func (a *attempt) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

// stop cancels the attempt once and reports whether it was running.
func (a *attempt) stop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return false
	}
	a.stopped = true
	close(a.cancel)
	return a.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED
}

// startAttempt begins to generate. It returns nil when the attempt was cancelled
// before it arrived or the replica is closed.
func (r *Replica) startAttempt(req *chicoryv1.EngineServiceGenerateRequest) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.cancelled[req.GetGenerationId()] >= req.GetAttempt() && r.cancelled[req.GetGenerationId()] > 0 {
		return nil
	}
	run := r.rng.Uint32()
	if len(req.GetPrefix()) > 0 {
		if prefixRun, _, err := parseToken(req.GetPrefix()[0]); err == nil {
			run = prefixRun
		}
	}
	a := &attempt{
		req:     req,
		run:     run,
		version: r.version,
		cancel:  make(chan struct{}),
		changed: make(chan struct{}),
		start:   len(req.GetPrefix()),
	}
	r.attempts[attemptKey{req.GetGenerationId(), req.GetAttempt()}] = a
	r.counts.generations++
	r.tasks.Add(1)
	go r.generate(a)
	return a
}

// generate runs one attempt to its end and then keeps it for a while.
func (r *Replica) generate(a *attempt) {
	defer r.tasks.Done()
	r.generateTokens(a)
	sleep(endedLifetime, r.done, a.cancel)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attemptKey{a.req.GetGenerationId(), a.req.GetAttempt()})
}

func (r *Replica) generateTokens(a *attempt) {
	if !r.slots.acquire(context.Background(), a.cancel, a.req.GetPriority()) {
		return
	}
	defer r.slots.release()
	if !r.prefill(a) {
		return
	}
	limit := int(a.req.GetMaxTokens())
	if r.currentFaults().GetOverrun() {
		limit += 5
	}
	detached := time.Time{}
	for i := a.start; i < limit; i++ {
		if !sleep(r.slowed(r.tokenGap(), a.req.GetRoute()), a.cancel, r.done) || !r.waitThaw() {
			return
		}
		if detached = a.detachedSince(detached); !detached.IsZero() && time.Since(detached) > detachedLifetime {
			r.cancelAttempt(a)
			return
		}
		a.update(func() { a.tokens = append(a.tokens, token(a.run, i)) })
		r.mu.Lock()
		r.counts.tokens++
		r.mu.Unlock()
	}
	a.update(func() { a.finish = chicoryv1.FinishReason_FINISH_REASON_LENGTH })
}

// tokenGap returns the time to the next token.
func (r *Replica) tokenGap() time.Duration {
	spread := r.currentFaults().GetGapSpread()
	if spread == 0 {
		return r.opts.TokenGap
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Float64() * float64(spread) * float64(r.opts.TokenGap))
}

// detachedSince returns since when no stream reads the attempt, or zero.
func (a *attempt) detachedSince(before time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams > 0 {
		return time.Time{}
	}
	if before.IsZero() {
		return time.Now()
	}
	return before
}

// prefill spends the time that the uncached part of prompt and prefix costs.
func (r *Replica) prefill(a *attempt) bool {
	promptTokens := len(a.req.GetPrompt())/bytesPerPromptToken + 1
	cached := 0
	if r.cache.use(PrefixHash(a.req.GetPrompt())) {
		cached = promptTokens
	}
	prefilled := promptTokens + a.start - cached
	a.update(func() {
		a.prefilled = uint32(prefilled)
		a.cached = uint32(cached)
	})
	r.mu.Lock()
	r.counts.prefilled += uint64(prefilled)
	r.mu.Unlock()
	d := time.Duration(prefilled) * r.opts.PrefillPerToken
	return sleep(r.slowed(d, a.req.GetRoute()), a.cancel, r.done) && r.waitThaw()
}

func (r *Replica) cancelAttempt(a *attempt) {
	if a.stop() {
		r.mu.Lock()
		r.counts.cancelled++
		r.mu.Unlock()
	}
}

// isRead reports whether a stream reads the attempt.
func (a *attempt) isRead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streams > 0
}

// cancelUpTo cancels every attempt of a generation up to the number, also those
// that arrive later. With onlyDetached it spares attempts that a stream reads and
// those that arrive later.
func (r *Replica) cancelUpTo(generation string, number uint32, onlyDetached bool) {
	r.mu.Lock()
	if r.cancelled[generation] < number && !onlyDetached {
		r.cancelled[generation] = number
	}
	var hit []*attempt
	for k, a := range r.attempts {
		if k.generation == generation && k.number <= number {
			hit = append(hit, a)
		}
	}
	r.mu.Unlock()
	for _, a := range hit {
		if !onlyDetached || !a.isRead() {
			r.cancelAttempt(a)
		}
	}
}
