package policy

import (
	"fmt"
	"math"

	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	// Alpha bounds the probability that a test calls a good version bad before it
	// restarts. A test restarts whenever its sum falls to its floor.
	Alpha = 6e-6
	// Beta bounds the probability that a signal of a version at the limit is called
	// proved.
	Beta = 0.02
	// maxRise bounds what is added to a sum at once, and riseRate what is added per
	// second in the long run.
	maxRise  = 4
	riseRate = 2
	// maxFall bounds what one update subtracts from a sum.
	maxFall = 3
	// minOldRequests is the number of requests of the old version, counted while the
	// sum is above 0, that are needed to call the new version bad.
	minOldRequests = 40
	// minTeamRequests is the number of requests of the same teams on the old version
	// that a comparison with them needs.
	minTeamRequests = 10
	// badZScore is the z-score of the new version's rate against the old version's, over
	// the same period, from which a version can be called bad. From holdZScore on, the
	// share stops growing.
	badZScore  = 4
	holdZScore = 2
)

var (
	badBound    = -math.Log(Alpha)
	provedBound = math.Log(Beta)
	// holdBound is the sum from which the share can stop growing. inconclusiveBound is
	// the sum from which the test needs more requests of the old version.
	holdBound         = badBound / 2
	inconclusiveBound = badBound * 3 / 4
)

// SPRT runs a sequential probability ratio test for each signal. The hypotheses are
// that the rate of bad requests is that of the old version, or that it is at the limit.
// One test runs on all requests. Others run on the requests of each group of teams, and
// can only call a version bad. Once a signal is proved, its test continues as a CUSUM
// test with floor 0, to detect a version that becomes bad later.
type SPRT struct{}

var _ Policy = SPRT{}

// Name returns the policy's name.
func (SPRT) Name() string { return "sprt" }

// sprtState is the state of the policy.
type sprtState struct {
	teams teamSlots
	// stratumGroups and stratumZones hold the group, and the number of the zone and load
	// level, of each stratum in this update. They are not stored.
	stratumGroups, stratumZones []int
	ref                         reference
	overall                     [signalCount]sequentialTest
	groups                      [signalCount][groupCount]sequentialTest
	proved                      [signalCount]bool
	// related holds the tests on related routes. Latency signals have none.
	related [signalCount]relatedTest
	// oddsRatio is the factor by which the odds of a slow request rise at the limit.
	oddsRatio [signalCount]float64
	// evaluated is the number of requests of the new version that were tested.
	evaluated [signalCount]float64
}

// Update implements Policy.
func (SPRT) Update(state []float64, in Input) ([]float64, Verdict) {
	st := decodeSPRT(state)
	st.stratumGroups, st.stratumZones = st.teams.groups(in.Strata), numberZones(in.Strata)
	for s := signal(0); s < signalCount; s++ {
		if in.ShareChanged {
			st.resetSamples(s)
		}
		st.advance(s, in)
	}
	return st.encode(), st.verdict(in)
}

// resetSamples clears the samples that compare the versions directly. Samples from
// periods with different traffic shares give a temporary fault a different weight in
// each version.
func (st *sprtState) resetSamples(s signal) {
	st.overall[s].resetSamples()
	for g := range groupCount {
		st.groups[s][g].resetSamples()
	}
}

// increment is what one update adds to the tests of one signal.
type increment struct {
	// overall and groups are log likelihood ratios, in total and by group.
	overall float64
	groups  [groupCount]float64
	// old and new are the samples of the versions, in total and by group.
	old, new             ratio
	oldGroups, newGroups [groupCount]ratio
}

// computeIncrement sums the log likelihood ratios of the new version's requests. During
// a fault, the expected rate is an estimate from few requests of the old version. The
// ratios are then scaled down to the information in a comparison of two samples.
func (st *sprtState) computeIncrement(s signal, in Input, oldSamples, newSamples []ratio) increment {
	var inc increment
	if !anyRequests(oldSamples) && !anyRequests(newSamples) {
		return inc
	}
	zones := sumByZone(st.stratumZones, oldSamples, newSamples)
	var newAt [loadLevels]float64
	for i, x := range in.Strata {
		inc.old = inc.old.plus(oldSamples[i])
		g := st.stratumGroups[i]
		inc.oldGroups[g] = inc.oldGroups[g].plus(oldSamples[i])
		newAt[clampLevel(x.LoadLevel)] += newSamples[i].all
	}
	for i, x := range in.Strata {
		l := clampLevel(x.LoadLevel)
		if newSamples[i].all == 0 || !st.ref.canEvaluate(s, l) {
			continue
		}
		g := st.stratumGroups[i]
		z := zones[st.stratumZones[i]]
		routeWide := st.ref.expectationAt(s, l)
		e, newRequests := routeWide.raiseIfSignificant(z.old, routeWide.rate), newAt[l]
		if e != routeWide {
			newRequests = z.new
		}
		e = st.ref.raiseToGroup(s, g, e)
		p1 := limitRate(s, e.rate, in.Limits, st.oddsRatio[s])
		llr := logLikelihoodRatio(newSamples[i], e.rate, p1)
		if !math.IsInf(e.sampleSize, 1) {
			llr *= e.sampleSize / (e.sampleSize + newRequests)
		}
		inc.overall += llr
		inc.groups[g] += llr
		inc.new = inc.new.plus(newSamples[i])
		inc.newGroups[g] = inc.newGroups[g].plus(newSamples[i])
	}
	return inc
}

// logLikelihoodRatio returns the log likelihood ratio of the rate p1 to the rate p0.
func logLikelihoodRatio(v ratio, p0, p1 float64) float64 {
	bad := min(v.bad, v.all)
	return bad*math.Log(p1/p0) + (v.all-bad)*math.Log((1-p1)/(1-p0))
}

// advance updates the tests of one signal.
func (st *sprtState) advance(s signal, in Input) {
	st.fixThreshold(s, in)
	oldSamples, newSamples := samples(s, in.Strata, st.ref.thresholds[s])
	st.ref.update(s, in, st.stratumGroups, oldSamples)
	inc := st.computeIncrement(s, in, oldSamples, newSamples)
	st.evaluated[s] += inc.new.all
	if !s.isLatency() {
		st.related[s].advance(s, in)
	}
	bound := st.related[s].bound()
	floor := bound
	if st.proved[s] {
		floor = 0
	}
	st.overall[s].add(inc.overall, in.Elapsed, inc.old, inc.new, floor)
	if st.overall[s].sum <= bound {
		st.proved[s] = true
		st.overall[s].sum = 0
	}
	for g := range groupCount {
		if st.groups[s][g].sum > 0 {
			st.groups[s][g].sameTeam = st.groups[s][g].sameTeam.plus(inc.oldGroups[g])
		}
		st.groups[s][g].add(inc.groups[g], in.Elapsed, inc.old, inc.newGroups[g], 0)
	}
}

// fixThreshold sets the threshold and the odds ratio of a latency signal, once there
// are enough samples of the old version. They don't change afterwards.
func (st *sprtState) fixThreshold(s signal, in Input) {
	if !s.isLatency() || st.ref.thresholds[s] != noThreshold {
		return
	}
	if t := quantileThreshold(s, in.OldTotal); t != noThreshold {
		st.ref.thresholds[s] = t
		st.oddsRatio[s] = slowOddsRatio(s, in.Limits, in.OldTotal, t)
	}
}

// anyRequests reports whether any of the samples has requests.
func anyRequests(list []ratio) bool {
	for _, r := range list {
		if r.all > 0 {
			return true
		}
	}
	return false
}

// samples returns the samples of both versions for a signal, by stratum.
func samples(s signal, strata []evidence.Stratum, threshold int) (oldSamples, newSamples []ratio) {
	both := make([]ratio, 2*len(strata))
	oldSamples, newSamples = both[:len(strata)], both[len(strata):]
	for i, x := range strata {
		oldSamples[i], newSamples[i] = s.sample(x.Old, threshold), s.sample(x.New, threshold)
	}
	return oldSamples, newSamples
}

// verdict combines the results of the tests.
func (st *sprtState) verdict(in Input) Verdict {
	v := Verdict{Proved: st.allProved()}
	limits := in.Limits
	limits.ErrorIncrease /= 2
	for s := signal(0); s < signalCount; s++ {
		limit := func(rate float64) float64 {
			return limitRate(s, max(rate, priorRates[s]*minPriorFactor), limits, math.Sqrt(st.oddsRatio[s]))
		}
		baseline := st.ref.baseline(s)
		v.addStatus(&st.overall[s], s, "all teams", st.overall[s].status(baseline, limit))
		for g := range groupCount {
			group := st.ref.groups[s][g]
			t := st.groups[s][g]
			t.old = t.old.scaleBad(max(1, group.rate()/max(baseline.rate(), priorRates[s])))
			v.addStatus(&st.groups[s][g], s, st.groupLabel(g, in), t.status(group, limit))
		}
	}
	if v.Reason == "" && v.Proved {
		v.Reason = fmt.Sprintf("proved on %.0f requests: no signal above its limit, miss rate %.3f",
			st.evaluated[errorSignal], Beta)
	}
	return v
}

// allProved reports whether every signal that needs a proof is proved. Latency signals
// need one only if they have evidence. Crossed answers need none: a proof would have to
// wait for events as rare as one request in a thousand, and two crossed answers are
// enough to call a version bad.
func (st *sprtState) allProved() bool {
	for s := signal(0); s < signalCount; s++ {
		needed := s != crossedSignal && (!s.isLatency() || st.evaluated[s] > 0)
		if needed && !st.proved[s] {
			return false
		}
	}
	return true
}

// groupLabel returns the name of a group's first team in this update.
func (st *sprtState) groupLabel(g int, in Input) string {
	for i, x := range in.Strata {
		if st.stratumGroups[i] == g {
			return "team " + x.Team
		}
	}
	return "one team"
}

// addStatus adds the result of one test to the verdict.
func (v *Verdict) addStatus(t *sequentialTest, s signal, scope string, result status) {
	if !result.elevated {
		return
	}
	v.Hold = true
	v.Inconclusive = v.Inconclusive || result.inconclusive
	if v.Bad || v.Reason != "" && !result.bad {
		return
	}
	v.Bad = result.bad
	v.Reason = fmt.Sprintf("%s (%s): %.0f of %.0f requests, old version %.0f of %.0f over the same time, log likelihood ratio %.1f of %.1f",
		signalNames[s], scope, t.new.bad, t.new.all, t.old.bad, t.old.all, t.sum, badBound)
}

// RequestsToProve returns the average number of requests of a good new version that
// it takes to prove its error rate.
func RequestsToProve(lim Limits) float64 {
	p0 := priorRates[errorSignal]
	p1 := limitRate(errorSignal, p0, lim, 1)
	drift := -logLikelihoodRatio(ratio{p0, 1}, p0, p1)
	return -provedBound / drift
}
