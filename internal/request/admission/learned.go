package admission

import "math"

// Bounds of a learned limit.
const (
	// learnedStart is the limit before anything was observed.
	learnedStart = 20
	// learnedTolerance is the ratio of short to long average latency that is
	// taken as normal.
	learnedTolerance = 1.5
	// learnedShort and learnedLong are the weights of a new latency in the averages.
	learnedShort = 0.1
	learnedLong  = 0.002
	// learnedSmoothing is the part of a new estimate that enters the limit.
	learnedSmoothing = 0.2
)

// learnedLimit is a concurrency limit that shrinks when latency grows above its
// long-term average, and grows by the square root of itself otherwise.
type learnedLimit struct {
	limit       float64
	short, long float64
}

// observe takes in one latency (per unit of cost) and the number of requests
// that were running then.
func (l *learnedLimit) observe(latency float64, running int) {
	if l.limit == 0 {
		l.limit = learnedStart
		l.short, l.long = latency, latency
	}
	l.short += learnedShort * (latency - l.short)
	l.long += learnedLong * (latency - l.long)
	if l.long > l.short {
		l.long += learnedShort * (l.short - l.long)
	}
	if float64(running) < l.limit/2 || l.short == 0 {
		return
	}
	gradient := min(max(learnedTolerance*l.long/l.short, 0.5), 1)
	next := l.limit*gradient + math.Sqrt(l.limit)
	l.limit = max(l.limit+learnedSmoothing*(next-l.limit), 1)
}

// current returns the limit.
func (l *learnedLimit) current() int {
	if l.limit == 0 {
		return learnedStart
	}
	return int(l.limit)
}
