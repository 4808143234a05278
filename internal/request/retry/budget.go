// Package retry bounds further attempts (retries and hedges of calls, resumes of
// generations) by one budget, so that an outage is not amplified.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// Options are what a budget works with.
type Options struct {
	Settings Settings
	// Rand gives uniform numbers from 0 to 1 and is safe for concurrent use; nil
	// means the runtime's source.
	Rand func() float64
	// Saturated reports whether the targets are busy though all are well: a hedge
	// then only makes other calls wait, and none is allowed. nil means never.
	Saturated func() bool
	// Registry takes the counters; nil means none.
	Registry metrics.Registry
}

// Budget implements request.RetryBudget. First attempts pay into an account, up
// to a bound, and every further attempt takes one from it. Resumes that find it
// empty go ahead at a fixed pace and leave it in debt, so that calls are retried
// less while generations are rescued. It is safe for concurrent use.
type Budget struct {
	settings  Settings
	rand      func() float64
	saturated func() bool
	counts    counters

	mu sync.Mutex // guards the fields below
	// account is the number of further attempts paid for; at least -Burst.
	account float64
	// pace is the number of resumes that may go ahead without the account.
	pace    float64
	pacedAt time.Time
	// nextResume is when the next resume that has to wait is told to come back.
	nextResume time.Time
}

// counters count decisions by kind.
type counters struct {
	allowed, refused [request.ResumeGeneration + 1]metrics.Counter
}

// kindNames name the kinds in metrics.
var kindNames = [...]string{
	request.RetryCall:        "retry",
	request.HedgeCall:        "hedge",
	request.ResumeGeneration: "resume",
}

// NewBudget returns a budget with its savings full.
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
		settings:  opts.Settings,
		rand:      opts.Rand,
		saturated: opts.Saturated,
		account:   opts.Settings.Burst,
		pace:      opts.Settings.ResumeBurst,
		pacedAt:   time.Now(),
	}
	for kind, name := range kindNames {
		b.counts.allowed[kind] = metrics.GetOrRegisterCounter("retry."+name+".allowed", opts.Registry)
		b.counts.refused[kind] = metrics.GetOrRegisterCounter("retry."+name+".refused", opts.Registry)
	}
	return b
}

// Adjust takes new settings over, as when this process's share of a bound changes.
func (b *Budget) Adjust(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
	b.account = min(b.account, s.Burst)
	b.pace = min(b.pace, s.ResumeBurst)
}

// OnRequest implements request.RetryBudget.
func (b *Budget) OnRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account = min(b.account+b.settings.Share, b.settings.Burst)
}

// Allow implements request.RetryBudget.
func (b *Budget) Allow(kind request.RetryKind) (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch kind {
	case request.HedgeCall:
		ok = !b.saturated() && b.take(1+b.settings.Burst*b.settings.HedgeReserve)
	case request.ResumeGeneration:
		ok = b.take(1) || b.takePace(now)
	default:
		ok = b.take(1)
	}
	if ok {
		b.counts.allowed[kind].Inc(1)
		return true, 0
	}
	b.counts.refused[kind].Inc(1)
	if kind == request.ResumeGeneration {
		return false, b.waitForResume(now)
	}
	return false, b.waitForRetry()
}

// take takes one attempt from the account if it has at least atLeast.
// The caller holds mu.
func (b *Budget) take(atLeast float64) bool {
	if b.account < atLeast {
		return false
	}
	b.account--
	return true
}

// takePace takes one resume from the pace, and puts the account in debt for it.
// The caller holds mu.
func (b *Budget) takePace(now time.Time) bool {
	grown := b.pace + now.Sub(b.pacedAt).Seconds()*b.settings.ResumeRate
	b.pace = min(grown, b.settings.ResumeBurst)
	b.pacedAt = now
	if b.pace < 1 {
		return false
	}
	b.pace--
	b.account = max(b.account-1, -b.settings.Burst)
	return true
}

// waitForResume gives each resume that has to wait a time of its own, one
// interval of the pace after the one before. The caller holds mu.
func (b *Budget) waitForResume(now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / b.settings.ResumeRate)
	if b.nextResume.Before(now) {
		b.nextResume = now
	}
	b.nextResume = b.nextResume.Add(interval)
	return b.nextResume.Sub(now)
}

// Bounds of the wait after a refused retry or hedge.
const (
	retryMinWait = 30 * time.Millisecond
	retrySpread  = 70 * time.Millisecond
)

// waitForRetry spreads those that come back evenly over a while.
func (b *Budget) waitForRetry() time.Duration {
	return retryMinWait + time.Duration(b.rand()*float64(retrySpread))
}
