package exchange

import (
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestResponseWithAnInvalidStatusIsNotForwarded guards against a response whose status is none, or what follows
// it on the connection, that a caller gets as the response to its request.
func TestResponseWithAnInvalidStatusIsNotForwarded(t *testing.T) {
	forEachKind(t, func(t *testing.T, k requestKind) {
		for name, text := range responsetest.InvalidStatuses(signedBy, k.body) {
			t.Run(name, func(t *testing.T) { k.checkMalformed(t, text) })
		}
	})
}

// requestKind is a kind of request and the body of a sound response to it.
type requestKind struct {
	retries declared.RetryPolicy
	stream  bool
	body    string
}

func forEachKind(t *testing.T, test func(t *testing.T, k requestKind)) {
	for name, k := range map[string]requestKind{
		"repeatable call":   {declared.Retryable, false, "ok"},
		"call at most once": {declared.AtMostOnce, false, "ok"},
		"resumable stream":  {declared.Resumable, true, streamText(eventCount)},
		"stream once":       {declared.AtMostOnce, true, streamText(eventCount)},
	} {
		t.Run(name, func(t *testing.T) { test(t, k) })
	}
}

// checkMalformed sends a request to a target that responds with text and keeps the connection open. A request
// that may be sent again is served by another target; the outcome of any other is unknown.
func (k requestKind) checkMalformed(t *testing.T, text string) {
	t.Helper()
	x, sound := startRawTarget(t, text, nil), startSoundTarget(t)
	s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address, sound)
	listEngines(engines, x.address)
	x.onRequest = func() { listEngines(engines, x.address, sound) }
	rec := httptest.NewRecorder()
	err := s.Serve(t.Context(), rec, loopbackRequest("r1", k.retries, k.stream))
	if k.retries == declared.AtMostOnce {
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v, %q", err, rec.Body.String())
	} else {
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), k.body)
	}
	assert.Equal(t, x.requests.Load(), int32(1))
}
