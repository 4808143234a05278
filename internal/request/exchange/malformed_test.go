package exchange

import (
	"maps"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestResponseWithAnInvalidStatusIsNotForwarded guards against a response with an invalid status, or what follows
// it on the connection, that a caller gets as the response to its request.
func TestResponseWithAnInvalidStatusIsNotForwarded(t *testing.T) {
	forEachKind(t, func(t *testing.T, k requestKind) {
		for name, text := range responsetest.InvalidStatuses(signedBy, k.malformed) {
			t.Run(name, func(t *testing.T) { k.checkMalformed(t, text, nil) })
		}
	})
}

// TestResponseWithAnInvalidFieldNameIsNotForwarded guards against a header line with an invalid name that is
// dropped or that a caller gets, and against a body that isn't the target's because of it.
func TestResponseWithAnInvalidFieldNameIsNotForwarded(t *testing.T) {
	forEachKind(t, func(t *testing.T, k requestKind) {
		for name, text := range responsetest.MalformedHeads(signedBy, k.malformed) {
			t.Run(name+", kept", func(t *testing.T) { k.checkMalformed(t, text, nil) })
			t.Run(name+", closed", func(t *testing.T) { k.checkMalformed(t, text, endNormally) })
		}
	})
}

// TestResponseWithInvalidTrailersIsNotComplete guards against a response that is forwarded as complete although
// its end is malformed.
func TestResponseWithInvalidTrailersIsNotComplete(t *testing.T) {
	forEachKind(t, func(t *testing.T, k requestKind) {
		body := k.malformed
		if k.stream {
			body = k.sound // its events are forwarded before the trailers arrive
		}
		for name, text := range responsetest.MalformedTrailers(signedBy, body) {
			t.Run(name, func(t *testing.T) { k.checkMalformed(t, text, nil) })
		}
	})
}

// TestStreamDoesNotContinueInAMalformedResponse guards against the same in the response with which a stream is
// resumed.
func TestStreamDoesNotContinueInAMalformedResponse(t *testing.T) {
	rest := strings.TrimPrefix(streamText(eventCount), streamText(3))
	malformed := strings.ReplaceAll(rest, "token", "malformed")
	responses := responsetest.MalformedHeads(signedBy, malformed)
	maps.Copy(responses, responsetest.InvalidStatuses(signedBy, malformed))
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			first := startRawTarget(t, unframedHead+streamText(3), resetConnection)
			second, sound := startRawTarget(t, text, endNormally), startSoundTarget(t)
			s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), first.address, second.address, sound)
			listEngines(engines, first.address)
			first.onRequest = func() { listEngines(engines, second.address) }
			second.onRequest = func() { listEngines(engines, sound) }
			rec := httptest.NewRecorder()
			assert.NilError(t, s.Serve(t.Context(), rec, loopbackRequest("r1", declared.Resumable, true)))
			assert.Equal(t, rec.Body.String(), streamText(eventCount))
			assert.Equal(t, second.requests.Load(), int32(1))
		})
	}
}

// requestKind is a kind of request, the body of a sound response to it and that of a malformed one.
type requestKind struct {
	retries          declared.RetryPolicy
	stream           bool
	sound, malformed string
}

func forEachKind(t *testing.T, test func(t *testing.T, k requestKind)) {
	events := streamText(eventCount)
	malformed := strings.ReplaceAll(events, "token", "malformed")
	for name, k := range map[string]requestKind{
		"repeatable call":   {declared.Retryable, false, "ok", "malformed"},
		"call at most once": {declared.AtMostOnce, false, "ok", "malformed"},
		"resumable stream":  {declared.Resumable, true, events, malformed},
		"stream once":       {declared.AtMostOnce, true, events, malformed},
	} {
		t.Run(name, func(t *testing.T) { test(t, k) })
	}
}

// checkMalformed sends a request to a target that responds with text and ends the connection, or keeps it if
// end is nil. A request that may be sent again is served by another target. Any other one has an unknown outcome, or
// a response that is broken off if it had begun.
func (k requestKind) checkMalformed(t *testing.T, text string, end func(*net.TCPConn)) {
	t.Helper()
	x, sound := startRawTarget(t, text, end), startSoundTarget(t)
	s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address, sound)
	listEngines(engines, x.address)
	x.onRequest = func() { listEngines(engines, x.address, sound) }
	rec := httptest.NewRecorder()
	err := s.Serve(t.Context(), rec, loopbackRequest("r1", k.retries, k.stream))
	var brokenOff *TruncatedError
	if k.retries == declared.AtMostOnce {
		began := rec.Body.Len() > 0
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown) && !began || errors.As(err, &brokenOff) && began, "%v, %q", err, rec.Body.String())
	} else {
		assert.NilError(t, err)
		assert.Equal(t, rec.Body.String(), k.sound)
	}
	assert.Equal(t, x.requests.Load(), int32(1))
}
