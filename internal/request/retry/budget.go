// Package retry limits further attempts (retries and hedges of calls, resumes of
// generations) by retry budgets, so that retries don't amplify an outage.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// Options configures a Budget.
type Options struct {
	Settings Settings
	// Rand returns uniform random numbers in [0, 1) and must be safe for concurrent
	// use; nil selects math/rand/v2.
	Rand func() float64
	// Saturated reports whether the targets are busy although all are healthy. A hedge
	// would then only delay other calls, so hedges are refused. nil means never.
	Saturated func() bool
	// Registry receives the counters; nil means that they are not exported.
	Registry metrics.Registry
}

// Budget implements request.RetryBudget as a token bucket: each first attempt adds a
// fraction of a token, up to a limit, and each further attempt takes one token. When
// the bucket is empty, resumes are still allowed at a fixed rate and make its balance
// negative, so that fewer calls are retried while generations are resumed. It is safe
// for concurrent use.
type Budget struct {
	settings  Settings
	rand      func() float64
	saturated func() bool
	counts    counters

	mu sync.Mutex // guards the fields below
	// balance is the number of further attempts in the bucket; at least -Burst.
	balance float64
	// resumeTokens is the number of resumes that are allowed when the bucket is empty.
	resumeTokens     float64
	resumeRefilledAt time.Time
	// lastResumeAt is the retry time given to the last refused resume.
	lastResumeAt time.Time
}

// counters holds the metrics of Allow by kind.
type counters struct {
	allowed, refused [request.ResumeDeferrable + 1]metrics.Counter
}

// kindNames are the names of the kinds in metrics.
var kindNames = [...]string{
	request.RetryCall:        "retry",
	request.HedgeCall:        "hedge",
	request.ResumeGeneration: "resume",
	request.ResumeFromCopy:   "resume_from_copy",
	request.ResumeDeferrable: "resume_deferrable",
}

// NewBudget returns a Budget with a full bucket.
func NewBudget(opts Options) *Budget {
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	if opts.Saturated == nil {
		opts.Saturated = func() bool { return false }
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	b := &Budget{
		settings:         opts.Settings,
		rand:             opts.Rand,
		saturated:        opts.Saturated,
		balance:          opts.Settings.Burst,
		resumeTokens:     opts.Settings.ResumeBurst,
		resumeRefilledAt: time.Now(),
	}
	for kind, name := range kindNames {
		b.counts.allowed[kind] = metrics.GetOrRegisterCounter("retry."+name+".allowed", opts.Registry)
		b.counts.refused[kind] = metrics.GetOrRegisterCounter("retry."+name+".refused", opts.Registry)
	}
	return b
}

// UpdateSettings replaces the settings, for example when this process's share of a
// common bound changes.
func (b *Budget) UpdateSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
	b.balance = min(b.balance, s.Burst)
	b.resumeTokens = min(b.resumeTokens, s.ResumeBurst)
}

// OnRequest implements request.RetryBudget.
func (b *Budget) OnRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.settings.Share, b.settings.Burst)
}

// Allow implements request.RetryBudget.
func (b *Budget) Allow(kind request.RetryKind) (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch {
	case kind == request.HedgeCall:
		ok = !b.saturated() && b.take(1+b.settings.Burst*b.settings.HedgeReserve)
	case kind.IsResume():
		ok = b.take(1) || b.takeResumeToken(now)
	default:
		ok = b.take(1)
	}
	if ok {
		b.counts.allowed[kind].Inc(1)
		return true, 0
	}
	b.counts.refused[kind].Inc(1)
	if kind.IsResume() {
		return false, b.resumeDelay(now)
	}
	return false, b.retryDelay()
}

// take takes one attempt from the bucket if its balance is at least minBalance. The
// caller holds mu.
func (b *Budget) take(minBalance float64) bool {
	if b.balance < minBalance {
		return false
	}
	b.balance--
	return true
}

// takeResumeToken takes one resume token, and one attempt from the bucket even if the
// balance becomes negative. The caller holds mu.
func (b *Budget) takeResumeToken(now time.Time) bool {
	refilled := b.resumeTokens + now.Sub(b.resumeRefilledAt).Seconds()*b.settings.ResumeRate
	b.resumeTokens = min(refilled, b.settings.ResumeBurst)
	b.resumeRefilledAt = now
	if b.resumeTokens < 1 {
		return false
	}
	b.resumeTokens--
	b.balance = max(b.balance-1, -b.settings.Burst)
	return true
}

// resumeDelay returns the time after which a refused resume should ask again. Each
// refused resume gets its own time, spaced at ResumeRate. The caller holds mu.
func (b *Budget) resumeDelay(now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / b.settings.ResumeRate)
	if b.lastResumeAt.Before(now) {
		b.lastResumeAt = now
	}
	b.lastResumeAt = b.lastResumeAt.Add(interval)
	return b.lastResumeAt.Sub(now)
}

// Range of the delay after a refused retry or hedge.
const (
	minRetryDelay    = 30 * time.Millisecond
	retryDelaySpread = 70 * time.Millisecond
)

// retryDelay returns the time after which a refused retry or hedge should ask again,
// uniformly distributed to spread the retries.
func (b *Budget) retryDelay() time.Duration {
	return minRetryDelay + time.Duration(b.rand()*float64(retryDelaySpread))
}
