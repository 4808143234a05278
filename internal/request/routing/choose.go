package routing

import (
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// choosePermitted returns the endpoint for one attempt that may get the work now. Work that
// would go to an ejected target waits for a permit instead.
func (p *Picker) choosePermitted(g *group, w *request.Work, exclude []string, now time.Time) (*endpoint, error) {
	if e := p.reserved(g, w, exclude, now); e != nil {
		return e, nil
	}
	limited := false
	for {
		e := p.choose(g, w, exclude, now)
		switch {
		case limited && (e == nil || e.status(now) != usable):
			return nil, fault.New(fault.Overloaded, "the targets of service %q take no more requests now", w.Route.GetService())
		case e == nil:
			return nil, p.noTargetError(*w)
		case p.isPermitted(e, w):
			return e, nil
		}
		limited = true
		exclude = append(slices.Clip(exclude), e.target.GetAddress())
	}
}

// reserved returns the endpoint that the work has a permit for, or nil. It gives the permit back
// if the endpoint can't get the work.
func (p *Picker) reserved(g *group, w *request.Work, exclude []string, now time.Time) *endpoint {
	if w.Reserved == "" {
		return nil
	}
	for _, e := range g.members() {
		if e.target.GetAddress() == w.Reserved && e.status(now) == usable && !slices.Contains(exclude, w.Reserved) {
			return e
		}
	}
	p.opts.Limits.Return(w.Reserved)
	return nil
}

func (p *Picker) isPermitted(e *endpoint, w *request.Work) bool {
	if w.Repeat {
		return !p.opts.Limits.IsLimited(e.target.GetAddress())
	}
	return p.opts.Limits.Take(e.target.GetAddress())
}

// choose returns the endpoint for one attempt, or nil. A target that is due for a
// probe or a trial is preferred. Otherwise the work goes to a usable target, and to an ejected
// one only when none is usable.
func (p *Picker) choose(g *group, w *request.Work, exclude []string, now time.Time) *endpoint {
	if e := g.nextProbeTarget(w, exclude, now); e != nil {
		return e
	}
	if e := g.nextTrialTarget(w, exclude, now); e != nil {
		return e
	}
	e := p.chooseByStatus(g, usable, w, exclude, now)
	if e == nil {
		return p.chooseByStatus(g, ejected, w, exclude, now)
	}
	if w.PrefixHash != 0 {
		return p.preferCached(g, e, w, exclude, now)
	}
	return e
}

// nextProbeTarget returns a target whose ejection time has passed and that is due for
// a probe, or nil. Only first attempts are used as probes, and non-idempotent work
// only for a target that is still ejected quietRestoreTime after its ejection time.
func (g *group) nextProbeTarget(w *request.Work, exclude []string, now time.Time) *endpoint {
	if len(exclude) > 0 {
		return nil
	}
	for _, e := range g.members() {
		until := e.ejectedUntil.Load()
		if until == 0 || e.status(now) == unavailable {
			continue
		}
		if w.Route.GetNonIdempotent() && now.UnixNano()-until < int64(quietRestoreTime) {
			continue
		}
		if e.tryTakeProbe(now, g.settings.ProbeInterval.Std()) {
			return e
		}
	}
	return nil
}

// nextTrialTarget returns a slow target that is due for a trial call, or nil. Only first
// attempts of idempotent calls are trials: a slow one can be hedged.
func (g *group) nextTrialTarget(w *request.Work, exclude []string, now time.Time) *endpoint {
	if len(exclude) > 0 || w.Tokens > 0 || w.Route.GetNonIdempotent() {
		return nil
	}
	members, picks := g.members(), g.picks.Load()
	for _, e := range members {
		if e.tryTakeTrial(now, picks, uint64(len(members))) {
			return e
		}
	}
	return nil
}

// sampleSize is the number of targets that are sampled from the router's own
// availability zone, and the number sampled from the other ones.
const sampleSize = 2

// endpointSample is a uniform random sample of up to sampleSize endpoints.
type endpointSample struct {
	items [sampleSize]*endpoint
	seen  int
}

// add offers e to the sample, by reservoir sampling.
func (s *endpointSample) add(e *endpoint, random func() uint64) {
	if s.seen < sampleSize {
		s.items[s.seen] = e
	} else if i := random() % uint64(s.seen+1); i < sampleSize {
		s.items[i] = e
	}
	s.seen++
}

// best returns the sampled endpoint with the lowest score, and its score. Ties are
// broken at random.
func (s *endpointSample) best(now time.Time, params scoreParams, random func() uint64) (*endpoint, float64) {
	if s.seen == 0 {
		return nil, 0
	}
	first := s.items[0].score(now, params)
	if s.seen == 1 {
		return s.items[0], first
	}
	second := s.items[1].score(now, params)
	if second < first || second == first && random()%2 == 0 {
		return s.items[1], second
	}
	return s.items[0], first
}

// scoreParams returns the parameters of endpoint.score for w.
func (p *Picker) scoreParams(w *request.Work) scoreParams {
	return scoreParams{
		defaultCapacity: p.opts.Settings.DefaultCapacity,
		routers:         float64(max(p.opts.Routers(), 1)),
		isCall:          w.Tokens == 0,
		speeds:          p.opts.Speeds,
	}
}

// preferenceLimit returns the highest score at which a preferred target is chosen
// over one with the given score: up to bound above it, but at most 1, above which the
// request waits for a slot, unless it would wait at the other target as well.
func preferenceLimit(score, bound float64) float64 {
	return min(score+bound, max(score, 1))
}

// chooseByStatus compares random endpoints that have the wanted status. It prefers
// the router's own availability zone within Settings.ZoneBound, except for work of
// high priority, which always goes to the lowest score.
func (p *Picker) chooseByStatus(g *group, want status, w *request.Work, exclude []string, now time.Time) *endpoint {
	var localSample, remoteSample endpointSample
	for _, e := range g.members() {
		if e.status(now) != want || slices.Contains(exclude, e.target.GetAddress()) {
			continue
		}
		if e.sameZone {
			localSample.add(e, p.opts.Rand)
		} else {
			remoteSample.add(e, p.opts.Rand)
		}
	}
	params := p.scoreParams(w)
	localBest, localScore := localSample.best(now, params, p.opts.Rand)
	remoteBest, remoteScore := remoteSample.best(now, params, p.opts.Rand)
	bound := p.opts.Settings.ZoneBound
	if w.Priority == chicoryv1.Priority_PRIORITY_HIGH {
		bound = 0
	}
	if localBest == nil || remoteBest != nil && localScore > preferenceLimit(remoteScore, bound) {
		return remoteBest
	}
	return localBest
}

// preferCached returns the usable target with the lowest score among those that have
// the prompt prefix of w cached, or chosen when they are full or their scores exceed
// that of chosen by more than Settings.AffinityBound.
func (p *Picker) preferCached(g *group, chosen *endpoint, w *request.Work, exclude []string, now time.Time) *endpoint {
	var buf [maxHints]string
	hinted := p.opts.Loads.Hints.Targets(buf[:0], w.PrefixHash, now)
	if len(hinted) == 0 {
		return chosen
	}
	params := p.scoreParams(w)
	chosenScore := chosen.score(now, params)
	best := chosen
	limit := preferenceLimit(chosenScore, p.opts.Settings.AffinityBound)
	for _, e := range g.members() {
		address := e.target.GetAddress()
		if !slices.Contains(hinted, address) || e.status(now) != usable || slices.Contains(exclude, address) {
			continue
		}
		if score := e.score(now, params); score <= limit {
			best, limit = e, score
		}
	}
	return best
}

// maxHints is the number of hinted addresses for which preferCached needs no heap
// allocation.
const maxHints = 8
