package admission

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// reserve is the part of a pool that is left free for an active team that is
// below its fair share and has nothing waiting just now. When all active teams
// have requests waiting, their order alone decides and nothing is left free.
type reserve struct {
	slots int
	// weight is the sum of the active teams' weights.
	weight float64
}

// reserveOf computes the pool's reserve. The caller holds mu.
func (a *Admitter) reserveOf(p *pool, now time.Time) reserve {
	var r reserve
	active := 0
	for _, q := range p.queues {
		if q.isActive(now) {
			active++
			r.weight += a.limits(q.team).weight
		}
	}
	if active < 2 {
		return r
	}
	for _, q := range p.queues {
		if q.isActive(now) && len(q.waiting) == 0 && a.isBelowShare(p, q, r.weight) {
			r.slots = int(math.Round(float64(p.limit) * a.opts.Settings.ReserveShare))
		}
	}
	return r
}

// isBelowShare reports whether the team runs less than its fair share of the
// pool. The caller holds mu.
func (a *Admitter) isBelowShare(p *pool, q *teamQueue, weight float64) bool {
	return float64(q.running) < float64(p.limit)*a.limits(q.team).weight/weight
}

// slotsOf returns how many of the pool's slots the team can count on: its fair
// share, or what the reserve and the other teams leave. The caller holds mu.
func (a *Admitter) slotsOf(p *pool, q *teamQueue, now time.Time) float64 {
	r := a.reserveOf(p, now)
	fair := float64(p.limit) * a.limits(q.team).weight / r.weight
	left := float64(p.limit - r.slots - (p.running - q.running))
	return max(fair, left)
}

// mayStart reports whether a request of q may run now: the pool has room, of
// which the reserve is for teams below their fair share, and the team is below
// its limit of generations. The caller holds mu.
func (a *Admitter) mayStart(p *pool, q *teamQueue, w *request.Work, r reserve) bool {
	l := a.limits(q.team)
	if p.running >= p.limit {
		return false
	}
	if !isCall(w) && l.generations > 0 && q.team.generations >= l.generations {
		return false
	}
	if p.running < p.limit-r.slots {
		return true
	}
	return a.isBelowShare(p, q, r.weight)
}
