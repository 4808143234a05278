package admission

import (
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// requestState is the state of one request from its arrival to its release. The
// admitter's mu guards it until decided is closed.
type requestState struct {
	work request.Work
	team *team
	cost float64
	// decided is closed when a queued request is admitted or refused. err is set
	// before.
	decided chan struct{}
	err     error
	// started is when the request was admitted.
	started time.Time
}

// decide ends the wait of a queued request: it is admitted when err is nil, refused
// otherwise. The caller holds the admitter's mu.
func (req *requestState) decide(err error) {
	req.err = err
	close(req.decided)
}

// teamQueue holds the queued requests of one team in one pool, ordered by priority
// and, within a priority, by deadline.
type teamQueue struct {
	team    *team
	waiting []*requestState
	// running is the number of the team's admitted requests in the pool.
	running int
	// lastArrival is the arrival time of the team's last request.
	lastArrival time.Time
	// virtualFinish is the virtual finish time of the team's last admitted request.
	virtualFinish float64
}

// activeLifetime is the time after its last request for which a team counts as
// active.
const activeLifetime = 10 * time.Second

// isActive reports whether the team has requests in the pool or had one recently.
func (q *teamQueue) isActive(now time.Time) bool {
	return q.running > 0 || len(q.waiting) > 0 || now.Sub(q.lastArrival) < activeLifetime
}

// compareRequests orders requests by priority, highest first, then by deadline.
func compareRequests(a, b *requestState) int {
	if a.work.Priority != b.work.Priority {
		return int(b.work.Priority) - int(a.work.Priority)
	}
	return a.work.Deadline.Compare(b.work.Deadline)
}

// insertionIndex returns the index at which req belongs in the queue, after requests
// of equal order.
func (q *teamQueue) insertionIndex(req *requestState) int {
	index, _ := slices.BinarySearchFunc(q.waiting, req, func(x, req *requestState) int {
		if compareRequests(x, req) <= 0 {
			return -1
		}
		return 1
	})
	return index
}

// remove removes req and reports whether it was in the queue.
func (q *teamQueue) remove(req *requestState) bool {
	index := slices.Index(q.waiting, req)
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return true
}

// priorityWeight returns the factor by which a request's priority scales its team's
// weight. Priority thus counts between teams too, but the high priority of one team
// can't starve another team.
func priorityWeight(p chicoryv1.Priority) float64 {
	switch p {
	case chicoryv1.Priority_PRIORITY_HIGH:
		return 2
	case chicoryv1.Priority_PRIORITY_LOW:
		return 0.5
	default:
		return 1
	}
}
