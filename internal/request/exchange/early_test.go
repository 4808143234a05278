package exchange

import (
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestEarlyResponseThatIsResetIsNotComplete guards against half a response that is forwarded as a whole one, since
// its connection was reset while the request was being written. The half ends after a whole event of a stream.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	forEachKind(t, func(t *testing.T, k requestKind) {
		half := "half"
		if k.stream {
			half = streamText(3)
		}
		x, err := responsetest.StartEarlyTarget(okHead+signedBy+"\r\n"+half, responsetest.Reset)
		assert.NilError(t, err)
		defer x.Close()
		sound := startSoundTarget(t)
		pool := http1.NewPool(http1.Defaults(), metrics.NewRegistry())
		for range 10 {
			s, engines := loopbackService(pool, x.Address, sound)
			listEngines(engines, x.Address)
			x.OnRequest(func() { listEngines(engines, x.Address, sound) })
			a := loopbackRequest("r1", k.retries, k.stream)
			a.Body = make([]byte, responsetest.LongRequest)
			rec := httptest.NewRecorder()
			err := s.Serve(t.Context(), rec, a)
			var brokenOff *TruncatedError
			switch {
			case k.retries != declared.AtMostOnce:
				assert.NilError(t, err)
				assert.Equal(t, rec.Body.String(), k.sound)
			case k.stream:
				assert.Assert(t, errors.As(err, &brokenOff), "%v, %q", err, rec.Body.String())
				assert.Equal(t, rec.Body.String(), half)
			default:
				assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v, %q", err, rec.Body.String())
			}
		}
	})
}

// TestWholeEarlyResponseIsForwarded guards against a whole response that is given up because its target has not read
// the request.
func TestWholeEarlyResponseIsForwarded(t *testing.T) {
	forEachKind(t, func(t *testing.T, k requestKind) {
		x, err := responsetest.StartEarlyTarget(okHead+signedBy+"\r\n"+k.sound, responsetest.HalfClose)
		assert.NilError(t, err)
		defer x.Close()
		s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.Address)
		listEngines(engines, x.Address)
		a := loopbackRequest("r1", k.retries, k.stream)
		a.Body = make([]byte, responsetest.LongRequest)
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, a))
		assert.Equal(t, rec.Body.String(), k.sound)
	})
}
