package standin

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Lifetimes of attempts at an engine.
const (
	// detachedLifetime is how long an attempt continues to generate without an attached stream.
	detachedLifetime = 10 * time.Second
	// endedLifetime is how long a stream can still attach to an ended attempt.
	endedLifetime = 30 * time.Second
)

const bytesPerPromptToken = 4

type attemptKey struct {
	generation string
	number     uint32
}

// attempt is one execution of a generation at the engine. It generates tokens whether or
// not a stream reads them.
type attempt struct {
	req *chicoryv1.EngineServiceGenerateRequest
	// run is the run number in the attempt's tokens.
	run uint32
	// version is the replica's version when the attempt began.
	version string
	cancel  chan struct{}

	mu          sync.Mutex // guards the fields below
	changed     chan struct{}
	startOffset int // offset of tokens[0] in the generation's text
	tokens      []string
	finish      chicoryv1.FinishReason
	prefilled   uint32
	cached      uint32
	streams     int
	stopped     bool
}

// isRunning reports whether the attempt is neither finished nor cancelled.
func (a *attempt) isRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED && !a.stopped
}

// update calls change with the lock held and wakes the attempt's streams.
func (a *attempt) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

// stop cancels the attempt. It reports whether this call cancelled a running attempt.
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

// startAttempt starts an attempt. It returns nil if the attempt was cancelled before its
// request arrived or if the replica is closed.
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
		req:         req,
		run:         run,
		version:     r.version,
		cancel:      make(chan struct{}),
		changed:     make(chan struct{}),
		startOffset: len(req.GetPrefix()),
	}
	r.attempts[attemptKey{req.GetGenerationId(), req.GetAttempt()}] = a
	r.counts.generations++
	r.tasks.Add(1)
	go r.generate(a)
	return a
}

// generate runs an attempt to its end and keeps it for endedLifetime.
func (r *Replica) generate(a *attempt) {
	defer r.tasks.Done()
	r.generateTokens(a)
	sleep(endedLifetime, r.done, a.cancel)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attemptKey{a.req.GetGenerationId(), a.req.GetAttempt()})
}

// generateTokens waits for a slot, spends the prefill time and generates the tokens.
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
	for i := a.startOffset; i < limit; i++ {
		if !sleep(r.slowed(r.tokenGap(), a.req.GetRoute()), a.cancel, r.done) || !r.waitUnfrozen() {
			return
		}
		if detached = a.detachedSince(detached); !detached.IsZero() && time.Since(detached) > detachedLifetime {
			r.cancelAttempt(a)
			return
		}
		a.update(func() { a.tokens = append(a.tokens, formatToken(a.run, i)) })
		r.mu.Lock()
		r.counts.tokens++
		r.mu.Unlock()
	}
	a.update(func() { a.finish = chicoryv1.FinishReason_FINISH_REASON_LENGTH })
}

// tokenGap returns the time to the next token, which is random if a gap spread is set.
func (r *Replica) tokenGap() time.Duration {
	spread := r.currentFaults().GetGapSpread()
	if spread == 0 {
		return r.opts.TokenGap
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Float64() * float64(spread) * float64(r.opts.TokenGap))
}

// detachedSince returns the time since which no stream has read the attempt, zero if one
// reads it. The argument is the previous result.
func (a *attempt) detachedSince(previous time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams > 0 {
		return time.Time{}
	}
	if previous.IsZero() {
		return time.Now()
	}
	return previous
}

// prefill waits for the prefill time of the uncached part of prompt and prefix. It returns
// false if the attempt is cancelled or the replica is closed first.
func (r *Replica) prefill(a *attempt) bool {
	promptTokens := len(a.req.GetPrompt())/bytesPerPromptToken + 1
	cached := 0
	if r.cache.use(PrefixHash(a.req.GetPrompt())) {
		cached = promptTokens
	}
	prefilled := promptTokens + a.startOffset - cached
	a.update(func() {
		a.prefilled = uint32(prefilled)
		a.cached = uint32(cached)
	})
	r.mu.Lock()
	r.counts.prefilled += uint64(prefilled)
	r.mu.Unlock()
	d := time.Duration(prefilled) * r.opts.PrefillPerToken
	return sleep(r.slowed(d, a.req.GetRoute()), a.cancel, r.done) && r.waitUnfrozen()
}

// cancelAttempt cancels the attempt and counts it if it was running.
func (r *Replica) cancelAttempt(a *attempt) {
	if a.stop() {
		r.mu.Lock()
		r.counts.cancelled++
		r.mu.Unlock()
	}
}

// hasStreams reports whether any stream reads the attempt.
func (a *attempt) hasStreams() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streams > 0
}

// cancelUpTo cancels every attempt of a generation up to the number, including those whose
// requests arrive later. With onlyDetached, it cancels neither attempts that a stream
// reads nor those that arrive later.
func (r *Replica) cancelUpTo(generation string, number uint32, onlyDetached bool) {
	r.mu.Lock()
	if r.cancelled[generation] < number && !onlyDetached {
		r.cancelled[generation] = number
	}
	var matching []*attempt
	for k, a := range r.attempts {
		if k.generation == generation && k.number <= number {
			matching = append(matching, a)
		}
	}
	r.mu.Unlock()
	for _, a := range matching {
		if !onlyDetached || !a.hasStreams() {
			r.cancelAttempt(a)
		}
	}
}
