package policy

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// bayesHalfLife is the half-life of the counts that detect a bad version.
	bayesHalfLife = 2 * time.Minute
	// A version is called bad if the posterior probability that it is bad reaches
	// bayesBadProbability. Its share stops growing at bayesHoldProbability.
	bayesBadProbability  = 0.9999
	bayesHoldProbability = 0.99
	// A version is proved if the posterior probability that it is within the limit reaches
	// bayesProvedProbability.
	bayesProvedProbability = 0.995
	// bayesPriorWeight is the number of requests that the prior weighs as much as.
	bayesPriorWeight = 20
	// bayesMinBadRequests is the number of bad requests of the new version that are
	// needed to call it bad.
	bayesMinBadRequests = 5
)

// Bayes models each signal of both versions with a beta-binomial distribution, for all
// requests and for each group of teams. It compares the posteriors at each update.
type Bayes struct{}

var _ Policy = Bayes{}

// Name returns the policy's name.
func (Bayes) Name() string { return "bayes" }

// bayesState is the state of the policy.
type bayesState struct {
	teams      teamSlots
	thresholds [signalCount]int
	// The recent samples decay with bayesHalfLife; the total ones count from the start of
	// the move. recentNew[s][0] is the sample of all teams, and recentNew[s][1+g] that of
	// group g.
	recentOld [signalCount]ratio
	recentNew [signalCount][1 + groupCount]ratio
	totalOld  [signalCount]ratio
	totalNew  [signalCount]ratio
	proved    [signalCount]bool
}

// Update implements Policy.
func (Bayes) Update(state []float64, in Input) ([]float64, Verdict) {
	st := decodeBayes(state)
	groups := st.teams.groups(in.Strata)
	v := Verdict{Proved: true}
	for s := signal(0); s < signalCount; s++ {
		st.addCounts(s, in, groups)
		st.evaluate(s, in, &v)
	}
	if v.Proved && v.Reason == "" {
		v.Reason = fmt.Sprintf("proved on %.0f requests with probability %.3f", st.totalNew[errorSignal].all, bayesProvedProbability)
	}
	return st.encode(), v
}

// addCounts adds the strata of one update to the samples of a signal.
func (st *bayesState) addCounts(s signal, in Input, groups []int) {
	if s.isLatency() && st.thresholds[s] == noThreshold {
		st.thresholds[s] = quantileThreshold(s, in.OldTotal)
	}
	d := decayFactor(in.Elapsed, bayesHalfLife)
	st.recentOld[s] = st.recentOld[s].times(d)
	for g := range st.recentNew[s] {
		st.recentNew[s][g] = st.recentNew[s][g].times(d)
	}
	for i, x := range in.Strata {
		oldSample, newSample := s.sample(x.Old, st.thresholds[s]), s.sample(x.New, st.thresholds[s])
		st.recentOld[s] = st.recentOld[s].plus(oldSample)
		st.totalOld[s] = st.totalOld[s].plus(oldSample)
		st.totalNew[s] = st.totalNew[s].plus(newSample)
		st.recentNew[s][0] = st.recentNew[s][0].plus(newSample)
		g := 1 + groups[i]
		st.recentNew[s][g] = st.recentNew[s][g].plus(newSample)
	}
}

// evaluate compares the posteriors of one signal and updates the verdict.
func (st *bayesState) evaluate(s signal, in Input, v *Verdict) {
	oldSample := st.recentOld[s]
	for g, newSample := range st.recentNew[s] {
		if newSample.bad < bayesMinBadRequests {
			continue
		}
		p := probabilityAbove(s, newSample, oldSample, st.margin(s, oldSample, in)/2)
		if p < bayesHoldProbability {
			continue
		}
		v.Hold = true
		if oldSample.all < minOldRequests {
			v.Inconclusive = true
			continue
		}
		if p >= bayesBadProbability && !v.Bad {
			v.Bad = true
			v.Reason = fmt.Sprintf("%s (group %d): probability %.5f of being worse than the old version, %.0f of %.0f requests",
				signalNames[s], g, p, newSample.bad, newSample.all)
		}
	}
	st.updateProved(s, in)
	needed := s != crossedSignal && (!s.isLatency() || st.totalNew[s].all > 0)
	v.Proved = v.Proved && (st.proved[s] || !needed)
}

// updateProved marks the signal as proved once the new version is within the limit.
func (st *bayesState) updateProved(s signal, in Input) {
	oldSample, newSample := st.totalOld[s], st.totalNew[s]
	if st.proved[s] || newSample.all == 0 {
		return
	}
	st.proved[s] = probabilityAbove(s, newSample, oldSample, st.margin(s, oldSample, in)) <= 1-bayesProvedProbability
}

// margin returns the increase of the rate that counts as bad.
func (st *bayesState) margin(s signal, oldSample ratio, in Input) float64 {
	p := min(max(oldSample.smoothed(priorRates[s], bayesPriorWeight), priorRates[s]*minPriorFactor), maxReferenceRate)
	oddsRatio := 1.0
	if s.isLatency() && st.thresholds[s] != noThreshold {
		oddsRatio = slowOddsRatio(s, in.Limits, in.OldTotal, st.thresholds[s])
	}
	return limitRate(s, p, in.Limits, oddsRatio) - p
}

// probabilityAbove returns the posterior probability that the new version's rate is above
// the old version's by more than the margin. It approximates the difference of the two
// beta posteriors by a normal distribution.
func probabilityAbove(s signal, newSample, oldSample ratio, margin float64) float64 {
	newMean, newVariance := betaMoments(newSample, priorRates[s])
	oldMean, oldVariance := betaMoments(oldSample, priorRates[s])
	z := (newMean - oldMean - margin) / math.Sqrt(newVariance+oldVariance)
	return distuv.UnitNormal.CDF(z)
}

// betaMoments returns the mean and the variance of the beta posterior of a rate.
func betaMoments(r ratio, prior float64) (mean, variance float64) {
	a := r.bad + prior*bayesPriorWeight
	b := r.all - r.bad + (1-prior)*bayesPriorWeight
	n := a + b
	return a / n, a * b / (n * n * (n + 1))
}

const (
	// bayesStateID is the first number of an encoded state. It identifies the layout.
	bayesStateID = 102
	bayesFloats  = 1 + groupCount + int(signalCount)*(2+2*(3+1+groupCount))
)

// encode returns the stored form of the state.
func (st *bayesState) encode() []float64 {
	out := make([]float64, 0, bayesFloats)
	out = append(out, bayesStateID)
	out = append(out, st.teams[:]...)
	add := func(r ratio) { out = append(out, r.bad, r.all) }
	for s := range int(signalCount) {
		out = append(out, float64(st.thresholds[s]), boolFloat(st.proved[s]))
		add(st.recentOld[s])
		add(st.totalOld[s])
		add(st.totalNew[s])
		for _, r := range st.recentNew[s] {
			add(r)
		}
	}
	return out
}

// decodeBayes decodes the output of encode. For any other input it returns the initial
// state.
func decodeBayes(src []float64) *bayesState {
	st := &bayesState{}
	if len(src) != bayesFloats || src[0] != bayesStateID {
		for s := range st.thresholds {
			st.thresholds[s] = noThreshold
		}
		return st
	}
	copy(st.teams[:], src[1:])
	src = src[1+groupCount:]
	next := func() ratio {
		r := ratio{src[0], src[1]}
		src = src[2:]
		return r
	}
	for s := range int(signalCount) {
		st.thresholds[s], st.proved[s] = int(src[0]), src[1] == 1
		src = src[2:]
		st.recentOld[s], st.totalOld[s], st.totalNew[s] = next(), next(), next()
		for g := range st.recentNew[s] {
			st.recentNew[s][g] = next()
		}
	}
	return st
}
