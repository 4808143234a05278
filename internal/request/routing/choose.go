package routing

import (
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// choose returns the endpoint for one attempt, or nil. A target that is coming
// back may get the work as a probe; otherwise it goes to usable targets, and to
// ejected ones only when none is usable.
func (p *Picker) choose(g *group, w *request.Work, exclude []string, now time.Time) *endpoint {
	if e := g.probe(w, exclude, now); e != nil {
		return e
	}
	e := p.chooseAmong(g, usable, w, exclude, now)
	if e == nil {
		return p.chooseAmong(g, ejected, w, exclude, now)
	}
	if w.PrefixHash != 0 {
		return p.preferCached(g, e, w, exclude, now)
	}
	return e
}

// probe returns a target whose ejection is over and that is due for a probe.
// First attempts of idempotent work probe; when a target got no such work for a
// while, any first attempt does.
func (g *group) probe(w *request.Work, exclude []string, now time.Time) *endpoint {
	if len(exclude) > 0 {
		return nil
	}
	for _, e := range g.members() {
		until := e.ejectedUntil.Load()
		if until == 0 || e.status(now) == barred {
			continue
		}
		if w.Route.GetNonIdempotent() && now.UnixNano()-until < int64(quietReturn) {
			continue
		}
		if e.probeDue(now, g.settings.ProbeInterval.Std()) {
			return e
		}
	}
	return nil
}

// draws is the number of targets that are compared: two of the router's own
// availability zone and two of the others.
const draws = 2

// sample draws up to two items uniformly from a stream.
type sample struct {
	items [draws]*endpoint
	seen  int
}

// add is reservoir sampling with a reservoir of two.
func (s *sample) add(e *endpoint, random func() uint64) {
	if s.seen < draws {
		s.items[s.seen] = e
	} else if i := random() % uint64(s.seen+1); i < draws {
		s.items[i] = e
	}
	s.seen++
}

// best returns the drawn item with the lowest score; a coin decides between equals.
func (s *sample) best(now time.Time, m measure, random func() uint64) (*endpoint, float64) {
	if s.seen == 0 {
		return nil, 0
	}
	first := s.items[0].score(now, m)
	if s.seen == 1 {
		return s.items[0], first
	}
	second := s.items[1].score(now, m)
	if second < first || second == first && random()%2 == 0 {
		return s.items[1], second
	}
	return s.items[0], first
}

// measure returns what the scores for the work depend on.
func (p *Picker) measure(w *request.Work) measure {
	return measure{
		fallback: p.opts.Settings.DefaultCapacity,
		routers:  float64(max(p.opts.Routers(), 1)),
		isCall:   w.Tokens == 0,
	}
}

// withinBound returns up to which score a preferred target is taken instead of
// one with the given score: the bound above it, but not so that the request would
// wait for a slot, unless it would wait at the other one as well.
func withinBound(score, bound float64) float64 {
	return min(score+bound, max(score, 1))
}

// chooseAmong compares random endpoints of a status. One of the router's own
// availability zone is taken unless it is loaded above the other by the bound.
// Work of high priority goes where the load is lowest.
func (p *Picker) chooseAmong(g *group, want status, w *request.Work, exclude []string, now time.Time) *endpoint {
	var near, far sample
	for _, e := range g.members() {
		if e.status(now) != want || slices.Contains(exclude, e.target.GetAddress()) {
			continue
		}
		if e.local {
			near.add(e, p.opts.Rand)
		} else {
			far.add(e, p.opts.Rand)
		}
	}
	m := p.measure(w)
	nearBest, nearScore := near.best(now, m, p.opts.Rand)
	farBest, farScore := far.best(now, m, p.opts.Rand)
	bound := p.opts.Settings.ZoneBound
	if w.Priority == chicoryv1.Priority_PRIORITY_HIGH {
		bound = 0
	}
	if nearBest == nil || farBest != nil && nearScore > withinBound(farScore, bound) {
		return farBest
	}
	return nearBest
}

// preferCached returns the least loaded usable target that has the prefix
// cached, unless it is full or loaded above the chosen one by the bound.
func (p *Picker) preferCached(g *group, chosen *endpoint, w *request.Work, exclude []string, now time.Time) *endpoint {
	var buf [maxHints]string
	hinted := p.opts.Loads.Hints.Targets(buf[:0], w.PrefixHash, now)
	if len(hinted) == 0 {
		return chosen
	}
	m := p.measure(w)
	score := chosen.score(now, m)
	best := chosen
	lowest := withinBound(score, p.opts.Settings.AffinityBound)
	for _, e := range g.members() {
		address := e.target.GetAddress()
		if !slices.Contains(hinted, address) || e.status(now) != usable || slices.Contains(exclude, address) {
			continue
		}
		if score := e.score(now, m); score <= lowest {
			best, lowest = e, score
		}
	}
	return best
}

// maxHints is the room for hinted addresses that needs no allocation.
const maxHints = 8
