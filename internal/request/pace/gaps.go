// Package pace detects stalled streams and decides when calls are hedged. It learns the
// usual gap between the chunks of a stream, cancels a stream whose silence exceeds the
// timeout derived from that, and tracks the latency of idempotent calls.
package pace

import "time"

// Smoothing divisors of the moving average and deviation of one stream's gaps: a new gap
// has a weight of 1/divisor.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	// deviationFactor is the number of mean deviations above the mean gap after which a
	// stream counts as stalled.
	deviationFactor = 6
	// minMeanFactor is the minimum silence timeout as a multiple of the mean gap.
	minMeanFactor = 4
)

// TimeoutBounds limit the learned silence timeout.
type TimeoutBounds struct {
	// Fixed replaces the learned timeout if it is not 0.
	Fixed time.Duration
	Min   time.Duration
	Max   time.Duration
}

// GapEstimator learns the usual gap between two chunks of a stream. The zero value is an
// estimator without samples.
type GapEstimator struct {
	mean      time.Duration
	deviation time.Duration
	count     int
	total     time.Duration
}

// Add records one gap.
func (g *GapEstimator) Add(d time.Duration) {
	g.count++
	g.total += d
	if g.count == 1 {
		g.mean = d
		g.deviation = d / 2
		return
	}
	difference := d - g.mean
	g.mean += difference / meanDivisor
	g.deviation += (difference.Abs() - g.deviation) / deviationDivisor
}

// OverallMean returns the mean of all gaps, or 0 if there are none.
func (g *GapEstimator) OverallMean() time.Duration {
	if g.count == 0 {
		return 0
	}
	return g.total / time.Duration(g.count)
}

// Count returns the number of gaps.
func (g *GapEstimator) Count() int { return g.count }

// Mean returns the moving average of the gaps, or 0 if there are none.
func (g *GapEstimator) Mean() time.Duration { return g.mean }

// SilenceTimeout returns how long the stream may be silent before it counts as lost.
// expected is the usual gap; it is used until the first gap has been measured.
func (g *GapEstimator) SilenceTimeout(b TimeoutBounds, expected time.Duration) time.Duration {
	if b.Fixed > 0 {
		return b.Fixed
	}
	timeout := b.Max
	switch {
	case g.count > 0:
		timeout = max(g.mean+deviationFactor*g.deviation, minMeanFactor*g.mean)
	case expected > 0:
		timeout = 2 * minMeanFactor * expected
	}
	return min(max(timeout, b.Min), b.Max)
}
