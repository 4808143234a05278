package exchange

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestStoppingProcessTellsWhetherARequestMayHaveRun guards against a request that is logged and
// answered as if its caller had left when the process stops, though the caller waits.
func TestStoppingProcessTellsWhetherARequestMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		repetition declared.RetryPolicy
		stream     bool
	}{
		"call once": {declared.AtMostOnce, false}, "call": {declared.Resumable, false}, "stream": {declared.Resumable, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				w.set("a", w.hang)
				s, _ := w.service(unlimitedBudget{}, "a")
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(100*time.Millisecond, func() { cancel(ErrStopping) })
				err := s.Serve(ctx, httptest.NewRecorder(), admitted(c.repetition, c.stream))
				assert.Equal(t, kindOf(t, err), fault.OutcomeUnknown)
			})
		})
	}
	t.Run("not sent", func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(ErrStopping)
		assert.Equal(t, contextError(ctx, false).Kind, fault.Draining)
	})
}
