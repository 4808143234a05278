package admission

import "math"

// Parameters of learnedLimit.
const (
	// initialLearnedLimit is the limit before the first observation.
	initialLearnedLimit = 20
	// latencyTolerance is the ratio of the short-term to the long-term average
	// latency up to which the limit is not reduced.
	latencyTolerance = 1.5
	// shortAverageWeight and longAverageWeight are the weights of a new latency in
	// the short-term and long-term averages.
	shortAverageWeight = 0.1
	longAverageWeight  = 0.002
	// limitSmoothing is the weight of a new estimate in the limit.
	limitSmoothing = 0.2
)

// learnedLimit is an adaptive concurrency limit. It shrinks when the short-term
// average latency exceeds the long-term average, and grows by its square root
// otherwise.
type learnedLimit struct {
	limit                     float64
	shortAverage, longAverage float64
}

// observe updates the limit with the latency of one request, per unit of cost, and
// the number of requests that ran at that time.
func (l *learnedLimit) observe(latency float64, running int) {
	if l.limit == 0 {
		l.limit = initialLearnedLimit
		l.shortAverage, l.longAverage = latency, latency
	}
	l.shortAverage += shortAverageWeight * (latency - l.shortAverage)
	l.longAverage += longAverageWeight * (latency - l.longAverage)
	if l.longAverage > l.shortAverage {
		l.longAverage += shortAverageWeight * (l.shortAverage - l.longAverage)
	}
	if float64(running) < l.limit/2 || l.shortAverage == 0 {
		return
	}
	gradient := min(max(latencyTolerance*l.longAverage/l.shortAverage, 0.5), 1)
	next := l.limit*gradient + math.Sqrt(l.limit)
	l.limit = max(l.limit+limitSmoothing*(next-l.limit), 1)
}

// current returns the limit in concurrent requests.
func (l *learnedLimit) current() int {
	if l.limit == 0 {
		return initialLearnedLimit
	}
	return int(l.limit)
}
