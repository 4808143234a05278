package speed

import (
	"math"
	"slices"
	"time"
)

// Spread describes the factors of the incarnations that have estimates.
type Spread struct {
	// Known is the number of incarnations that have an estimate.
	Known int
	// Fast and Slow are the 5th and the 95th percentile of the factors; 1 if none is known.
	Fast, Slow float64
}

// Spread returns the spread of the factors at now.
func (t *Table) Spread(now time.Time) Spread {
	s := Spread{Fast: 1, Slow: 1}
	if t == nil || !t.stated.Load() {
		return s
	}
	t.mu.Lock()
	var factors []float64
	for _, e := range t.byAddress {
		if e.service.isStated(now) && e.combined(now).weight >= 1 {
			factors = append(factors, math.Exp(e.lastingLog(now)))
		}
	}
	t.mu.Unlock()
	if s.Known = len(factors); s.Known > 0 {
		slices.Sort(factors)
		s.Fast, s.Slow = factors[(s.Known-1)*5/100], factors[(s.Known-1)*95/100]
	}
	return s
}
