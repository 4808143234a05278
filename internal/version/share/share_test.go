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

// holderWith returns a configuration with an open move whose new version has the share.
func holderWith(share uint32) *config.Holder {
	h := &config.Holder{}
	h.ApplyFull(&chicoryv1.Configuration{Revision: uint64(share) + 1, Routes: []*chicoryv1.Route{testRoute},
		Moves: []*chicoryv1.Move{{Id: "m", SharePermille: share, State: chicoryv1.MoveState_MOVE_STATE_PROVING,
			Intent: &chicoryv1.MoveIntent{Route: "fares", From: "1", To: "2"}}}})
	return h
}

func TestShareIsAccurateAndMonotonic(t *testing.T) {
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
				assert.Equal(t, after.Choose(testRoute, id), "2", "a request moved back to the old version when the share grew")
			}
		}
		diff := float64(moved)/n - float64(small)/permille
		assert.Assert(t, diff < 0.04 && diff > -0.04, "share %d permille, got %d of %d", small, moved, n)
	})
}

func TestChooseWithoutMoveReturnsRouteVersion(t *testing.T) {
	assert.Equal(t, NewChooser(&config.Holder{}, nil).Choose(testRoute, "x"), "1")
}

// guardHarness is a guard under a clock of its own.
type guardHarness struct {
	guard   *Guard
	chooser *Chooser
	now     time.Time
}

func newGuardHarness() *guardHarness {
	h := &guardHarness{now: time.Unix(1000, 0)}
	holder := holderWith(1000)
	h.guard = NewGuard(holder, evidence.NewCollector(), func() time.Time { return h.now }, logging.Discard())
	h.chooser = NewChooser(holder, h.guard)
	return h
}

// record records n requests of a version now, of which the first bad ones failed.
func (h *guardHarness) record(version string, n, bad int, latency time.Duration) {
	for i := range n {
		h.guard.Record(request.Observation{Route: "fares", Version: version, Error: i < bad, CallLatency: latency})
	}
}

func TestErrorsStopNewVersionTemporarily(t *testing.T) {
	h := newGuardHarness()
	for range 5 {
		h.record("1", 10, 0, time.Millisecond)
		h.record("2", 10, 5, time.Millisecond)
		h.now = h.now.Add(time.Second)
	}
	assert.Equal(t, h.chooser.Choose(testRoute, "x"), "1")
	assert.DeepEqual(t, h.guard.Stopped(), []string{"fares/2"})
	h.now = h.now.Add(stopDuration)
	assert.Equal(t, h.chooser.Choose(testRoute, "x"), "2")
	assert.Equal(t, len(h.guard.Stopped()), 0)
}

func TestSlownessStopsNewVersion(t *testing.T) {
	h := newGuardHarness()
	h.record("1", 30, 0, 10*time.Millisecond)
	h.record("2", 30, 0, 50*time.Millisecond)
	assert.Equal(t, h.chooser.Choose(testRoute, "x"), "1")
}

// TestCommonFaultStopsNeitherVersion has both versions fail at the same random rate.
func TestCommonFaultStopsNeitherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newGuardHarness()
		n := rapid.IntRange(10, 50).Draw(t, "requests")
		bad := rapid.IntRange(0, n).Draw(t, "bad")
		latency := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		for range 20 {
			h.record("1", n, bad, latency)
			h.record("2", n, bad, latency)
			h.now = h.now.Add(time.Second)
			assert.Equal(t, h.chooser.Choose(testRoute, "x"), "2")
		}
	})
}

// TestOldVersionIsNeverStopped has both versions fail at random rates, with the old
// version also slower, and checks that at most the new version is stopped.
func TestOldVersionIsNeverStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newGuardHarness()
		for range 10 {
			n := rapid.IntRange(0, 30).Draw(t, "n")
			h.record("1", n, rapid.IntRange(0, n).Draw(t, "badOld"), time.Second)
			h.record("2", n, rapid.IntRange(0, n).Draw(t, "badNew"), time.Millisecond)
			h.now = h.now.Add(time.Second)
		}
		for _, s := range h.guard.Stopped() {
			assert.Equal(t, s, "fares/2")
		}
	})
}

func TestErrorsInOneSecondStopNothing(t *testing.T) {
	h := newGuardHarness()
	h.record("1", 100, 0, time.Millisecond)
	h.record("2", 100, 60, time.Millisecond)
	assert.Equal(t, h.chooser.Choose(testRoute, "x"), "2")
}
