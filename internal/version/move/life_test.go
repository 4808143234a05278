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

func testMove(nonIdempotent bool) *chicoryv1.Move {
	in := &chicoryv1.MoveIntent{
		Route: "fares", From: "1", To: "2",
		StartUnixMs: epoch.UnixMilli(), DeadlineUnixMs: epoch.Add(testWindow).UnixMilli(), ExpectedRate: 100,
	}
	return New("m", in, &chicoryv1.Route{Name: "fares", NonIdempotent: nonIdempotent}, "op", "why", epoch)
}

// counted returns evidence of n requests with errors and one latency.
func counted(n, errs uint64, latency time.Duration) *chicoryv1.VersionEvidence {
	e := &chicoryv1.VersionEvidence{Requests: n, Errors: min(errs, n)}
	if n > 0 {
		e.CallLatency = &chicoryv1.Histogram{}
		evidence.AddLatency(e.CallLatency, latency, uint32(n))
	}
	return e
}

func drawEvidence(t *rapid.T, elapsed time.Duration) Evidence {
	draw := func(name string) *chicoryv1.VersionEvidence {
		n := rapid.Uint64Range(0, 2000).Draw(t, name+"Requests")
		errs := n * rapid.SampledFrom([]uint64{0, 0, 0, 1, 30}).Draw(t, name+"ErrorPercent") / 100
		return counted(n, errs, time.Duration(rapid.SampledFrom([]int{20, 20, 20, 200}).Draw(t, name+"Ms"))*time.Millisecond)
	}
	return Evidence{Elapsed: elapsed, Routers: 9, Strata: []evidence.Stratum{{
		AvailabilityZone: "z", Team: "t", LoadLevel: rapid.Uint32Range(0, 1).Draw(t, "load"),
		Old: draw("old"), New: draw("new"),
	}}}
}

// checkLife checks what must hold of every state of a move.
func checkLife(t *rapid.T, m *chicoryv1.Move) {
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
		assert.Equal(t, ends, 1, "an end is told once")
		assert.Assert(t, m.GetReason() != "" && m.GetEndedUnixMs() != 0)
	} else {
		assert.Equal(t, ends, 0)
	}
}

// TestLifeOfAMove draws evidence, operator actions, restarts and pauses of control.
func TestLifeOfAMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMove(rapid.Bool().Draw(t, "nonIdempotent"))
		now := epoch
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			gap := time.Duration(rapid.SampledFrom([]int{1, 5, 30, 120, 600}).Draw(t, "gap")) * time.Second
			now = now.Add(gap)
			if rapid.IntRange(0, 9).Draw(t, "act") == 0 {
				kind := chicoryv1.MoveActionKind(rapid.IntRange(1, 4).Draw(t, "kind"))
				if next, err := Act(m, kind, "op", now); err == nil {
					m = next
				}
				checkLife(t, m)
			}
			ev := drawEvidence(t, gap)
			next, changed := Step(m, ev, now)
			again, _ := Step(reencode(t, m), ev, now)
			assert.Assert(t, proto.Equal(next, again), "a restarted leader decides otherwise")
			assert.Equal(t, changed, len(next.GetEvents()) != len(m.GetEvents()))
			if Ended(m) {
				assert.Assert(t, next == m && !changed, "an ended move changed")
			}
			m = next
			checkLife(t, m)
		}
		if now.Before(epoch.Add(testWindow)) {
			now = epoch.Add(testWindow)
		}
		m, _ = Step(m, Evidence{}, now)
		assert.Assert(t, Ended(m), "open at the deadline: %s", m.GetState())
		checkLife(t, m)
	})
}

// reencode returns the move as another leader reads it from the log.
func reencode(t *rapid.T, m *chicoryv1.Move) *chicoryv1.Move {
	b, err := proto.Marshal(m)
	assert.NilError(t, err)
	out := &chicoryv1.Move{}
	assert.NilError(t, proto.Unmarshal(b, out))
	return out
}

// run steps a move every second with the evidence that feed gives.
func run(m *chicoryv1.Move, from, until time.Time, feed func(m *chicoryv1.Move, now time.Time) Evidence) (*chicoryv1.Move, time.Time) {
	for now := from; !now.After(until); now = now.Add(time.Second) {
		m, _ = Step(m, feed(m, now), now)
		if Ended(m) {
			return m, now
		}
	}
	return m, until
}

// steady splits 1000 requests a second by the move's share; the old version has
// no errors, the new one the share given in percent.
func steady(errorPercent uint64) func(*chicoryv1.Move, time.Time) Evidence {
	return func(m *chicoryv1.Move, _ time.Time) Evidence {
		n := uint64(m.GetSharePermille())
		return Evidence{Elapsed: time.Second, Routers: 9, Strata: []evidence.Stratum{{
			AvailabilityZone: "z", Team: "t",
			Old: counted(1000-n, 0, 20*time.Millisecond), New: counted(n, n*errorPercent/100, 20*time.Millisecond),
		}}}
	}
}

func TestGoodVersionIsDoneBeforeTheDeadline(t *testing.T) {
	m, _ := run(testMove(false), epoch, epoch.Add(testWindow), steady(0))
	assert.Equal(t, m.GetState(), done, m.GetReason())
	route := &chicoryv1.Route{Name: "fares", Version: "1"}
	assert.Equal(t, RouteAfter(route, m).GetVersion(), "2")
	assert.Equal(t, route.GetVersion(), "1")
}

func TestBadVersionIsTakenBackAtTheCap(t *testing.T) {
	m, at := run(testMove(false), epoch, epoch.Add(testWindow), steady(40))
	assert.Equal(t, m.GetState(), takenBack, m.GetReason())
	assert.Assert(t, at.Sub(epoch) < 30*time.Second, "took %s", at.Sub(epoch))
	route := &chicoryv1.Route{Name: "fares", Version: "1"}
	assert.Equal(t, RouteAfter(route, m), route)
}

func TestVersionThatTurnsBadInTheWatchIsTakenBack(t *testing.T) {
	var since time.Time
	m, at := run(testMove(false), epoch, epoch.Add(testWindow), func(m *chicoryv1.Move, now time.Time) Evidence {
		if since.IsZero() && m.GetState() != watching {
			return steady(0)(m, now)
		}
		if since.IsZero() {
			since = now
		}
		return steady(20)(m, now)
	})
	assert.Equal(t, m.GetState(), takenBack, m.GetReason())
	assert.Assert(t, at.Sub(since) < 20*time.Second, "took %s", at.Sub(since))
}

func TestStopsOfHalfTheRoutersTakeBack(t *testing.T) {
	m, _ := Step(testMove(false), Evidence{}, epoch)
	m, _ = Step(m, Evidence{Routers: 9, StoppedBy: 4}, epoch.Add(time.Second))
	assert.Assert(t, !Ended(m))
	m, _ = Step(m, Evidence{Routers: 9, StoppedBy: 5}, epoch.Add(time.Second))
	assert.Equal(t, m.GetState(), takenBack)
}
