package policy

import (
	"math"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// signal is a quality metric by which a version can be bad.
type signal int

const (
	errorSignal signal = iota
	crossedSignal
	resumeSignal
	firstTokenSignal
	tokenGapSignal
	callLatencySignal
	signalCount
)

var signalNames = [signalCount]string{
	"errors", "crossed answers", "resumes", "time to first token", "token gap", "call latency",
}

const (
	// loadLevels is the number of load levels in evidence.
	loadLevels = 2
	// latencyQuantile is the quantile of the old version's latencies above which a
	// request counts as slow.
	latencyQuantile = 0.9
	// minThresholdSamples is the number of latencies of the old version from which
	// that quantile is taken.
	minThresholdSamples = 200
	// crossedIncrease is the increase of the rate of crossed answers that counts as
	// bad. A crossed answer carries another request's identity.
	crossedIncrease = 0.005
)

// priorRates are the rates of bad requests that an old version without evidence is
// assumed to have, by signal.
var priorRates = [signalCount]float64{0.002, 0.00002, 0.002, 0.1, 0.1, 0.1}

// minPriorFactor limits how far evidence can lower a reference rate: at most to this
// multiple of the prior rate.
const minPriorFactor = 0.5

func (s signal) isLatency() bool { return s >= firstTokenSignal }

func (s signal) histogram(e *chicoryv1.VersionEvidence) *chicoryv1.Histogram {
	switch s {
	case firstTokenSignal:
		return e.GetFirstToken()
	case tokenGapSignal:
		return e.GetTokenGap()
	default:
		return e.GetCallLatency()
	}
}

// noThreshold is the threshold of a latency signal while there are too few samples.
const noThreshold = -1

// sample returns how many of e's requests were bad by the signal, out of how many
// that it applies to. threshold is the bucket above which requests are slow; only
// latency signals use it.
func (s signal) sample(e *chicoryv1.VersionEvidence, threshold int) ratio {
	switch {
	case s == errorSignal:
		return ratio{float64(e.GetErrors()), float64(e.GetRequests())}
	case s == crossedSignal:
		return ratio{float64(e.GetCrossed()), float64(e.GetRequests())}
	case s == resumeSignal:
		return ratio{float64(e.GetResumes()), float64(e.GetRequests())}
	case threshold == noThreshold:
		return ratio{}
	}
	h := s.histogram(e)
	return ratio{float64(evidence.CountAbove(h, threshold)), float64(evidence.Total(h))}
}

// ratio is a number of bad requests out of all requests. The numbers may be fractions,
// because old samples lose weight.
type ratio struct{ bad, all float64 }

func (r ratio) plus(o ratio) ratio    { return ratio{r.bad + o.bad, r.all + o.all} }
func (r ratio) times(f float64) ratio { return ratio{r.bad * f, r.all * f} }

// smoothed returns the rate of r together with weight more requests at the prior rate.
func (r ratio) smoothed(prior, weight float64) float64 {
	return (r.bad + prior*weight) / (r.all + weight)
}

// scaleBad returns r with the number of bad requests multiplied by factor, up to all.
func (r ratio) scaleBad(factor float64) ratio { return ratio{min(r.bad*factor, r.all), r.all} }

// rate returns bad divided by all, or 0 if there are no requests.
func (r ratio) rate() float64 {
	if r.all == 0 {
		return 0
	}
	return r.bad / r.all
}

// quantileThreshold returns the threshold of a latency signal, or noThreshold if the
// old version has fewer than minThresholdSamples latencies.
func quantileThreshold(s signal, old *chicoryv1.VersionEvidence) int {
	h := s.histogram(old)
	if evidence.Total(h) < minThresholdSamples {
		return noThreshold
	}
	b, _ := evidence.QuantileBucket(h, latencyQuantile)
	return b
}

// limitRate returns the rate of bad requests of a version at the limit, if the
// reference rate is p. For latency signals, oddsRatio is the factor between the odds
// of a slow request.
func limitRate(s signal, p float64, lim Limits, oddsRatio float64) float64 {
	switch {
	case s == crossedSignal:
		return min(p+crossedIncrease, halfwayToOne(p))
	case !s.isLatency():
		return min(p+lim.ErrorIncrease, halfwayToOne(p))
	}
	return scaleOdds(p, oddsRatio)
}

func halfwayToOne(p float64) float64 { return (1 + p) / 2 }

// slowOddsRatio returns the factor by which the odds of a slow request rise if the
// old version's latencies are multiplied by the limit.
func slowOddsRatio(s signal, lim Limits, old *chicoryv1.VersionEvidence, threshold int) float64 {
	h := s.histogram(old)
	total := float64(evidence.Total(h))
	shift := max(1, int(math.Round(evidence.BucketsPerDoubling*math.Log2(lim.LatencyFactor))))
	before := ratio{float64(evidence.CountAbove(h, threshold)), total}.smoothed(priorRates[s], 1)
	after := ratio{float64(evidence.CountAbove(h, threshold-shift)), total}.smoothed(0.5, 1)
	return max(minSlowOddsRatio, odds(after)/odds(before))
}

// minSlowOddsRatio keeps the two hypotheses of the test distinct if the distribution
// of the old version's latencies hardly differs when shifted by the limit.
const minSlowOddsRatio = 2

func odds(p float64) float64 { return p / (1 - p) }

func scaleOdds(p, factor float64) float64 {
	o := odds(p) * factor
	return o / (1 + o)
}
