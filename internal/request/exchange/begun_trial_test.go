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
