package exchange

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
