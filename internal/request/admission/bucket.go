package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. Its level may be below 0 after a request that used
// more than it had reserved, or that is larger than the bucket. It has no lock.
type bucket struct {
	level  float64
	filled time.Time
}

// fill adds what rate (a second) gave since the last time, up to burst. A new
// bucket is full.
func (b *bucket) fill(now time.Time, rate, burst float64) {
	if b.filled.IsZero() {
		b.level = burst
	} else {
		b.level += now.Sub(b.filled).Seconds() * rate
	}
	b.level = min(b.level, burst)
	b.filled = now
}

// take takes n and reports true, or returns the time until that is possible. A
// request larger than burst needs a full bucket.
func (b *bucket) take(now time.Time, n, rate, burst float64) (bool, time.Duration) {
	b.fill(now, rate, burst)
	need := min(n, burst)
	if b.level >= need {
		b.level -= n
		return true, 0
	}
	return false, seconds((need - b.level) / rate)
}

// seconds turns s into a duration, bounded so that it can't overflow.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, time.Hour.Seconds()) * float64(time.Second))
}

// advice spreads the returns of refused requests: each gets a time of its own,
// one interval after the one before. It has no lock.
type advice struct {
	next time.Time
}

// wait returns when one more refused request should come back. rate is how many
// returns a second are welcome.
func (a *advice) wait(now time.Time, least time.Duration, rate float64, s *Settings, random float64) time.Duration {
	earliest := now.Add(max(least, s.MinRetryAfter.Std()))
	if a.next.Before(earliest) {
		a.next = earliest
	}
	if latest := now.Add(s.MaxRetryAfter.Std()); a.next.After(latest) {
		a.next = latest
	}
	if rate > 0 {
		a.next = a.next.Add(min(seconds(1/rate), s.MaxRetryAfter.Std()))
	}
	wait := a.next.Sub(now)
	// Half an even spread keeps routers that advise the same times apart.
	return wait + time.Duration(random*float64(wait)/2)
}
