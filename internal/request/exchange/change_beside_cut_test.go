package exchange

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// cutOff makes the addresses unreachable: connections to them are not answered.
func (s *Service) cutOff(w *testNetwork, addresses ...string) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, cut := range addresses {
			if address == cut {
				time.Sleep(http1.Defaults().DialTimeout)
				return nil, errors.New("dial timeout")
			}
		}
		return w.dial(ctx, network, address)
	}
	s.opts.Pool = http1.NewPoolWithDial(dial, http1.Defaults(), metrics.NewRegistry())
}

// TestChangeBesideUnreachableTargets guards against a request that gets neither an answer nor a
// refusal because the configuration changes while none of its targets can be reached.
func TestChangeBesideUnreachableTargets(t *testing.T) {
	for name, c := range map[string]struct {
		listed []string
		served bool
	}{
		"another target listed": {[]string{"a", "b"}, true},
		"targets replaced":      {[]string{"b"}, true},
		"targets removed":       {nil, false},
		"no change":             {[]string{"a"}, false},
	} {
		for kind, a := range map[string]func() *AdmittedRequest{
			"stream":       func() *AdmittedRequest { return admitted(declared.Resumable, true) },
			"safe call":    func() *AdmittedRequest { return admitted(declared.Retryable, false) },
			"at most once": func() *AdmittedRequest { return admitted(declared.AtMostOnce, false) },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					w := newTestNetwork()
					s, _ := w.service(unlimitedBudget{})
					s.opts.Picker = listedPicker{s}
					s.cutOff(w, "a")
					s.list("a")
					a := a()
					w.set("b", w.respondWith(200, "answer"))
					want := "answer"
					if a.Route.Stream {
						w.engines(defaultEngine, "b")
						want = streamText(eventCount)
					}
					time.AfterFunc(600*time.Millisecond, func() { s.list(c.listed...) })
					recorder := httptest.NewRecorder()
					err := s.Serve(t.Context(), recorder, a)
					assert.Assert(t, time.Now().Before(a.Deadline))
					if !c.served {
						assert.Equal(t, faultOf(t, err).Kind, fault.NoTarget)
						assert.Equal(t, faultOf(t, err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
						return
					}
					assert.NilError(t, err)
					assert.Equal(t, recorder.Body.String(), want)
					assert.Equal(t, w.runs(), 1)
				})
			})
		}
	}
}
