package generation

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

// gaps learns how long the silence between two chunks of a stream usually is.
type gaps struct {
	mean      time.Duration
	deviation time.Duration
	count     int
	total     time.Duration
}

// add counts one gap.
func (g *gaps) add(d time.Duration) {
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

// overall returns the mean of all gaps, or 0 when there was none.
func (g *gaps) overall() time.Duration {
	if g.count == 0 {
		return 0
	}
	return g.total / time.Duration(g.count)
}

// silenceBound returns how long the stream may be silent before the engine is asked
// whether it is alive. expected is the route's gap and serves until a gap was seen.
func (g *gaps) silenceBound(s *Settings, expected time.Duration) time.Duration {
	if s.FixedSilence > 0 {
		return s.FixedSilence.Std()
	}
	bound := s.MaxSilence.Std()
	switch {
	case g.count > 0:
		bound = max(g.mean+deviations*g.deviation, meanGaps*g.mean)
	case expected > 0:
		bound = 2 * meanGaps * expected
	}
	return min(max(bound, s.MinSilence.Std()), s.MaxSilence.Std())
}

// firstTokenBound returns how long an engine may take to the first token of an
// attempt whose prompt and prefix have the given length.
func (s *Settings) firstTokenBound(inputBytes int) time.Duration {
	return s.FirstToken.Std() + s.FirstTokenPerKiB.Std()*time.Duration(inputBytes)/1024
}
