package admission

import (
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// waiter is one request in a queue. The admitter's mu guards it until decided
// is closed; err is set before.
type waiter struct {
	work    request.Work
	team    *team
	cost    float64
	decided chan struct{}
	err     error
	// started is when the request was admitted.
	started time.Time
}

// decide ends the wait. The caller holds the admitter's mu.
func (w *waiter) decide(err error) {
	w.err = err
	close(w.decided)
}

// teamQueue has the waiting requests of one team in one pool: high priority
// first, and the earliest deadline first within a priority.
type teamQueue struct {
	team    *team
	waiting []*waiter
	// running is the number of the team's admitted requests in the pool.
	running int
	// seen is when the team's last request came.
	seen time.Time
	// finish is the virtual time at which the team's last admitted request ends in
	// its fair share.
	finish float64
}

// activeTime is how long a team without requests still counts as active.
const activeTime = 10 * time.Second

// isActive reports whether the team uses the pool.
func (q *teamQueue) isActive(now time.Time) bool {
	return q.running > 0 || len(q.waiting) > 0 || now.Sub(q.seen) < activeTime
}

// compareWaiters orders by priority, then by deadline.
func compareWaiters(a, b *waiter) int {
	if a.work.Priority != b.work.Priority {
		return int(b.work.Priority) - int(a.work.Priority)
	}
	return a.work.Deadline.Compare(b.work.Deadline)
}

// place returns where a request belongs: behind its equals.
func (q *teamQueue) place(w *waiter) int {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(x, w *waiter) int {
		if compareWaiters(x, w) <= 0 {
			return -1
		}
		return 1
	})
	return at
}

// remove takes w out and reports whether it was there.
func (q *teamQueue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// priorityWeight multiplies a team's weight for one request, so that priority
// counts between teams without letting one team's high priority starve another.
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
