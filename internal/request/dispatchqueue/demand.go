package dispatchqueue

import (
	"math"
	"slices"
	"time"
)

// Demand returns the number of streams that wait and can still meet their latency objective, by service and
// priority. Late ones don't count, so that other VMs don't leave room to them that streams in time could use.
// Streams whose response has begun count for the highest priority.
func (q *Queue) Demand(now time.Time) []Demand {
	var out []Demand
	for service, s := range q.services {
		for _, e := range s.entries {
			if !e.Begun && e.isLate(now) {
				continue
			}
			priority := max(e.Priority, 0)
			if e.Begun {
				priority = 0
			}
			i := slices.IndexFunc(out, func(d Demand) bool { return d.Service == service && d.Priority == priority })
			if i < 0 {
				i = len(out)
				out = append(out, Demand{Service: service, Priority: priority})
			}
			out[i].Requests++
			out[i].PromptTokens += e.PromptTokens
		}
	}
	return out
}

// SetRemoteDemand replaces the sum of what waits at all other VMs.
func (q *Queue) SetRemoteDemand(demand []Demand, now time.Time) {
	q.remote, q.remoteAt = nil, now
	for _, d := range demand {
		if d.Requests <= 0 {
			continue
		}
		if q.remote == nil {
			q.remote = map[string]map[int]int{}
		}
		if q.remote[d.Service] == nil {
			q.remote[d.Service] = map[int]int{}
		}
		q.remote[d.Service][d.Priority] += d.Requests
	}
}

// HasRemoteDemand reports whether streams wait at other VMs.
func (q *Queue) HasRemoteDemand(now time.Time) bool {
	return len(q.remote) > 0 && now.Sub(q.remoteAt) < remoteLifetime
}

// SharesRoom reports whether streams wait at other VMs, or may wait there since the leader is lost.
func (q *Queue) SharesRoom(now time.Time) bool {
	return len(q.remote) > 0 && now.Sub(q.remoteAt) < contestLifetime
}

const (
	// rateLifetime is the time over which rates are averaged: several dispatches of a VM that gets one
	// stream per second.
	rateLifetime = 4 * time.Second
	// minRateTime is the time after which a rate is known.
	minRateTime = time.Second
	// expectationMargin is the factor by which the expected wait of a stream that waits already must
	// exceed what its deadline allows before it is refused, so that it isn't refused for a short
	// irregularity of the rates.
	expectationMargin = 2
)

// rates are the rates at which streams join and leave the queue of a service.
type rates struct {
	begunAt    time.Time
	dispatched decayed
	// joins is by priority; streams whose response has begun count for none.
	joins map[int]*decayed
}

// begin restarts the measurement, because rates while no stream waits say nothing of the room.
func (r *rates) begin(now time.Time) {
	*r = rates{begunAt: now, joins: map[int]*decayed{}}
}

func (r *rates) joined(e *Entry, now time.Time) {
	if e.Begun {
		return
	}
	d := r.joins[e.Priority]
	if d == nil {
		d = &decayed{}
		r.joins[e.Priority] = d
	}
	d.add(1, now, rateLifetime)
}

// perSecond returns the rate of what d counts.
func (r *rates) perSecond(d *decayed, now time.Time) float64 {
	known := 1 - math.Exp(-float64(now.Sub(r.begunAt))/float64(rateLifetime))
	if known <= 0 {
		return 0
	}
	return d.value(now, rateLifetime) / (rateLifetime.Seconds() * known)
}

// ExpectedWait returns how long a stream will wait, whether it has joined or not; 0 if that isn't known.
func (q *Queue) ExpectedWait(e *Entry, now time.Time) time.Duration {
	s := q.services[e.Service]
	if s == nil || len(s.entries) == 0 {
		return 0
	}
	own, ahead, aheadOfPriority := s.rank(e, now), 0, 0
	for _, other := range s.entries {
		if other == e || s.rank(other, now).compare(own) > 0 {
			continue
		}
		ahead++
		if !other.Begun && other.Priority == e.Priority {
			aheadOfPriority++
		}
	}
	return s.expectedWait(e, ahead, aheadOfPriority, now)
}

// expectedWait returns the expected wait of a stream with the given number of others before it, of which some
// have its priority. Streams of higher priorities that join later will precede it as well, but leave it the
// minimum share.
func (s *serviceQueue) expectedWait(e *Entry, ahead, aheadOfPriority int, now time.Time) time.Duration {
	if now.Sub(s.rates.begunAt) < minRateTime {
		return 0
	}
	rate := s.rates.perSecond(&s.rates.dispatched, now)
	if rate == 0 {
		return 0
	}
	left := rate
	for priority, joins := range s.rates.joins {
		if priority < e.Priority {
			left -= s.rates.perSecond(joins, now)
		}
	}
	seconds := float64(aheadOfPriority+1) / (minShare * rate)
	if left > 0 {
		seconds = min(seconds, float64(ahead+1)/left)
	}
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

// maxExpectedWait bounds expected waits, so that callers return while the load may have changed.
const maxExpectedWait = time.Minute

// WillMissDeadline reports whether a stream with the expected wait can't begin before its deadline.
func (e *Entry) WillMissDeadline(wait time.Duration, now time.Time) bool {
	return !e.Begun && !now.Add(wait+e.Work).Before(e.Deadline)
}

// RemoveExpired removes and returns the streams that can't begin before their deadline: those for which it is
// too late, as after a pause of the process, and those that others will precede until then. A stream whose
// response has begun is never returned.
func (q *Queue) RemoveExpired(now time.Time) []*Entry {
	var expired []*Entry
	for _, s := range q.services {
		if len(s.entries) == 0 {
			continue
		}
		ahead, ofPriority := 0, map[int]int{}
		for _, e := range s.order(now) {
			if e.isExpired(now) || e.WillMissDeadline(s.expectedWait(e, ahead, ofPriority[e.Priority], now)/expectationMargin, now) {
				expired = append(expired, e)
				continue
			}
			ahead++
			if !e.Begun {
				ofPriority[e.Priority]++
			}
		}
	}
	for _, e := range expired {
		q.Leave(e)
	}
	return expired
}

// decayed is a sum in which the weight of past events decays exponentially. The zero value and nil are empty.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum, in which an event that is lifetime old weighs 1/e.
func (d *decayed) value(now time.Time, lifetime time.Duration) float64 {
	if d == nil || d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(lifetime))
}

func (d *decayed) add(x float64, now time.Time, lifetime time.Duration) {
	d.sum, d.at = d.value(now, lifetime)+x, now
}
