package move

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// MaxCapPermille is the largest share of a version that is not proved, and
	// DefaultCapPermille the share if the operator names none.
	MaxCapPermille     = 50
	DefaultCapPermille = 45
	// The same for routes of non-idempotent calls.
	NonIdempotentMaxCapPermille     = 10
	NonIdempotentDefaultCapPermille = 9
	// FullPermille is the share while watching. The rest goes to the old version,
	// so that a fault common to both is told from a bad version.
	FullPermille = 950
	// doubtPermille is the share while it is unclear whether a fault is common.
	doubtPermille = 500
	// minStepRequests of the new version are planned for each growing share.
	minStepRequests = 50
	// minWatchRequests of the new version must be seen in the watch before it ends well.
	minWatchRequests = 20
)

// growingPermille are the shares between the cap and the full share.
var growingPermille = []uint32{100, 250, 500}

// schedule holds the planned durations of a move, derived from its intent.
type schedule struct {
	start, deadline time.Time
	// grow is the planned time at each growing share, and minGrow the shortest.
	grow, minGrow time.Duration
	// watch is the planned time at full share, and minWatch the shortest.
	watch, minWatch time.Duration
}

// Parts of the time between start and deadline.
const (
	growPart     = 24
	maxGrowPart  = 12
	minGrowPart  = 96
	watchPart    = 6
	minWatchPart = 24
)

func scheduleOf(in *chicoryv1.MoveIntent) schedule {
	s := schedule{start: time.UnixMilli(in.GetStartUnixMs()), deadline: time.UnixMilli(in.GetDeadlineUnixMs())}
	whole := s.deadline.Sub(s.start)
	s.grow, s.minGrow = whole/growPart, whole/minGrowPart
	s.watch, s.minWatch = whole/watchPart, whole/minWatchPart
	if rate := in.GetExpectedRate(); rate > 0 {
		firstShare := float64(growingPermille[0]) / permille
		needed := time.Duration(minStepRequests / (rate * firstShare) * float64(time.Second))
		s.grow = min(max(s.grow, needed), whole/maxGrowPart)
	}
	return s
}

const permille = 1000

// latestProof is the last time at which a proof leaves room for the shortest
// growth and watch before the deadline.
func (s schedule) latestProof() time.Time {
	return s.deadline.Add(-s.minWatch - time.Duration(len(growingPermille))*s.minGrow)
}

// plannedProof is the time by which a proof lets the move keep its planned durations.
func (s schedule) plannedProof() time.Time {
	return s.deadline.Add(-s.watch - time.Duration(len(growingPermille))*s.grow)
}

// stepTime is how long a share lasts that began at since, with the given number
// of growing shares left, the present one included. Late moves take shorter steps.
func (s schedule) stepTime(since time.Time, left int, hastened bool) time.Duration {
	if hastened {
		return s.minGrow
	}
	room := s.deadline.Add(-s.watch).Sub(since) / time.Duration(max(left, 1))
	return max(s.minGrow, min(room, s.grow))
}

// watchTime is how long the watch lasts that began at since.
func (s schedule) watchTime(since time.Time, hastened bool) time.Duration {
	if hastened {
		return s.minWatch
	}
	return max(s.minWatch, min(s.watch, s.deadline.Sub(since)))
}

// nextShare returns the share after p, and how many growing shares are left with
// the present one included.
func nextShare(p uint32) (next uint32, left int) {
	for i, g := range growingPermille {
		if g > p {
			return g, len(growingPermille) - i + 1
		}
	}
	return FullPermille, 1
}
