package admission

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// poolKey identifies a pool: the targets of one service version.
type poolKey struct {
	service, version string
}

// limitRefreshInterval is the time for which a computed pool limit is used.
const limitRefreshInterval = 50 * time.Millisecond

// durationWeight is the weight of a new duration in the moving averages.
const durationWeight = 0.05

// pool shares the capacity of one service version: by weighted start-time fair
// queueing between teams, and by priority and deadline within a team. The admitter's
// mu guards it.
type pool struct {
	key     poolKey
	running int
	waiting int
	queues  map[string]*teamQueue
	// virtualTime is the virtual start time of the last admitted request, in cost
	// per weight.
	virtualTime float64
	// meanDuration and meanDurationPerCost are moving averages of the duration of a
	// request and of its duration per unit of cost, in seconds; 0 means unknown.
	meanDuration, meanDurationPerCost float64
	limit                             int
	limitComputedAt                   time.Time
	learnedLimit                      learnedLimit
	retryPacer                        retryPacer
}

func newPool(key poolKey) *pool {
	return &pool{key: key, queues: map[string]*teamQueue{}}
}

// costOf returns the cost that a request is charged in fair queueing: its tokens, or
// 1 for a call.
func costOf(w *request.Work) float64 {
	return float64(max(w.Tokens, 1))
}

// queue returns the team's queue and creates it on first use.
func (p *pool) queue(t *team) *teamQueue {
	q := p.queues[t.name]
	if q == nil {
		q = &teamQueue{team: t}
		p.queues[t.name] = q
	}
	return q
}

// start records the start of an admitted request and charges its cost to its team.
func (p *pool) start(req *requestState, weight float64, now time.Time) {
	q := p.queue(req.team)
	virtualStart := max(p.virtualTime, q.virtualFinish)
	p.virtualTime = virtualStart
	q.virtualFinish = virtualStart + req.cost/(weight*priorityWeight(req.work.Priority))
	p.running++
	q.running++
	req.started = now
	if !isCall(&req.work) {
		req.team.generations++
	}
}

// end records the end of an admitted request and its duration.
func (p *pool) end(req *requestState, now time.Time) {
	p.running--
	p.queue(req.team).running--
	if !isCall(&req.work) {
		req.team.generations--
	}
	duration := now.Sub(req.started).Seconds()
	p.meanDuration = movingAverage(p.meanDuration, duration)
	p.meanDurationPerCost = movingAverage(p.meanDurationPerCost, duration/req.cost)
	p.learnedLimit.observe(duration/req.cost, p.running+1)
}

// movingAverage returns the exponential moving average after sample x. A mean of 0
// means that x is the first sample.
func movingAverage(mean, x float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + durationWeight*(x-mean)
}

// expectedDuration returns the expected duration of req from the durations of earlier
// requests; 0 when unknown.
func (p *pool) expectedDuration(req *requestState) time.Duration {
	return secondsToDuration(p.meanDurationPerCost * req.cost)
}

// throughput returns the number of requests per second that the pool can serve; 0
// when unknown.
func (p *pool) throughput() float64 {
	if p.meanDuration == 0 {
		return 0
	}
	return float64(p.limit) / p.meanDuration
}

// estimateWait estimates the time in the queue of a request with the given number of
// requests of its team ahead of it, when the team can use slots slots of the pool.
func (p *pool) estimateWait(ahead int, slots float64) time.Duration {
	if p.running < p.limit && p.waiting == 0 {
		return 0
	}
	return secondsToDuration(float64(ahead+1) * p.meanDuration / slots)
}

// estimateTeamWait estimates how long a generation with the given number of
// generations of its team ahead of it waits for the team's limit of concurrent
// generations.
func (p *pool) estimateTeamWait(t *team, ahead int, lim limits) time.Duration {
	if lim.generations == 0 {
		return 0
	}
	releases := ahead + 1 - (lim.generations - t.generations)
	return secondsToDuration(float64(max(releases, 0)) * p.meanDuration / float64(lim.generations))
}

// nextQueue returns, of the queues whose first request can start, the one with the
// earliest virtual start time, or nil.
func (p *pool) nextQueue(canStart func(*teamQueue) bool) *teamQueue {
	var best *teamQueue
	lowest := math.Inf(1)
	for _, q := range p.queues {
		if len(q.waiting) == 0 || !canStart(q) {
			continue
		}
		virtualStart := max(p.virtualTime, q.virtualFinish)
		if virtualStart < lowest || virtualStart == lowest && compareRequests(q.waiting[0], best.waiting[0]) < 0 {
			best, lowest = q, virtualStart
		}
	}
	return best
}

// longestQueue returns the queue with the most requests relative to its team's
// weight.
func (p *pool) longestQueue(weight func(*team) float64) *teamQueue {
	var best *teamQueue
	most := 0.0
	for _, q := range p.queues {
		if n := float64(len(q.waiting)) / weight(q.team); n > most || n == most && best != nil && q.team.name < best.team.name {
			best, most = q, n
		}
	}
	return best
}
