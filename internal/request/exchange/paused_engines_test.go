package exchange

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// constantBlame finds the same at each target.
type constantBlame paths.Blame

func (b constantBlame) Blame(context.Context, string, time.Time, error) paths.Blame {
	return paths.Blame(b)
}

func (constantBlame) Suspect(string, bool) {}

// TestPausedEnginesPutNoPartInQuarantine guards against requests that are refused because the engines
// that earlier ones with the same part were sent to have paused, though none has crashed.
func TestPausedEnginesPutNoPartInQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		found   paths.Blame
		refused bool
	}{
		"paused": {paths.BlameTarget, false}, "gone": {paths.BlameGone, true}, "path lost": {paths.BlamePath, false},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				silent := defaultEngine
				silent.dieAfter, silent.silent = 1, true
				w.engines(silent, engineAddresses...)
				s, _ := w.service(unlimitedBudget{}, engineAddresses...)
				s.opts.Paths = constantBlame(c.found)
				var a *AdmittedRequest
				for range 3 {
					a = admitted(declared.Resumable, true)
					a.PromptID, a.SharedParts = "", []string{"shared"}
					_ = s.Serve(t.Context(), httptest.NewRecorder(), a) // ends with its engines
					time.Sleep(time.Second)
				}
				assert.Equal(t, s.opts.Quarantine.Check(a.keys, time.Now()).Refused, c.refused)
			})
		})
	}
}

// slowBlame finds after a while that each target is gone.
type slowBlame struct{ constantBlame }

const blameTime = 300 * time.Millisecond

func (slowBlame) Blame(context.Context, string, time.Time, error) paths.Blame {
	time.Sleep(blameTime)
	return paths.BlameGone
}

// TestLossCountsFromItsOwnTime guards against a loss that counts after an answer has cleared it, since its
// target was checked until after the answer.
func TestLossCountsFromItsOwnTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.set("a", func(net.Conn, *http.Request) { w.countRun() }) // ends the connection
		s, _ := w.service(unlimitedBudget{}, "a")
		s.opts.Paths = slowBlame{}
		a := admitted(declared.AtMostOnce, false)
		assert.Assert(t, s.Serve(t.Context(), httptest.NewRecorder(), a) != nil)
		s.opts.Quarantine.RecordBegun(a.keys, time.Now())
		time.Sleep(blameTime)
		keys, _ := s.opts.Quarantine.All(time.Now())
		for _, key := range keys {
			assert.Equal(t, len(key.GetLosses()), 0, key.GetPart())
		}
	})
}

// TestLateBlameIsThatOfItsOwnAttempt guards against a loss that counts as that of a trial, since its request
// became a trial while the engine of its earlier attempt was checked.
func TestLateBlameIsThatOfItsOwnAttempt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s, _ := w.service(unlimitedBudget{}, engineAddresses...)
		s.opts.Paths = slowBlame{}
		slow := defaultEngine
		slow.first = 2 * blameTime
		for _, address := range engineAddresses {
			w.set(address, w.firstEventThen(func() {
				s.quarantineSince("shared", time.Second)                              // a trial is due
				_ = s.Serve(t.Context(), httptest.NewRecorder(), withParts("shared")) // refused; asks for the trial
				grantTrials(s.opts.Quarantine)
				w.engines(slow, engineAddresses...)
			}))
		}
		losses := make(chan []*chicoryv1.SuspectPart, 1)
		time.AfterFunc(blameTime+200*time.Millisecond, func() {
			known, _ := s.opts.Quarantine.All(time.Now())
			losses <- known
		})
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, withParts("shared")))
		assert.Equal(t, w.runs(), 2)
		for _, key := range <-losses {
			for _, l := range key.GetLosses() {
				assert.Check(t, !l.GetTrial(), "the loss of %s at %s counts as that of a trial", key.GetPart(), l.GetAddress())
			}
		}
	})
}
