package move

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// TestEveryStateIsDecidedAtTheDeadline steps a move first after its deadline, as
// the leader does that is elected then.
func TestEveryStateIsDecidedAtTheDeadline(t *testing.T) {
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
				waiting, changed := Step(m, Evidence{Unsettled: true}, late)
				assert.Assert(t, !changed && !Ended(waiting), "decided before the routers' reports were in")
				m, _ = Step(m, Evidence{}, late)
				assert.Equal(t, m.GetState(), c.want, m.GetReason())
				assert.Assert(t, strings.Contains(m.GetReason(), c.reason), m.GetReason())
			})
		}
	}
}

// TestZoneLostInTheMiddle has one of two zones stop reporting while growing.
func TestZoneLostInTheMiddle(t *testing.T) {
	m, _ := run(testMove(false), epoch, epoch.Add(testWindow), func(m *chicoryv1.Move, now time.Time) Evidence {
		ev := steady(0)(m, now)
		if now.Sub(epoch) < testWindow/5 {
			other := steady(0)(m, now).Strata[0]
			other.AvailabilityZone = "y"
			ev.Strata = append(ev.Strata, other)
		}
		return ev
	})
	assert.Equal(t, m.GetState(), done, m.GetReason())
}

// TestScheduleFitsItsWindow draws intents; planned times are in order and a proof
// at the last possible time still leaves room for growth and watch.
func TestScheduleFitsItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testMove(false).GetIntent()
		window := time.Duration(rapid.Int64Range(int64(minWindow), int64(maxWindow)).Draw(t, "window"))
		in.DeadlineUnixMs = epoch.Add(window).UnixMilli()
		in.ExpectedRate = rapid.Float64Range(0, 5000).Draw(t, "rate")
		s := scheduleOf(in)
		assert.Assert(t, s.start.Before(s.plannedProof()) && !s.plannedProof().After(s.latestProof()))
		now := s.latestProof()
		for left := len(growingPermille); left > 0; left-- {
			now = now.Add(s.stepTime(now, left, false))
		}
		assert.Assert(t, !now.Add(s.minWatch).After(s.deadline), "the least watch ends %s late", now.Add(s.minWatch).Sub(s.deadline))
		_, _, err := Plan(in, &chicoryv1.Route{Name: "fares", Version: "1"}, epoch, 0)
		assert.NilError(t, err)
	})
}

// TestGoodVersionIsDoneInAnyWindow draws the window of a route with 1000 requests
// a second, and whether an operator hastens the move.
func TestGoodVersionIsDoneInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMove(rapid.Bool().Draw(t, "nonIdempotent"))
		window := time.Duration(rapid.IntRange(120, 1200).Draw(t, "seconds")) * time.Second
		m.Intent.DeadlineUnixMs = epoch.Add(window).UnixMilli()
		m.Hastened = rapid.Bool().Draw(t, "hastened")
		m, _ = run(m, epoch, epoch.Add(window), steady(0))
		assert.Equal(t, m.GetState(), done, m.GetReason())
	})
}
