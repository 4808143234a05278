// Package pace tells a stream that is silent from one that is slow: it learns the
// usual gaps of a stream and ends one that is silent beyond its bound.
package pace

import "time"

// Weights of the running mean and deviation of the gaps of one stream.
const (
	meanWeight      = 8
	deviationWeight = 4
	// deviations is how many mean deviations above the mean gap a stream may be silent.
	deviations = 6
	// meanGaps is the least bound, in mean gaps.
	meanGaps = 4
)

// Bounds limit the learned bound on a silence.
type Bounds struct {
	// Fixed replaces the learned bound when it is not 0.
	Fixed time.Duration
	Min   time.Duration
	Max   time.Duration
}

// Gaps learns how long the silence between two chunks of a stream usually is. The
// zero value has learned nothing.
type Gaps struct {
	mean      time.Duration
	deviation time.Duration
	count     int
	total     time.Duration
}

// Add counts one gap.
func (g *Gaps) Add(d time.Duration) {
	g.count++
	g.total += d
	if g.count == 1 {
		g.mean = d
		g.deviation = d / 2
		return
	}
	difference := d - g.mean
	g.mean += difference / meanWeight
	g.deviation += (difference.Abs() - g.deviation) / deviationWeight
}

// Overall returns the mean of all gaps, or 0 when there was none.
func (g *Gaps) Overall() time.Duration {
	if g.count == 0 {
		return 0
	}
	return g.total / time.Duration(g.count)
}

// Count returns the number of gaps.
func (g *Gaps) Count() int { return g.count }

// Mean returns the moving average of the gaps, 0 when there was none.
func (g *Gaps) Mean() time.Duration { return g.mean }

// SilenceBound returns how long the stream may be silent before it counts as lost.
// expected is the usual gap and serves until one was seen.
func (g *Gaps) SilenceBound(b Bounds, expected time.Duration) time.Duration {
	if b.Fixed > 0 {
		return b.Fixed
	}
	bound := b.Max
	switch {
	case g.count > 0:
		bound = max(g.mean+deviations*g.deviation, meanGaps*g.mean)
	case expected > 0:
		bound = 2 * meanGaps * expected
	}
	return min(max(bound, b.Min), b.Max)
}
