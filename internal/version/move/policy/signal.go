package policy

import (
	"math"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// signal is one way in which a version can be bad.
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
	// latencyQuantile of the old version is the threshold for slow requests.
	latencyQuantile = 0.9
	// minThresholdSamples of the old version fix the threshold.
	minThresholdSamples = 200
	// crossedIncrease is the share of crossed answers that counts as bad.
	crossedIncrease = 0.005
)

// priorShares are the shares of bad requests assumed of an old version that has
// not been seen yet, and never undercut afterwards by more than minShareFactor.
var priorShares = [signalCount]float64{0.002, 0.00002, 0.002, 0.1, 0.1, 0.1}

// minShareFactor bounds how far below the prior a reference share may fall.
const minShareFactor = 0.5

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

// noThreshold marks a latency signal whose threshold is not fixed yet.
const noThreshold = -1

// sample returns how many of e's requests were bad by the signal, and how many
// were judged by it. threshold is a bucket for latency signals.
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
	return ratio{float64(evidence.Above(h, threshold)), float64(evidence.Total(h))}
}

// ratio is a count of bad requests out of all.
type ratio struct{ bad, all float64 }

func (r ratio) plus(o ratio) ratio          { return ratio{r.bad + o.bad, r.all + o.all} }
func (r ratio) times(f float64) ratio       { return ratio{r.bad * f, r.all * f} }
func (r ratio) toward(p, k float64) float64 { return (r.bad + p*k) / (r.all + k) }

// scaled returns r with its bad requests multiplied, at most to all.
func (r ratio) scaled(factor float64) ratio { return ratio{min(r.bad*factor, r.all), r.all} }

// share returns bad divided by all, or 0.
func (r ratio) share() float64 {
	if r.all == 0 {
		return 0
	}
	return r.bad / r.all
}

// fixThreshold returns the threshold bucket of a latency signal once enough is
// known of the old version.
func fixThreshold(s signal, old *chicoryv1.VersionEvidence) int {
	h := s.histogram(old)
	if evidence.Total(h) < minThresholdSamples {
		return noThreshold
	}
	b, _ := evidence.QuantileBucket(h, latencyQuantile)
	return b
}

// badShare returns the share that the signal would have in a bad version when
// the reference share is p. oddsRatio is for latency signals.
func badShare(s signal, p float64, lim Limits, oddsRatio float64) float64 {
	switch {
	case s == crossedSignal:
		return min(p+crossedIncrease, midway(p))
	case !s.isLatency():
		return min(p+lim.ErrorIncrease, midway(p))
	}
	return scaleOdds(p, oddsRatio)
}

func midway(p float64) float64 { return (1 + p) / 2 }

// slowOddsRatio is by how much the odds of a slow request rise when the old
// version's latencies are multiplied by the limit.
func slowOddsRatio(s signal, lim Limits, old *chicoryv1.VersionEvidence, threshold int) float64 {
	h := s.histogram(old)
	total := float64(evidence.Total(h))
	shift := max(1, int(math.Round(evidence.BucketsPerDoubling*math.Log2(lim.LatencyFactor))))
	before := ratio{float64(evidence.Above(h, threshold)), total}.toward(priorShares[s], 1)
	after := ratio{float64(evidence.Above(h, threshold-shift)), total}.toward(0.5, 1)
	return max(minSlowOddsRatio, odds(after)/odds(before))
}

// minSlowOddsRatio keeps the two hypotheses apart when the old version's
// latencies leave no room for a slower one.
const minSlowOddsRatio = 2

func odds(p float64) float64 { return p / (1 - p) }

func scaleOdds(p, factor float64) float64 {
	o := odds(p) * factor
	return o / (1 + o)
}
