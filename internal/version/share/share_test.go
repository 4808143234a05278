package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

var testRoute = &chicoryv1.Route{Name: "fares", Version: "1"}

func holderWith(share uint32) *config.Holder {
	h := &config.Holder{}
	h.ApplyFull(&chicoryv1.Configuration{Revision: uint64(share) + 1, Routes: []*chicoryv1.Route{testRoute},
		Moves: []*chicoryv1.Move{{Id: "m", SharePermille: share, State: chicoryv1.MoveState_MOVE_STATE_PROVING,
			Intent: &chicoryv1.MoveIntent{Route: "fares", From: "1", To: "2"}}}})
	return h
}

func TestShareIsMetAndOnlyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Uint32Range(0, 1000).Draw(t, "small")
		large := rapid.Uint32Range(small, 1000).Draw(t, "large")
		salt := rapid.String().Draw(t, "salt")
		before, after := NewChooser(holderWith(small), nil), NewChooser(holderWith(large), nil)
		const n = 4000
		var moved int
		for i := range n {
			id := fmt.Sprint(salt, i)
			v := before.Choose(testRoute, id)
			assert.Equal(t, before.Choose(testRoute, id), v)
			if v == "2" {
				moved++
				assert.Equal(t, after.Choose(testRoute, id), "2", "a growing share took a request back")
			}
		}
		diff := float64(moved)/n - float64(small)/permille
		assert.Assert(t, diff < 0.04 && diff > -0.04, "share %d permille, got %d of %d", small, moved, n)
	})
}

func TestNoMoveKeepsTheRoutesVersion(t *testing.T) {
	assert.Equal(t, NewChooser(&config.Holder{}, nil).Choose(testRoute, "x"), "1")
}

// guardBench is a guard under a clock of its own.
type guardBench struct {
	guard   *Guard
	chooser *Chooser
	now     time.Time
}

func newGuardBench() *guardBench {
	b := &guardBench{now: time.Unix(1000, 0)}
	h := holderWith(1000)
	b.guard = NewGuard(h, evidence.NewCollector(), func() time.Time { return b.now }, logging.Discard())
	b.chooser = NewChooser(h, b.guard)
	return b
}

// second records n requests of a version, the first bad of them with an error.
func (b *guardBench) second(version string, n, bad int, latency time.Duration) {
	for i := range n {
		b.guard.Record(request.Observation{Route: "fares", Version: version, Error: i < bad, CallLatency: latency})
	}
}

func TestClearBadnessStopsTheNewVersionForAWhile(t *testing.T) {
	b := newGuardBench()
	for range 5 {
		b.second("1", 10, 0, time.Millisecond)
		b.second("2", 10, 5, time.Millisecond)
		b.now = b.now.Add(time.Second)
	}
	assert.Equal(t, b.chooser.Choose(testRoute, "x"), "1")
	assert.DeepEqual(t, b.guard.Stopped(), []string{"fares/2"})
	b.now = b.now.Add(stopDuration)
	assert.Equal(t, b.chooser.Choose(testRoute, "x"), "2")
	assert.Equal(t, len(b.guard.Stopped()), 0)
}

func TestClearSlownessStops(t *testing.T) {
	b := newGuardBench()
	b.second("1", 30, 0, 10*time.Millisecond)
	b.second("2", 30, 0, 50*time.Millisecond)
	assert.Equal(t, b.chooser.Choose(testRoute, "x"), "1")
}

// TestCommonTroubleStopsNeither draws the same bad share for both versions.
func TestCommonTroubleStopsNeither(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newGuardBench()
		n := rapid.IntRange(10, 50).Draw(t, "requests")
		bad := rapid.IntRange(0, n).Draw(t, "bad")
		latency := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		for range 20 {
			b.second("1", n, bad, latency)
			b.second("2", n, bad, latency)
			b.now = b.now.Add(time.Second)
			assert.Equal(t, b.chooser.Choose(testRoute, "x"), "2")
		}
	})
}

// TestOldVersionIsNeverStopped draws any trouble at all; the old version stays choosable.
func TestOldVersionIsNeverStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newGuardBench()
		for range 10 {
			n := rapid.IntRange(0, 30).Draw(t, "n")
			b.second("1", n, rapid.IntRange(0, n).Draw(t, "badOld"), time.Second)
			b.second("2", n, rapid.IntRange(0, n).Draw(t, "badNew"), time.Millisecond)
			b.now = b.now.Add(time.Second)
		}
		for _, s := range b.guard.Stopped() {
			assert.Equal(t, s, "fares/2")
		}
	})
}

func TestOneSecondOfErrorsStopsNothing(t *testing.T) {
	b := newGuardBench()
	b.second("1", 100, 0, time.Millisecond)
	b.second("2", 100, 60, time.Millisecond)
	assert.Equal(t, b.chooser.Choose(testRoute, "x"), "2")
}
