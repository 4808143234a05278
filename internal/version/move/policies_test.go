package move

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// runWith advances a move with a policy, a step every two seconds, until it ends. oldBad
// and newBad are the error rates of the versions in permille. Both rise by common for the
// minute that begins at commonFrom.
func runWith(p policy.Policy, oldBad, newBad, common uint64, commonFrom time.Duration) *chicoryv1.Move {
	d := Decider{Policy: p}
	m := testMove(false)
	for now := epoch; ; now = now.Add(2 * time.Second) {
		oldRate, newRate := oldBad, newBad
		if at := now.Sub(epoch); at >= commonFrom && at < commonFrom+time.Minute {
			oldRate, newRate = oldRate+common, newRate+common
		}
		n := uint64(m.GetSharePermille())
		ev := Evidence{Elapsed: 2 * time.Second, Routers: 9, Strata: []evidence.Stratum{{
			AvailabilityZone: "z", Team: "t",
			Old: evidenceOf(1000-n, (1000-n)*oldRate/1000, 20*time.Millisecond),
			New: evidenceOf(n, (n*newRate+500)/1000, 20*time.Millisecond),
		}}}
		if m, _ = d.Step(m, ev, now); Ended(m) {
			return m
		}
	}
}

// TestSPRTAgreesWithNaiveOnClearCases compares the results of both policies for versions
// that are as good as the old one, or far worse.
func TestSPRTAgreesWithNaiveOnClearCases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Uint64Range(0, 10).Draw(t, "baseErrors")
		added := rapid.SampledFrom([]uint64{0, 0, 150, 300, 900}).Draw(t, "addedErrors")
		naive := runWith(policy.Naive{}, base, base+added, 0, 0)
		sprt := runWith(policy.SPRT{}, base, base+added, 0, 0)
		assert.Equal(t, sprt.GetState(), naive.GetState(), "sprt: %s; naive: %s", sprt.GetReason(), naive.GetReason())
	})
}

// TestCommonFaultDoesNotEndMove has both versions fail at the same random rate for a
// minute that begins at a random time.
func TestCommonFaultDoesNotEndMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.Uint64Range(10, 900).Draw(t, "commonErrors")
		from := time.Duration(rapid.IntRange(0, 600).Draw(t, "from")) * time.Second
		m := runWith(policy.SPRT{}, 2, 2, common, from)
		assert.Equal(t, m.GetState(), done, m.GetReason())
	})
}
