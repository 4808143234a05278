package move

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// MaxCapPermille is the maximum share of a version that is not proved, and
	// DefaultCapPermille its share if the operator gives none.
	MaxCapPermille     = 50
	DefaultCapPermille = 45
	// The same for routes with non-idempotent calls.
	NonIdempotentMaxCapPermille     = 10
	NonIdempotentDefaultCapPermille = 9
	// FullPermille is the share while a version is watched. The old version keeps the
	// rest, so that a fault common to both can be distinguished from a bad new version.
	FullPermille = 950
	// comparisonPermille is the share while it is unclear whether a fault is common.
	comparisonPermille = 500
	// minStepRequests is the number of requests of the new version that are planned for
	// each step of growth.
	minStepRequests = 50
	// minWatchRequests is the number of requests of the new version in the watch that a
	// move needs to end as done.
	minWatchRequests = 20
)

// growthPermille are the steps of growth between the cap and the full share.
var growthPermille = []uint32{100, 250, 500}

// schedule holds the planned durations of a move, which follow from its intent.
type schedule struct {
	start, deadline time.Time
	// growStep is the planned duration of each step of growth, and minGrowStep the
	// shortest one.
	growStep, minGrowStep time.Duration
	// watch is the planned time at the full share, and minWatch the shortest one.
	watch, minWatch time.Duration
}

// Durations as fractions of the time between start and deadline. growStep is
// 1/growDivisor of it, or up to 1/maxGrowDivisor if there is little traffic. The shortest
// duration of a step is 1/minGrowDivisor.
const (
	growDivisor     = 24
	maxGrowDivisor  = 12
	minGrowDivisor  = 96
	watchDivisor    = 6
	minWatchDivisor = 24
)

// scheduleOf returns the schedule of a move with the intent.
func scheduleOf(in *chicoryv1.MoveIntent) schedule {
	s := schedule{start: time.UnixMilli(in.GetStartUnixMs()), deadline: time.UnixMilli(in.GetDeadlineUnixMs())}
	window := s.deadline.Sub(s.start)
	s.growStep, s.minGrowStep = window/growDivisor, window/minGrowDivisor
	s.watch, s.minWatch = window/watchDivisor, window/minWatchDivisor
	if rate := in.GetExpectedRate(); rate > 0 {
		firstShare := float64(growthPermille[0]) / permille
		needed := time.Duration(minStepRequests / (rate * firstShare) * float64(time.Second))
		s.growStep = min(max(s.growStep, needed), window/maxGrowDivisor)
	}
	return s
}

const permille = 1000

// latestProof returns the last time of a proof that leaves enough time for the shortest
// growth and watch before the deadline.
func (s schedule) latestProof() time.Time {
	return s.deadline.Add(-s.minWatch - time.Duration(len(growthPermille))*s.minGrowStep)
}

// plannedProof returns the last time of a proof that leaves enough time for the planned
// growth and watch before the deadline.
func (s schedule) plannedProof() time.Time {
	return s.deadline.Add(-s.watch - time.Duration(len(growthPermille))*s.growStep)
}

// growStepTime returns the duration of a step of growth that began at since. left is the
// number of steps left, including this one. Steps of late moves are shorter.
func (s schedule) growStepTime(since time.Time, left int, hastened bool) time.Duration {
	if hastened {
		return s.minGrowStep
	}
	available := s.deadline.Add(-s.watch).Sub(since) / time.Duration(max(left, 1))
	return max(s.minGrowStep, min(available, s.growStep))
}

// watchTime returns the duration of a watch that began at since.
func (s schedule) watchTime(since time.Time, hastened bool) time.Duration {
	if hastened {
		return s.minWatch
	}
	return max(s.minWatch, min(s.watch, s.deadline.Sub(since)))
}

// nextShare returns the share after p, and the number of steps of growth left, including
// the current one.
func nextShare(p uint32) (next uint32, left int) {
	for i, g := range growthPermille {
		if g > p {
			return g, len(growthPermille) - i + 1
		}
	}
	return FullPermille, 1
}
