package exchange

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestUnsentStreamNeedsNoRetryBudget guards against a stream that waits until its deadline for the
// retry budget although no engine has received it: an attempt that was never sent costs its service
// nothing.
func TestUnsentStreamNeedsNoRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.engines(defaultEngine, "c", "d")
		s, _ := w.service(emptyBudget{}, "a", "b", "c", "d") // a and b can't be connected to
		for range 10 {
			a := admitted(declared.Resumable, true)
			rec := httptest.NewRecorder()
			begin := time.Now()
			assert.NilError(t, s.Serve(t.Context(), rec, a))
			assert.Equal(t, rec.Body.String(), streamText(eventCount))
			assert.Assert(t, time.Since(begin) < 2*time.Second, "served after %v", time.Since(begin))
		}
	})
}

// TestUnsentCallNeedsNoRetryBudget guards against a repeatable call that is refused for want of retry
// budget although no target has received it.
func TestUnsentCallNeedsNoRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.set("c", w.respondWith(200, "answer"))
		s, _ := w.service(emptyBudget{}, "a", "b", "c") // a and b can't be connected to
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, false)))
		assert.Equal(t, rec.Body.String(), "answer")
	})
}
