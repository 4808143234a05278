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

// runWith steps a move by a policy every two seconds until it ends. oldBad and newBad
// are the versions' errors in permille; both rise by common from its start on.
func runWith(p policy.Policy, oldBad, newBad, common uint64, commonFrom time.Duration) *chicoryv1.Move {
	d := Decider{Policy: p}
	m := testMove(false)
	for now := epoch; ; now = now.Add(2 * time.Second) {
		ob, nb := oldBad, newBad
		if at := now.Sub(epoch); at >= commonFrom && at < commonFrom+time.Minute {
			ob, nb = ob+common, nb+common
		}
		n := uint64(m.GetSharePermille())
		ev := Evidence{Elapsed: 2 * time.Second, Routers: 9, Strata: []evidence.Stratum{{
			AvailabilityZone: "z", Team: "t",
			Old: counted(1000-n, (1000-n)*ob/1000, 20*time.Millisecond),
			New: counted(n, (n*nb+500)/1000, 20*time.Millisecond),
		}}}
		if m, _ = d.Step(m, ev, now); Ended(m) {
			return m
		}
	}
}

// TestAgreesWithNaiveOnClearVersions compares the ends where no doubt is possible.
func TestAgreesWithNaiveOnClearVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Uint64Range(0, 10).Draw(t, "baseErrors")
		added := rapid.SampledFrom([]uint64{0, 0, 150, 300, 900}).Draw(t, "addedErrors")
		naive := runWith(policy.Naive{}, base, base+added, 0, 0)
		ours := runWith(policy.SPRT{}, base, base+added, 0, 0)
		assert.Equal(t, ours.GetState(), naive.GetState(), "ours: %s; naive: %s", ours.GetReason(), naive.GetReason())
	})
}

// TestCommonFaultLeavesAGoodVersion draws a minute in which both fail alike.
func TestCommonFaultLeavesAGoodVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.Uint64Range(10, 900).Draw(t, "commonErrors")
		from := time.Duration(rapid.IntRange(0, 600).Draw(t, "from")) * time.Second
		m := runWith(policy.SPRT{}, 2, 2, common, from)
		assert.Equal(t, m.GetState(), done, m.GetReason())
	})
}
