package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

var limits = Limits{ErrorIncrease: 0.02, LatencyFactor: 1.5}

func stratum(team string, oldAll, oldBad, newAll, newBad uint64) evidence.Stratum {
	return evidence.Stratum{
		AvailabilityZone: "z", Team: team,
		Old: &chicoryv1.VersionEvidence{Requests: oldAll, Errors: oldBad},
		New: &chicoryv1.VersionEvidence{Requests: newAll, Errors: newBad},
	}
}

// feed updates a policy once a second until a verdict is bad. It returns the last
// verdict and the time to the bad one in seconds, or seconds if none was bad.
func feed(p Policy, seconds int, at func(second int) []evidence.Stratum) (Verdict, int) {
	var state []float64
	var v Verdict
	for i := range seconds {
		state, v = p.Update(state, Input{
			Elapsed: time.Second, Limits: limits, Strata: at(i), OldTotal: &chicoryv1.VersionEvidence{},
			MoveAge: time.Duration(i) * time.Second, ProvingTime: 10 * time.Second,
		})
		if v.Bad {
			return v, i
		}
	}
	return v, seconds
}

func TestEveryPolicyDetectsManyErrors(t *testing.T) {
	for _, p := range []Policy{SPRT{}, Bayes{}, Naive{}} {
		_, at := feed(p, 60, func(int) []evidence.Stratum { return []evidence.Stratum{stratum("a", 950, 2, 50, 15)} })
		assert.Assert(t, at < 10, "%s took %d s", p.Name(), at)
	}
}

func TestUnknownStateIsReplacedByInitialState(t *testing.T) {
	in := Input{Elapsed: time.Second, Limits: limits, OldTotal: &chicoryv1.VersionEvidence{},
		Strata: []evidence.Stratum{stratum("a", 100, 1, 5, 1)}}
	for _, p := range []Policy{SPRT{}, Bayes{}, Naive{}} {
		want, _ := p.Update(nil, in)
		for _, n := range []int{1, naiveFloats, bayesFloats, sprtFloats} {
			unknown := make([]float64, n)
			for i := range unknown {
				unknown[i] = 9
			}
			got, _ := p.Update(unknown, in)
			assert.DeepEqual(t, got, want)
		}
	}
}

// TestCommonFaultIsNotBad has both versions fail at the same rate from the 30th second
// on. The new version has nearly all traffic, so there are few requests of the old one
// to compare with.
func TestCommonFaultIsNotBad(t *testing.T) {
	v, at := feed(SPRT{}, 120, func(i int) []evidence.Stratum {
		if i < 30 {
			return []evidence.Stratum{stratum("a", 50, 0, 950, 1)}
		}
		return []evidence.Stratum{stratum("a", 50, 15, 950, 285)}
	})
	assert.Equal(t, at, 120, v.Reason)
}

// TestErrorsOfOneTeamAreDetected has a team with 5% of the requests fail on the new
// version in 8% of them. Over all teams, the error rate stays below the limit.
func TestErrorsOfOneTeamAreDetected(t *testing.T) {
	v, at := feed(SPRT{}, 300, func(int) []evidence.Stratum {
		return []evidence.Stratum{stratum("large", 450, 1, 450, 1), stratum("small", 25, 0, 25, 2)}
	})
	assert.Assert(t, at < 60, "took %d s: %s", at, v.Reason)
	assert.Assert(t, v.Bad)
}

// TestShortBurstOfErrorsIsNotBad has 30% of the new version's requests fail
// for two seconds, as when a target crashes.
func TestShortBurstOfErrorsIsNotBad(t *testing.T) {
	v, at := feed(SPRT{}, 120, func(i int) []evidence.Stratum {
		if i == 60 || i == 61 {
			return []evidence.Stratum{stratum("a", 500, 1, 500, 150)}
		}
		return []evidence.Stratum{stratum("a", 500, 1, 500, 1)}
	})
	assert.Equal(t, at, 120, v.Reason)
	assert.Assert(t, v.Proved)
}

func TestRelatedRoutesContributeHalfOfProof(t *testing.T) {
	secondsToProof := func(related bool) int {
		var state []float64
		for i := range 100_000 {
			in := Input{Elapsed: time.Second, Limits: limits, OldTotal: &chicoryv1.VersionEvidence{},
				Strata: []evidence.Stratum{stratum("a", 99, 0, 1, 0)}}
			if related {
				in.Related = []evidence.Stratum{stratum("a", 95, 0, 5, 0)}
			}
			var v Verdict
			if state, v = (SPRT{}).Update(state, in); v.Proved {
				return i
			}
		}
		return -1
	}
	alone, withRelated := secondsToProof(false), secondsToProof(true)
	assert.Assert(t, withRelated < alone*6/10, "%d s alone, %d s with a related route", alone, withRelated)
	assert.Assert(t, withRelated > alone*4/10, "related routes alone must not prove: %d s of %d s", withRelated, alone)
}
