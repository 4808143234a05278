package exchange

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTrialThatHasBegunContinuesLikeAnyStream guards against a stream that was a trial, and is
// truncated at its deadline because the rules of a trial still apply once an engine has begun its
// answer: it then may go back to an engine that it has tried.
func TestTrialThatHasBegunContinuesLikeAnyStream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s, _ := w.service(unlimitedBudget{}, "a")
		s.quarantineNow("p")
		time.Sleep(time.Second)
		failing := defaultEngine
		failing.dieAfter = 3
		w.engines(failing, "a")
		time.AfterFunc(time.Second, func() { w.engines(defaultEngine, "a") })
		rec := httptest.NewRecorder()
		assert.NilError(t, s.serveTrial(t, rec, withParts("p")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
	})
}

// TestTrialThatHasBegunContinuesFromItsCopy guards against a stream that was a trial and that has its
// prompt processed again, though the engine that keeps a copy of its memory is there.
func TestTrialThatHasBegunContinuesFromItsCopy(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s, _ := w.service(unlimitedBudget{}, engineAddresses...)
		s.quarantineNow("p")
		time.Sleep(time.Second)
		failing, slow := defaultEngine, defaultEngine
		failing.dieAfter, slow.first = 3, 2*time.Second
		failing.copies, slow.copies = map[string]bool{}, map[string]bool{"r1": true}
		w.engines(failing, engineAddresses...)
		time.AfterFunc(400*time.Millisecond, func() { w.engines(slow, engineAddresses...) })
		rec, begin := httptest.NewRecorder(), time.Now()
		assert.NilError(t, s.serveTrial(t, rec, withParts("p")))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Assert(t, time.Since(begin) < 2*time.Second, "served after %v", time.Since(begin))
	})
}

// TestTrialOfABegunStreamMayReturnToATriedEngine guards against a begun stream that is granted a
// trial, waits until its deadline for an engine that it has not tried, and keeps others from the
// trial meanwhile.
func TestTrialOfABegunStreamMayReturnToATriedEngine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		addresses := engineAddresses[:3]
		s, _ := w.service(unlimitedBudget{}, addresses...)
		for _, address := range addresses {
			w.set(address, w.firstEventThen(func() { time.Sleep(50 * time.Millisecond) }))
		}
		time.AfterFunc(1500*time.Millisecond, func() { w.engines(defaultEngine, addresses...) })
		time.AfterFunc(2*time.Second, func() { grantTrials(s.opts.Quarantine) })
		a := withParts("p")
		a.Deadline = time.Now().Add(20 * time.Second)
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, a))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Equal(t, w.runs(), 4)
	})
}
