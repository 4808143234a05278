package policy

import (
	"fmt"
	"math"

	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	// Alpha bounds the share of good versions that one accumulator calls bad in a
	// restart of its test; the test restarts whenever its sum falls to its floor.
	Alpha = 6e-6
	// Beta bounds the share of versions at the limit that a signal calls proved.
	Beta = 0.02
	// maxRise and riseRate bound what is added to a sum at once and per second.
	maxRise  = 4
	riseRate = 2
	// maxFall bounds what one update takes away.
	maxFall = 3
	// minReference is how many requests of the old version must be seen while the
	// sum is above 0 before the new one may be called bad.
	minReference = 40
	// minOwnReference is how many requests of the same team on the old version allow
	// a comparison with them.
	minOwnReference = 10
	// badDeviations is by how many standard deviations the new version's share must
	// be above the old one's over the same time, and holdDeviations from where the
	// share stops growing.
	badDeviations  = 4
	holdDeviations = 2
)

var (
	badBound    = -math.Log(Alpha)
	provedBound = math.Log(Beta)
	// holdBound is the sum from which the share stops growing, and doubtBound that
	// from which more must be seen of the old version.
	holdBound  = badBound / 2
	doubtBound = badBound * 3 / 4
)

// SPRT is a sequential likelihood ratio test for each signal, of a share as good
// as the old version's against one at the limit. It runs on all requests, and on
// each group of teams for badness only. After a signal is proved, its test goes
// on as a cumulative sum with floor 0, so that late badness is seen as well.
type SPRT struct{}

var _ Policy = SPRT{}

// Name returns the policy's name.
func (SPRT) Name() string { return "sprt" }

// sprtState is what the policy keeps.
type sprtState struct {
	teams teamSlots
	// current and zones are the group and the zone cell of each stratum of this
	// update; they are not kept.
	current, zones []int
	ref            reference
	all            [signalCount]accumulator
	groups         [signalCount][groupCount]accumulator
	proved         [signalCount]bool
	// related are the tests on related routes; latencies have none.
	related [signalCount]relatedTest
	// oddsRatio is by how much a latency signal's odds rise at the limit.
	oddsRatio [signalCount]float64
	// judged counts the new version's requests by signal.
	judged [signalCount]float64
}

// Update implements Policy.
func (SPRT) Update(state []float64, in Input) ([]float64, Verdict) {
	st := decodeSPRT(state)
	st.current, st.zones = st.teams.groups(in.Strata), zoneCells(in.Strata)
	for s := signal(0); s < signalCount; s++ {
		if in.ShareChanged {
			st.restartSamples(s)
		}
		st.advance(s, in)
	}
	return st.encode(), st.verdict(in)
}

// restartSamples drops the samples of the direct comparison, because samples
// from times of different shares weigh a passing fault differently.
func (st *sprtState) restartSamples(s signal) {
	st.all[s].restart()
	for g := range groupCount {
		st.groups[s][g].restart()
	}
}

// increment is the evidence of one update for one signal.
type increment struct {
	all    float64
	groups [groupCount]float64
	// old and now are the versions' samples, in all and by group.
	old, now             ratio
	oldGroups, nowGroups [groupCount]ratio
}

// measure sums the log likelihood ratios of the new version's requests. When
// the reference is trouble that is going on, estimated from few requests of the
// old version, the ratios count less by the information that two samples have.
func (st *sprtState) measure(s signal, in Input, old, now []ratio) increment {
	var inc increment
	if !anySeen(old) && !anySeen(now) {
		return inc
	}
	zones := byZone(st.zones, old, now)
	var newAt [loadLevels]float64
	for i, x := range in.Strata {
		inc.old = inc.old.plus(old[i])
		g := st.current[i]
		inc.oldGroups[g] = inc.oldGroups[g].plus(old[i])
		newAt[level(x.LoadLevel)] += now[i].all
	}
	for i, x := range in.Strata {
		l := level(x.LoadLevel)
		if now[i].all == 0 || !st.ref.usable(s, l) {
			continue
		}
		g := st.current[i]
		z := zones[st.zones[i]]
		route := st.ref.at(s, l)
		e, competing := route.orJump(z.old, route.share), newAt[l]
		if e != route {
			competing = z.new
		}
		e = st.ref.forGroup(s, g, e)
		p1 := badShare(s, e.share, in.Limits, st.oddsRatio[s])
		llr := logLikelihoodRatio(now[i], e.share, p1)
		if !math.IsInf(e.support, 1) {
			llr *= e.support / (e.support + competing)
		}
		inc.all += llr
		inc.groups[g] += llr
		inc.now = inc.now.plus(now[i])
		inc.nowGroups[g] = inc.nowGroups[g].plus(now[i])
	}
	return inc
}

// logLikelihoodRatio of a share p1 against p0.
func logLikelihoodRatio(v ratio, p0, p1 float64) float64 {
	bad := min(v.bad, v.all)
	return bad*math.Log(p1/p0) + (v.all-bad)*math.Log((1-p1)/(1-p0))
}

// advance runs the tests of one signal.
func (st *sprtState) advance(s signal, in Input) {
	st.fixThreshold(s, in)
	old, now := samples(s, in.Strata, st.ref.thresholds[s])
	st.ref.update(s, in, st.current, old)
	inc := st.measure(s, in, old, now)
	st.judged[s] += inc.now.all
	if !s.isLatency() {
		st.related[s].advance(s, in)
	}
	bound := st.related[s].bound()
	floor := bound
	if st.proved[s] {
		floor = 0
	}
	st.all[s].add(inc.all, in.Elapsed, inc.old, inc.now, floor)
	if st.all[s].sum <= bound {
		st.proved[s] = true
		st.all[s].sum = 0
	}
	for g := range groupCount {
		if st.groups[s][g].sum > 0 {
			st.groups[s][g].own = st.groups[s][g].own.plus(inc.oldGroups[g])
		}
		st.groups[s][g].add(inc.groups[g], in.Elapsed, inc.old, inc.nowGroups[g], 0)
	}
}

// fixThreshold fixes the threshold of a latency signal, and by how much its odds
// rise at the limit, once enough is known of the old version.
func (st *sprtState) fixThreshold(s signal, in Input) {
	if !s.isLatency() || st.ref.thresholds[s] != noThreshold {
		return
	}
	if t := fixThreshold(s, in.OldTotal); t != noThreshold {
		st.ref.thresholds[s] = t
		st.oddsRatio[s] = slowOddsRatio(s, in.Limits, in.OldTotal, t)
	}
}

func anySeen(list []ratio) bool {
	for _, r := range list {
		if r.all > 0 {
			return true
		}
	}
	return false
}

// samples returns both versions' samples of a signal by stratum.
func samples(s signal, strata []evidence.Stratum, threshold int) (old, now []ratio) {
	both := make([]ratio, 2*len(strata))
	old, now = both[:len(strata)], both[len(strata):]
	for i, x := range strata {
		old[i], now[i] = s.sample(x.Old, threshold), s.sample(x.New, threshold)
	}
	return old, now
}

// verdict reads the tests.
func (st *sprtState) verdict(in Input) Verdict {
	v := Verdict{Proved: st.allProved()}
	limits := in.Limits
	limits.ErrorIncrease /= 2
	for s := signal(0); s < signalCount; s++ {
		limit := func(share float64) float64 {
			return badShare(s, max(share, priorShares[s]*minShareFactor), limits, math.Sqrt(st.oddsRatio[s]))
		}
		ordinary := st.ref.ordinary(s)
		v.include(&st.all[s], s, "all teams", st.all[s].standing(ordinary, limit))
		for g := range groupCount {
			group := st.ref.groups[s][g]
			a := st.groups[s][g]
			a.old = a.old.scaled(max(1, group.share()/max(ordinary.share(), priorShares[s])))
			v.include(&st.groups[s][g], s, st.teamOf(g, in), a.standing(group, limit))
		}
	}
	if v.Reason == "" && v.Proved {
		v.Reason = fmt.Sprintf("proved on %.0f requests: no signal above its limit, miss rate %.3f",
			st.judged[errorSignal], Beta)
	}
	return v
}

// allProved reports whether every signal with evidence is proved. Errors always
// have evidence. Crossed answers need no proof: one request in a thousand would
// have to be waited for, and two crossed answers are enough to call a version bad.
func (st *sprtState) allProved() bool {
	for s := signal(0); s < signalCount; s++ {
		needed := s != crossedSignal && (!s.isLatency() || st.judged[s] > 0)
		if needed && !st.proved[s] {
			return false
		}
	}
	return true
}

// teamOf names a group by its team in this update.
func (st *sprtState) teamOf(g int, in Input) string {
	for i, x := range in.Strata {
		if st.current[i] == g {
			return "team " + x.Team
		}
	}
	return "one team"
}

// include adds what one test says.
func (v *Verdict) include(a *accumulator, s signal, scope string, now standing) {
	if !now.high {
		return
	}
	v.Hold = true
	v.Doubt = v.Doubt || now.doubt
	if v.Bad || v.Reason != "" && !now.bad {
		return
	}
	v.Bad = now.bad
	v.Reason = fmt.Sprintf("%s (%s): %.0f of %.0f requests, old version %.0f of %.0f over the same time, log likelihood ratio %.1f of %.1f",
		signalNames[s], scope, a.now.bad, a.now.all, a.old.bad, a.old.all, a.sum, badBound)
}

// RequestsToProve returns how many requests of a good new version the proof of its
// error share needs on average.
func RequestsToProve(lim Limits) float64 {
	p0 := priorShares[errorSignal]
	p1 := badShare(errorSignal, p0, lim, 1)
	drift := -logLikelihoodRatio(ratio{p0, 1}, p0, p1)
	return -provedBound / drift
}
