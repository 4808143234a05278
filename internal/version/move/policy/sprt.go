package policy

import (
	"fmt"
	"math"
)

const (
	// Alpha bounds the share of good versions that one accumulator calls bad in a
	// restart of its test; the test restarts whenever its sum falls to its floor.
	Alpha = 6e-6
	// Beta bounds the share of versions at the limit that a signal calls proved.
	Beta = 0.002
	// maxStep bounds what one update adds, so that a burst of a few seconds on one
	// target does not decide.
	maxStep = 3
	// minReference is how many requests of the old version must be seen while the
	// sum is above 0 before the new one may be called bad.
	minReference = 40
)

var (
	badBound    = -math.Log(Alpha)
	provedBound = math.Log(Beta)
)

// SPRT is a sequential likelihood ratio test for each signal, of a share as good
// as the old version's against one at the limit. It runs on all requests, and on
// each group of teams for badness only. After a signal is proved, its test goes
// on as a cumulative sum with floor 0, so that late badness is seen as well.
type SPRT struct{}

var _ Policy = SPRT{}

// Name returns the policy's name.
func (SPRT) Name() string { return "sprt" }

// accumulator is one running test.
type accumulator struct {
	// sum is the log likelihood ratio of bad against good.
	sum float64
	// reference counts the old version's requests since the sum rose above 0.
	reference float64
}

// sprtState is what the policy keeps.
type sprtState struct {
	ref    reference
	all    [signalCount]accumulator
	groups [signalCount][groupCount]accumulator
	proved [signalCount]bool
	// judged counts the new version's requests by signal.
	judged [signalCount]float64
}

// Update implements Policy.
func (SPRT) Update(state []float64, in Input) ([]float64, Verdict) {
	st := decodeSPRT(state)
	st.ref.update(in)
	for s := signal(0); s < signalCount; s++ {
		st.advance(s, in)
	}
	return st.encode(), st.verdict()
}

// increment is the evidence of one update for one signal.
type increment struct {
	all    float64
	groups [groupCount]float64
	judged float64
	old    float64
}

// measure sums the log likelihood ratios of the new version's requests.
func (st *sprtState) measure(s signal, in Input) increment {
	var inc increment
	threshold := st.ref.thresholds[s]
	zones := oldByZone(s, threshold, in.Strata)
	for _, c := range zones {
		inc.old += c.all
	}
	for _, x := range in.Strata {
		l := level(x.LoadLevel)
		v := s.sample(x.New, threshold)
		if v.all == 0 || !st.ref.usable(s, l) {
			continue
		}
		p0 := st.ref.share(s, l, zones[zoneCell{x.AvailabilityZone, l}])
		p1 := badShare(s, p0, in.Limits, in.OldTotal, threshold)
		llr := logLikelihoodRatio(v, p0, p1)
		inc.all += llr
		inc.groups[teamGroup(x.Team)] += llr
		inc.judged += v.all
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
	inc := st.measure(s, in)
	st.judged[s] += inc.judged
	floor := provedBound
	if st.proved[s] {
		floor = 0
	}
	st.all[s].add(inc.all, inc.old, floor)
	if st.all[s].sum <= provedBound {
		st.proved[s] = true
		st.all[s].sum = 0
	}
	for g := range groupCount {
		st.groups[s][g].add(inc.groups[g], inc.old, 0)
	}
}

// add adds one update. The sum stays at half the bound while too little was seen
// of the old version.
func (a *accumulator) add(llr, old, floor float64) {
	a.sum = max(floor, a.sum+max(-maxStep, min(maxStep, llr)))
	if a.sum <= 0 {
		a.reference = 0
		return
	}
	a.reference += old
	if a.reference < minReference {
		a.sum = min(a.sum, badBound/2)
	}
	a.sum = min(a.sum, badBound+maxStep)
}

func (a *accumulator) isBad() bool  { return a.sum >= badBound }
func (a *accumulator) isHigh() bool { return a.sum >= badBound/2 }
func (a *accumulator) lacksReference() bool {
	return a.isHigh() && a.reference < minReference
}

// verdict reads the tests.
func (st *sprtState) verdict() Verdict {
	v := Verdict{Proved: st.allProved()}
	for s := signal(0); s < signalCount; s++ {
		v.include(&st.all[s], s, "all teams", st.judged[s])
		for g := range groupCount {
			v.include(&st.groups[s][g], s, fmt.Sprintf("team group %d", g), st.judged[s])
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

// include adds what one test says.
func (v *Verdict) include(a *accumulator, s signal, scope string, judged float64) {
	if !a.isHigh() {
		return
	}
	v.Hold = true
	v.Doubt = v.Doubt || a.lacksReference()
	if v.Bad || v.Reason != "" && !a.isBad() {
		return
	}
	v.Bad = a.isBad()
	v.Reason = fmt.Sprintf("%s (%s): log likelihood ratio %.1f of %.1f against the old version over the same time, %.0f requests judged",
		signalNames[s], scope, a.sum, badBound, judged)
}

// RequestsToProve returns how many requests of a good new version the proof of its
// error share needs on average.
func RequestsToProve(lim Limits) float64 {
	p0 := priorShares[errorSignal]
	p1 := badShare(errorSignal, p0, lim, nil, noThreshold)
	drift := -logLikelihoodRatio(ratio{p0, 1}, p0, p1)
	return -provedBound / drift
}
