package policy

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// bayesHalfLife is the memory of the counts that tell badness.
	bayesHalfLife = 2 * time.Minute
	// bayesBad is the posterior probability of badness that counts as bad.
	bayesBad = 0.9999
	// bayesHold is the posterior probability from which the share stops growing.
	bayesHold = 0.99
	// bayesProved is the posterior probability of being within the limit.
	bayesProved = 0.995
	// bayesPriorWeight is how many requests the prior counts.
	bayesPriorWeight = 20
	// bayesMinBad requests of the new version are needed before it is called bad.
	bayesMinBad = 5
)

// Bayes keeps a beta-binomial model of each signal for both versions, in all and
// for each group of teams, and compares their posteriors after every update.
type Bayes struct{}

var _ Policy = Bayes{}

// Name returns the policy's name.
func (Bayes) Name() string { return "bayes" }

// bayesState is what the policy keeps.
type bayesState struct {
	teams      teamSlots
	thresholds [signalCount]int
	// recent has the decayed counts, old[s][0] and new[s][0] of all teams and the
	// rest of new by group; whole has the counts since the start.
	recentOld [signalCount]ratio
	recentNew [signalCount][1 + groupCount]ratio
	wholeOld  [signalCount]ratio
	wholeNew  [signalCount]ratio
	proved    [signalCount]bool
}

// Update implements Policy.
func (Bayes) Update(state []float64, in Input) ([]float64, Verdict) {
	st := decodeBayes(state)
	groups := st.teams.groups(in.Strata)
	v := Verdict{Proved: true}
	for s := signal(0); s < signalCount; s++ {
		st.count(s, in, groups)
		st.judge(s, in, &v)
	}
	if v.Proved && v.Reason == "" {
		v.Reason = fmt.Sprintf("proved on %.0f requests with probability %.3f", st.wholeNew[errorSignal].all, bayesProved)
	}
	return st.encode(), v
}

// count adds the strata.
func (st *bayesState) count(s signal, in Input, groups []int) {
	if s.isLatency() && st.thresholds[s] == noThreshold {
		st.thresholds[s] = fixThreshold(s, in.OldTotal)
	}
	d := decay(in.Elapsed, bayesHalfLife)
	st.recentOld[s] = st.recentOld[s].times(d)
	for g := range st.recentNew[s] {
		st.recentNew[s][g] = st.recentNew[s][g].times(d)
	}
	for i, x := range in.Strata {
		old, now := s.sample(x.Old, st.thresholds[s]), s.sample(x.New, st.thresholds[s])
		st.recentOld[s] = st.recentOld[s].plus(old)
		st.wholeOld[s] = st.wholeOld[s].plus(old)
		st.wholeNew[s] = st.wholeNew[s].plus(now)
		st.recentNew[s][0] = st.recentNew[s][0].plus(now)
		g := 1 + groups[i]
		st.recentNew[s][g] = st.recentNew[s][g].plus(now)
	}
}

// judge compares the posteriors of one signal.
func (st *bayesState) judge(s signal, in Input, v *Verdict) {
	old := st.recentOld[s]
	for g, now := range st.recentNew[s] {
		if now.bad < bayesMinBad {
			continue
		}
		p := probabilityAbove(s, now, old, st.margin(s, old, in)/2)
		if p < bayesHold {
			continue
		}
		v.Hold = true
		if old.all < minReference {
			v.Doubt = true
			continue
		}
		if p >= bayesBad && !v.Bad {
			v.Bad = true
			v.Reason = fmt.Sprintf("%s (group %d): probability %.5f of being worse than the old version, %.0f of %.0f requests",
				signalNames[s], g, p, now.bad, now.all)
		}
	}
	st.prove(s, in)
	needed := s != crossedSignal && (!s.isLatency() || st.wholeNew[s].all > 0)
	v.Proved = v.Proved && (st.proved[s] || !needed)
}

// prove marks the signal once the new version is within the limit.
func (st *bayesState) prove(s signal, in Input) {
	old, now := st.wholeOld[s], st.wholeNew[s]
	if st.proved[s] || now.all == 0 {
		return
	}
	st.proved[s] = probabilityAbove(s, now, old, st.margin(s, old, in)) <= 1-bayesProved
}

// margin is the increase of the share that counts as bad.
func (st *bayesState) margin(s signal, old ratio, in Input) float64 {
	p := min(max(old.toward(priorShares[s], bayesPriorWeight), priorShares[s]*minShareFactor), maxReferenceShare)
	odds := 1.0
	if s.isLatency() && st.thresholds[s] != noThreshold {
		odds = slowOddsRatio(s, in.Limits, in.OldTotal, st.thresholds[s])
	}
	return badShare(s, p, in.Limits, odds) - p
}

// probabilityAbove returns the posterior probability that the share of now is
// above the share of old by the margin, with the difference of the two beta
// posteriors taken as normal.
func probabilityAbove(s signal, now, old ratio, margin float64) float64 {
	mn, vn := betaMoments(now, priorShares[s])
	mo, vo := betaMoments(old, priorShares[s])
	z := (mn - mo - margin) / math.Sqrt(vn+vo)
	return distuv.UnitNormal.CDF(z)
}

func betaMoments(r ratio, prior float64) (mean, variance float64) {
	a := r.bad + prior*bayesPriorWeight
	b := r.all - r.bad + (1-prior)*bayesPriorWeight
	n := a + b
	return a / n, a * b / (n * n * (n + 1))
}

const (
	bayesMark   = 102
	bayesFloats = 1 + groupCount + int(signalCount)*(2+2*(3+1+groupCount))
)

func (st *bayesState) encode() []float64 {
	out := make([]float64, 0, bayesFloats)
	out = append(out, bayesMark)
	out = append(out, st.teams[:]...)
	add := func(r ratio) { out = append(out, r.bad, r.all) }
	for s := range int(signalCount) {
		out = append(out, float64(st.thresholds[s]), boolFloat(st.proved[s]))
		add(st.recentOld[s])
		add(st.wholeOld[s])
		add(st.wholeNew[s])
		for _, r := range st.recentNew[s] {
			add(r)
		}
	}
	return out
}

// decodeBayes reads what encode wrote, or returns a new state.
func decodeBayes(src []float64) *bayesState {
	st := &bayesState{}
	if len(src) != bayesFloats || src[0] != bayesMark {
		for s := range st.thresholds {
			st.thresholds[s] = noThreshold
		}
		return st
	}
	copy(st.teams[:], src[1:])
	src = src[1+groupCount:]
	take := func() ratio {
		r := ratio{src[0], src[1]}
		src = src[2:]
		return r
	}
	for s := range int(signalCount) {
		st.thresholds[s], st.proved[s] = int(src[0]), src[1] == 1
		src = src[2:]
		st.recentOld[s], st.wholeOld[s], st.wholeNew[s] = take(), take(), take()
		for g := range st.recentNew[s] {
			st.recentNew[s][g] = take()
		}
	}
	return st
}
