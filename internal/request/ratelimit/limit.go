// Package ratelimit keeps the requests that all entry VMs together send to a target within the
// rate that the target names in its responses.
//
// The leading control VM owns the rate of each such target. It grants it in permits, one for
// each request, to the entry VMs that ask for them, and a permit that isn't used soon expires.
// An entry VM without contact to the leader issues permits to itself, at a fraction of its equal
// share of the rate.
package ratelimit

import (
	"math"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// limitLifetime is the time after which the limit of a target that has sent no more
	// responses is no longer relied on.
	limitLifetime = 10 * time.Minute
	// minRate, in requests per second, allows requests that show whether a target still names
	// a limit of about 0.
	minRate = 1.0 / 30
)

// limit is what the last known response of a target names.
type limit struct {
	instance string
	// rate is in requests per second; 0 means that the response names no limit.
	rate float64
	// namedAt is when the response was received.
	namedAt time.Time
}

// isInForce reports whether requests to the target are limited.
func (l limit) isInForce(now time.Time) bool {
	return l.rate > 0 && now.Sub(l.namedAt) < limitLifetime
}

// permitLifetime is the time after which an unused permit expires: that in which the rate allows
// one request, so that a permit of a low rate finds a request, and minPermitLifetime at least.
func (l limit) permitLifetime() time.Duration {
	return max(minPermitLifetime, time.Duration(float64(time.Second)/l.rate))
}

// isNewer reports whether l is of a later response than other.
func (l limit) isNewer(other limit) bool { return l.namedAt.After(other.namedAt) }

// isSame reports whether both name the same rate for the same start of the target.
func (l limit) isSame(other limit) bool {
	return l.instance == other.instance && l.rate == other.rate
}

func (l limit) encode(address string, now time.Time) *chicoryv1.TargetLimit {
	return &chicoryv1.TargetLimit{
		Address: address, Instance: l.instance, Rate: l.rate, AgeMs: uint32(max(now.Sub(l.namedAt), 0).Milliseconds()),
	}
}

func decode(m *chicoryv1.TargetLimit, now time.Time) limit {
	return limit{
		instance: m.GetInstance(),
		rate:     validRate(m.GetRate()),
		namedAt:  now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

// validRate returns a rate that permits can be issued at, or 0 if none is named.
func validRate(rate float64) float64 {
	if math.IsNaN(rate) || rate <= 0 {
		return 0
	}
	return max(rate, minRate)
}
