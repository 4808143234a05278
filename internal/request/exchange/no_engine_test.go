package exchange

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestBegunStreamWaitsForAnEngine guards against truncating a stream that has begun because no
// engine is listed at the moment at which its engine is lost.
func TestBegunStreamWaitsForAnEngine(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.dieAfter = 8
		w.engines(e, "a")
		w.engines(defaultEngine, "b")
		s, engines := w.service(unlimitedBudget{}, "a")
		list := func(addresses ...string) {
			var listed []*chicoryv1.ListedTarget
			for _, address := range addresses {
				listed = append(listed, &chicoryv1.ListedTarget{Address: address, Instance: "i-" + address, Service: "s"})
			}
			engines.Update(listed, func(string) int { return 50_000 })
		}
		time.AfterFunc(400*time.Millisecond, func() { list() })
		time.AfterFunc(2*time.Second, func() { list("b") })
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
	})
}

// TestBegunStreamWithoutAnEngineEndsAtItsDeadline guards against a stream that waits for an
// engine without end.
func TestBegunStreamWithoutAnEngineEndsAtItsDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.dieAfter = 8
		w.engines(e, "a")
		s, engines := w.service(unlimitedBudget{}, "a")
		time.AfterFunc(400*time.Millisecond, func() { engines.Update(nil, func(string) int { return 0 }) })
		a := admitted(declared.Resumable, true)
		err := s.Serve(t.Context(), httptest.NewRecorder(), a)
		var broken *TruncatedError
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		assert.Equal(t, time.Now(), a.Deadline)
	})
}

// TestBegunStreamOutlastsRefusals guards against truncating a stream that has begun because
// all engines are full for a moment and refuse it.
func TestBegunStreamOutlastsRefusals(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.dieAfter = 8
		w.engines(e, "a")
		s, _ := w.service(unlimitedBudget{}, "a")
		time.AfterFunc(400*time.Millisecond, func() { w.set("a", refuseRequest) })
		time.AfterFunc(3*time.Second, func() { w.engines(defaultEngine, "a") })
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
	})
}

// TestRequestWithoutAnEngineIsRefusedAtOnce guards against holding a request that has not
// begun: its caller can try another entry VM.
func TestRequestWithoutAnEngineIsRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTestNetwork().service(unlimitedBudget{})
		begin := time.Now()
		err := s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.Resumable, true))
		assert.Equal(t, kindOf(t, err), fault.NoTarget)
		assert.Equal(t, time.Now(), begin)
	})
}
