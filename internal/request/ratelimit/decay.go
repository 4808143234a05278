package ratelimit

import (
	"math"
	"time"
)

// decayed is a sum in which the weight of past events decays exponentially. The zero value is
// empty.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum, in which an event that is lifetime old weighs 1/e.
func (d *decayed) value(now time.Time, lifetime time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(lifetime))
}

func (d *decayed) add(x float64, now time.Time, lifetime time.Duration) {
	d.sum, d.at = d.value(now, lifetime)+x, now
}
