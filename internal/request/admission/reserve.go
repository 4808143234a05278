package admission

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// reserve is the part of a pool that is kept free for active teams that are below
// their fair share and have no queued requests. When all active teams have queued
// requests, fair queueing alone decides and nothing is reserved.
type reserve struct {
	// slots is the number of reserved slots.
	slots int
	// totalWeight is the sum of the active teams' weights.
	totalWeight float64
}

// computeReserve returns the pool's reserve. The caller holds mu.
func (a *Admitter) computeReserve(p *pool, now time.Time) reserve {
	var r reserve
	active := 0
	for _, q := range p.queues {
		if q.isActive(now) {
			active++
			r.totalWeight += a.limits(q.team).weight
		}
	}
	if active < 2 {
		return r
	}
	for _, q := range p.queues {
		if q.isActive(now) && len(q.waiting) == 0 && a.isBelowFairShare(p, q, r.totalWeight) {
			r.slots = int(math.Round(float64(p.limit) * a.opts.Settings.ReserveShare))
		}
	}
	return r
}

// isBelowFairShare reports whether the team uses fewer slots than its fair share of
// the pool. The caller holds mu.
func (a *Admitter) isBelowFairShare(p *pool, q *teamQueue, totalWeight float64) bool {
	return float64(q.running) < float64(p.limit)*a.limits(q.team).weight/totalWeight
}

// expectedSlots returns the number of the pool's slots that the team can expect to
// use: its fair share, or what the reserve and the other teams leave free if that is
// more. The caller holds mu.
func (a *Admitter) expectedSlots(p *pool, q *teamQueue, now time.Time) float64 {
	r := a.computeReserve(p, now)
	fair := float64(p.limit) * a.limits(q.team).weight / r.totalWeight
	left := float64(p.limit - r.slots - (p.running - q.running))
	return max(fair, left)
}

// canStart reports whether a request of q may run now: the pool has a free slot, the
// team is below its limit of concurrent generations, and the slot is not reserved or
// the team is below its fair share. The caller holds mu.
func (a *Admitter) canStart(p *pool, q *teamQueue, w *request.Work, r reserve) bool {
	lim := a.limits(q.team)
	if p.running >= p.limit {
		return false
	}
	if !isCall(w) && lim.generations > 0 && q.team.generations >= lim.generations {
		return false
	}
	if p.running < p.limit-r.slots {
		return true
	}
	return a.isBelowFairShare(p, q, r.totalWeight)
}
