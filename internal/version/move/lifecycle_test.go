package move

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

var epoch = time.Unix(1_700_000_000, 0)

const testWindow = 20 * time.Minute

// testMove returns a planned move of a route with 100 requests a second.
func testMove(nonIdempotent bool) *chicoryv1.Move {
	in := &chicoryv1.MoveIntent{
		Route: "fares", From: "1", To: "2",
		StartUnixMs: epoch.UnixMilli(), DeadlineUnixMs: epoch.Add(testWindow).UnixMilli(), ExpectedRate: 100,
	}
	return New("m", in, &chicoryv1.Route{Name: "fares", NonIdempotent: nonIdempotent}, "op", "why", epoch)
}

// evidenceOf returns evidence of n requests, of which errs failed, all with the same latency.
func evidenceOf(n, errs uint64, latency time.Duration) *chicoryv1.VersionEvidence {
	e := &chicoryv1.VersionEvidence{Requests: n, Errors: min(errs, n)}
	if n > 0 {
		e.CallLatency = &chicoryv1.Histogram{}
		evidence.AddLatency(e.CallLatency, latency, uint32(n))
	}
	return e
}

// randomEvidence generates evidence of one stratum, with or without errors and slow requests.
func randomEvidence(t *rapid.T, elapsed time.Duration) Evidence {
	draw := func(name string) *chicoryv1.VersionEvidence {
		n := rapid.Uint64Range(0, 2000).Draw(t, name+"Requests")
		errs := n * rapid.SampledFrom([]uint64{0, 0, 0, 1, 30}).Draw(t, name+"ErrorPercent") / 100
		return evidenceOf(n, errs, time.Duration(rapid.SampledFrom([]int{20, 20, 20, 200}).Draw(t, name+"Ms"))*time.Millisecond)
	}
	return Evidence{Elapsed: elapsed, Routers: 9, Strata: []evidence.Stratum{{
		AvailabilityZone: "z", Team: "t", LoadLevel: rapid.Uint32Range(0, 1).Draw(t, "load"),
		Old: draw("old"), New: draw("new"),
	}}}
}

// checkInvariants checks the invariants of a move: its share is at most the cap until it is
// proved, and it ends once, with a reason.
func checkInvariants(t *rapid.T, m *chicoryv1.Move) {
	proved, ends := false, 0
	for _, e := range m.GetEvents() {
		proved = proved || e.GetState() == growing
		if !proved {
			assert.Assert(t, e.GetSharePermille() <= m.GetIntent().GetCapPermille(), "share %d above the cap while unproved", e.GetSharePermille())
		}
		if e.GetState() == done || e.GetState() == takenBack {
			ends++
		}
	}
	if Ended(m) {
		assert.Equal(t, ends, 1, "a move that ended must have exactly one end event")
		assert.Assert(t, m.GetReason() != "" && m.GetEndedUnixMs() != 0)
	} else {
		assert.Equal(t, ends, 0)
	}
}

// TestMoveInvariants runs moves with random evidence, operators' actions and gaps between
// the steps. It also checks that a leader that reads the move from the log makes the same
// decisions.
func TestMoveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMove(rapid.Bool().Draw(t, "nonIdempotent"))
		now := epoch
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			gap := time.Duration(rapid.SampledFrom([]int{1, 5, 30, 120, 600}).Draw(t, "gap")) * time.Second
			now = now.Add(gap)
			if rapid.IntRange(0, 9).Draw(t, "act") == 0 {
				kind := chicoryv1.MoveActionKind(rapid.IntRange(1, 4).Draw(t, "kind"))
				if next, err := ApplyAction(m, kind, "op", now); err == nil {
					m = next
				}
				checkInvariants(t, m)
			}
			ev := randomEvidence(t, gap)
			next, changed := Step(m, ev, now)
			again, _ := Step(reencode(t, m), ev, now)
			assert.Assert(t, proto.Equal(next, again), "a restarted leader decides differently")
			assert.Equal(t, changed, len(next.GetEvents()) != len(m.GetEvents()))
			if Ended(m) {
				assert.Assert(t, next == m && !changed, "an ended move changed")
			}
			m = next
			checkInvariants(t, m)
		}
		if now.Before(epoch.Add(testWindow)) {
			now = epoch.Add(testWindow)
		}
		m, _ = Step(m, Evidence{}, now)
		assert.Assert(t, Ended(m), "open at the deadline: %s", m.GetState())
		checkInvariants(t, m)
	})
}

// reencode returns the move as another leader would read it from the log.
func reencode(t *rapid.T, m *chicoryv1.Move) *chicoryv1.Move {
	b, err := proto.Marshal(m)
	assert.NilError(t, err)
	out := &chicoryv1.Move{}
	assert.NilError(t, proto.Unmarshal(b, out))
	return out
}

// run advances a move by a step a second with the evidence from feed. It returns the move
// when it ends, and that time, or the move at the time until.
func run(m *chicoryv1.Move, from, until time.Time, feed func(m *chicoryv1.Move, now time.Time) Evidence) (*chicoryv1.Move, time.Time) {
	for now := from; !now.After(until); now = now.Add(time.Second) {
		m, _ = Step(m, feed(m, now), now)
		if Ended(m) {
			return m, now
		}
	}
	return m, until
}

// constantTraffic returns a feed of 1000 requests a second, split by the share of the
// move. The old version has no errors, the new one the given percentage.
func constantTraffic(errorPercent uint64) func(*chicoryv1.Move, time.Time) Evidence {
	return func(m *chicoryv1.Move, _ time.Time) Evidence {
		n := uint64(m.GetSharePermille())
		return Evidence{Elapsed: time.Second, Routers: 9, Strata: []evidence.Stratum{{
			AvailabilityZone: "z", Team: "t",
			Old: evidenceOf(1000-n, 0, 20*time.Millisecond), New: evidenceOf(n, n*errorPercent/100, 20*time.Millisecond),
		}}}
	}
}

func TestGoodVersionIsDoneBeforeDeadline(t *testing.T) {
	m, _ := run(testMove(false), epoch, epoch.Add(testWindow), constantTraffic(0))
	assert.Equal(t, m.GetState(), done, m.GetReason())
	route := &chicoryv1.Route{Name: "fares", Version: "1"}
	assert.Equal(t, RouteAfter(route, m).GetVersion(), "2")
	assert.Equal(t, route.GetVersion(), "1")
}

func TestBadVersionIsRolledBackAtCap(t *testing.T) {
	m, at := run(testMove(false), epoch, epoch.Add(testWindow), constantTraffic(40))
	assert.Equal(t, m.GetState(), takenBack, m.GetReason())
	assert.Assert(t, at.Sub(epoch) < 30*time.Second, "took %s", at.Sub(epoch))
	route := &chicoryv1.Route{Name: "fares", Version: "1"}
	assert.Equal(t, RouteAfter(route, m), route)
}

func TestVersionThatBecomesBadInWatchIsRolledBack(t *testing.T) {
	var since time.Time
	m, at := run(testMove(false), epoch, epoch.Add(testWindow), func(m *chicoryv1.Move, now time.Time) Evidence {
		if since.IsZero() && m.GetState() != watching {
			return constantTraffic(0)(m, now)
		}
		if since.IsZero() {
			since = now
		}
		return constantTraffic(20)(m, now)
	})
	assert.Equal(t, m.GetState(), takenBack, m.GetReason())
	assert.Assert(t, at.Sub(since) < 20*time.Second, "took %s", at.Sub(since))
}

func TestStopByHalfOfRoutersRollsBack(t *testing.T) {
	m, _ := Step(testMove(false), Evidence{}, epoch)
	m, _ = Step(m, Evidence{Routers: 9, StoppedBy: 4}, epoch.Add(time.Second))
	assert.Assert(t, !Ended(m))
	m, _ = Step(m, Evidence{Routers: 9, StoppedBy: 5}, epoch.Add(time.Second))
	assert.Equal(t, m.GetState(), takenBack)
}
