package move

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// TestMoveEndsAfterDeadlineInEveryState advances a move for the first time after its
// deadline, as a leader does that was elected afterwards.
func TestMoveEndsAfterDeadlineInEveryState(t *testing.T) {
	deadline := epoch.Add(testWindow)
	least := scheduleOf(testMove(false).GetIntent()).minWatch
	cases := map[string]struct {
		state    chicoryv1.MoveState
		since    time.Time
		requests uint64
		want     chicoryv1.MoveState
		reason   string
	}{
		"planned":           {planned, epoch, 0, takenBack, "never started"},
		"proving":           {proving, epoch, 100, takenBack, "not proved"},
		"growing":           {growing, epoch, 100, takenBack, "full share was not reached"},
		"watched too short": {watching, deadline.Add(time.Second - least), 100, takenBack, "deadline: watched for"},
		"too few requests":  {watching, deadline.Add(-least), minWatchRequests - 1, takenBack, "requests in the watch"},
		"watched":           {watching, deadline.Add(-least), minWatchRequests, done, "proved and watched"},
	}
	for name, c := range cases {
		for _, paused := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				m := testMove(false)
				m.State, m.Paused = c.state, paused
				m.StageSinceUnixMs, m.StageRequests = c.since.UnixMilli(), c.requests
				late := deadline.Add(time.Hour)
				waiting, changed := Step(m, Evidence{Incomplete: true}, late)
				assert.Assert(t, !changed && !Ended(waiting), "decided before all reports of the routers arrived")
				m, _ = Step(m, Evidence{}, late)
				assert.Equal(t, m.GetState(), c.want, m.GetReason())
				assert.Assert(t, strings.Contains(m.GetReason(), c.reason), m.GetReason())
			})
		}
	}
}

// TestZoneStopsReportingDuringGrowth has one of two availability zones stop reporting
// during the growth of the share.
func TestZoneStopsReportingDuringGrowth(t *testing.T) {
	m, _ := run(testMove(false), epoch, epoch.Add(testWindow), func(m *chicoryv1.Move, now time.Time) Evidence {
		ev := constantTraffic(0)(m, now)
		if now.Sub(epoch) < testWindow/5 {
			other := constantTraffic(0)(m, now).Strata[0]
			other.AvailabilityZone = "y"
			ev.Strata = append(ev.Strata, other)
		}
		return ev
	})
	assert.Equal(t, m.GetState(), done, m.GetReason())
}

// TestScheduleFitsWindow checks for random intents that the planned times are in order,
// and that a proof at the last possible time leaves enough time for growth and watch.
func TestScheduleFitsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testMove(false).GetIntent()
		window := time.Duration(rapid.Int64Range(int64(minWindow), int64(maxWindow)).Draw(t, "window"))
		in.DeadlineUnixMs = epoch.Add(window).UnixMilli()
		in.ExpectedRate = rapid.Float64Range(0, 5000).Draw(t, "rate")
		s := scheduleOf(in)
		assert.Assert(t, s.start.Before(s.plannedProof()) && !s.plannedProof().After(s.latestProof()))
		now := s.latestProof()
		for left := len(growthPermille); left > 0; left-- {
			now = now.Add(s.growStepTime(now, left, false))
		}
		assert.Assert(t, !now.Add(s.minWatch).After(s.deadline), "the shortest watch ends %s late", now.Add(s.minWatch).Sub(s.deadline))
		_, _, err := Plan(in, &chicoryv1.Route{Name: "fares", Version: "1"}, epoch, 0)
		assert.NilError(t, err)
	})
}

// TestGoodVersionIsDoneInAnyWindow runs moves of a good version, with 1000 requests a
// second, random time to the deadline, and some of them hastened by an operator.
func TestGoodVersionIsDoneInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMove(rapid.Bool().Draw(t, "nonIdempotent"))
		window := time.Duration(rapid.IntRange(120, 1200).Draw(t, "seconds")) * time.Second
		m.Intent.DeadlineUnixMs = epoch.Add(window).UnixMilli()
		m.Hastened = rapid.Bool().Draw(t, "hastened")
		m, _ = run(m, epoch, epoch.Add(window), constantTraffic(0))
		assert.Equal(t, m.GetState(), done, m.GetReason())
	})
}
