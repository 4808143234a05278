package exchange

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// slowCaller takes a long time to read one of the events.
type slowCaller struct {
	*httptest.ResponseRecorder
	writes   int
	deadline time.Time
}

func (c *slowCaller) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 5 {
		time.Sleep(3 * time.Second)
	}
	return c.ResponseRecorder.Write(b)
}

// SetWriteDeadline is found by http.ResponseController.
func (c *slowCaller) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestSlowCallerDoesNotCostItsEngine guards against taking a caller that reads slowly for an
// engine that is silent: the engine would be given up and the prompt read again elsewhere.
func TestSlowCallerDoesNotCostItsEngine(t *testing.T) {
	for name, repetition := range map[string]declared.RetryPolicy{"resumable": declared.Resumable, "at most once": declared.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				w.engines(defaultEngine, "a", "b")
				s, _ := w.service(unlimitedBudget{}, "a", "b")
				caller := &slowCaller{ResponseRecorder: httptest.NewRecorder()}
				assert.NilError(t, s.Serve(t.Context(), caller, admitted(repetition, true)))
				assert.Equal(t, caller.Body.String(), streamText(eventCount))
				assert.Equal(t, w.runs(), 1)
			})
		})
	}
}

// TestWritesEndWithTheDeadline guards against a request that stays open for a caller that
// keeps its connection and reads nothing.
func TestWritesEndWithTheDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.engines(defaultEngine, "a")
		s, _ := w.service(unlimitedBudget{}, "a")
		caller := &slowCaller{ResponseRecorder: httptest.NewRecorder()}
		a := admitted(declared.Resumable, true)
		assert.NilError(t, s.Serve(t.Context(), caller, a))
		assert.Assert(t, !caller.deadline.Before(a.Deadline) && caller.deadline.Before(a.Deadline.Add(5*time.Second)), "%v", caller.deadline)
	})
}
