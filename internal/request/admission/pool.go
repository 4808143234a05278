package admission

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// poolKey names the targets that a request competes for.
type poolKey struct {
	service, version string
}

// limitLifetime is how long a pool's limit is used before it is computed again.
const limitLifetime = 50 * time.Millisecond

// holdWeight is the weight of a new duration in the moving averages.
const holdWeight = 0.05

// pool shares the capacity of one service's version between teams: start-time
// fair queueing by weight between teams, deadline order within a team. The
// admitter's mu guards it.
type pool struct {
	key     poolKey
	running int
	waiting int
	queues  map[string]*teamQueue
	// virtual is the start time of the request that was admitted last, in cost per
	// weight.
	virtual float64
	// hold is the average duration of a request, holdPerCost the same for one unit
	// of cost; in seconds, 0 means not known yet.
	hold, holdPerCost float64
	limit             int
	limitAt           time.Time
	learned           learnedLimit
	returns           advice
}

func newPool(key poolKey) *pool {
	return &pool{key: key, queues: map[string]*teamQueue{}}
}

// costOf is what a request takes of a fair share: tokens, or 1 for a call.
func costOf(w *request.Work) float64 {
	return float64(max(w.Tokens, 1))
}

// queue returns the team's queue, a new one at first.
func (p *pool) queue(t *team) *teamQueue {
	q := p.queues[t.name]
	if q == nil {
		q = &teamQueue{team: t}
		p.queues[t.name] = q
	}
	return q
}

// start counts an admitted request and charges its team's fair share.
func (p *pool) start(w *waiter, weight float64, now time.Time) {
	q := p.queue(w.team)
	begin := max(p.virtual, q.finish)
	p.virtual = begin
	q.finish = begin + w.cost/(weight*priorityWeight(w.work.Priority))
	p.running++
	q.running++
	w.started = now
	if !isCall(&w.work) {
		w.team.generations++
	}
}

// end counts the end of an admitted request.
func (p *pool) end(w *waiter, now time.Time) {
	p.running--
	p.queue(w.team).running--
	if !isCall(&w.work) {
		w.team.generations--
	}
	held := now.Sub(w.started).Seconds()
	p.hold = average(p.hold, held)
	p.holdPerCost = average(p.holdPerCost, held/w.cost)
	p.learned.observe(held/w.cost, p.running+1)
}

// average moves a towards x; the first x is taken whole.
func average(a, x float64) float64 {
	if a == 0 {
		return x
	}
	return a + holdWeight*(x-a)
}

// expected returns how long the request will run, as far as is known.
func (p *pool) expected(w *waiter) time.Duration {
	return seconds(p.holdPerCost * w.cost)
}

// rate returns the requests a second that the pool can take; 0 when not known.
func (p *pool) rate() float64 {
	if p.hold == 0 {
		return 0
	}
	return float64(p.limit) / p.hold
}

// wait estimates how long a request with ahead others of its team before it
// waits, when the team has this many slots of the pool.
func (p *pool) wait(ahead int, slots float64) time.Duration {
	if p.running < p.limit && p.waiting == 0 {
		return 0
	}
	return seconds(float64(ahead+1) * p.hold / slots)
}

// waitForTeam estimates how long a generation with ahead others of its team
// before it waits for its team's own limit of concurrent generations.
func (p *pool) waitForTeam(t *team, ahead int, l limits) time.Duration {
	if l.generations == 0 {
		return 0
	}
	ends := ahead + 1 - (l.generations - t.generations)
	return seconds(float64(max(ends, 0)) * p.hold / float64(l.generations))
}

// next returns the queue whose first request starts earliest in virtual time
// among those that may start, or nil.
func (p *pool) next(mayStart func(*teamQueue) bool) *teamQueue {
	var best *teamQueue
	lowest := math.Inf(1)
	for _, q := range p.queues {
		if len(q.waiting) == 0 || !mayStart(q) {
			continue
		}
		begin := max(p.virtual, q.finish)
		if begin < lowest || begin == lowest && compareWaiters(q.waiting[0], best.waiting[0]) < 0 {
			best, lowest = q, begin
		}
	}
	return best
}

// longest returns the queue with the most waiting requests for its weight.
func (p *pool) longest(weight func(*team) float64) *teamQueue {
	var best *teamQueue
	most := 0.0
	for _, q := range p.queues {
		if n := float64(len(q.waiting)) / weight(q.team); n > most || n == most && best != nil && q.team.name < best.team.name {
			best, most = q, n
		}
	}
	return best
}
