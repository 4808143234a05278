package admission

import (
	"math"
	"time"
)

// tokenBucket is a token bucket. Its level becomes negative when a request uses
// more than it reserved or is larger than the bucket. It is not safe for concurrent
// use.
type tokenBucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds the tokens accrued since the last refill at rate tokens per second,
// up to burst. A new bucket starts full.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.level = burst
	} else {
		b.level += now.Sub(b.refilledAt).Seconds() * rate
	}
	b.level = min(b.level, burst)
	b.refilledAt = now
}

// take removes cost tokens and returns true, or returns false and the time until
// they are available. A request larger than burst needs a full bucket.
func (b *tokenBucket) take(now time.Time, cost, rate, burst float64) (bool, time.Duration) {
	b.refill(now, rate, burst)
	required := min(cost, burst)
	if b.level >= required {
		b.level -= cost
		return true, 0
	}
	return false, secondsToDuration((required - b.level) / rate)
}

// secondsToDuration converts s to a time.Duration, limited to one hour so that it
// can't overflow.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(math.Min(s, time.Hour.Seconds()) * float64(time.Second))
}

// retryPacer spreads the retries of refused requests: each gets its own retry time,
// one interval after the previous one. It is not safe for concurrent use.
type retryPacer struct {
	// lastRetry is the retry time given to the last refused request.
	lastRetry time.Time
}

// delay returns the time after which the next refused request should be retried.
// rate is the number of retries to schedule per second; with 0 they are not spaced.
// jitter is a random number in [0, 1).
func (p *retryPacer) delay(now time.Time, minDelay time.Duration, rate float64, s *Settings, jitter float64) time.Duration {
	earliest := now.Add(max(minDelay, s.MinRetryAfter.Std()))
	if p.lastRetry.Before(earliest) {
		p.lastRetry = earliest
	}
	if latest := now.Add(s.MaxRetryAfter.Std()); p.lastRetry.After(latest) {
		p.lastRetry = latest
	}
	if rate > 0 {
		p.lastRetry = p.lastRetry.Add(min(secondsToDuration(1/rate), s.MaxRetryAfter.Std()))
	}
	delay := p.lastRetry.Sub(now)
	// Up to 50% of random delay on top keeps retries apart that several routers
	// would schedule for the same time.
	return delay + time.Duration(jitter*float64(delay)/2)
}
