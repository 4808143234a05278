package exchange

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// listedPicker picks the listed engines for calls.
type listedPicker struct{ s *Service }

func (p listedPicker) Pick(w request.Work, exclude []string) (request.Placement, error) {
	run, err := p.s.opts.Engines.Place(placement.PlaceRequest{Service: w.Route.GetService(), Exclude: exclude, Reserved: w.Reserved})
	if err != nil {
		return request.Placement{}, err
	}
	target := &chicoryv1.Target{Address: run.Target.GetAddress(), Instance: run.Target.GetInstance()}
	return request.Placement{Target: target, Done: func(request.Result, time.Duration) { run.Release() }}, nil
}

// atItsLimit returns a service whose only target, "a", names a limit and gets no permits.
func atItsLimit(w *testNetwork) *Service {
	s, _ := w.service(unlimitedBudget{}, "a")
	s.opts.Engines = placement.NewEngineTable(placement.Defaults(), "a", s.opts.Limits)
	s.opts.Picker = listedPicker{s}
	s.list("a")
	s.opts.Limits.Observe("a", "i-a", 2, time.Now())
	s.grantPermits(0)
	return s
}

// changesBesideALimit are changes while a request waits for a permit.
var changesBesideALimit = map[string]struct {
	change func(s *Service)
	served bool
}{
	"target removed":            {func(s *Service) { s.list() }, false},
	"another target listed":     {func(s *Service) { s.list("a", "b") }, true},
	"target replaced":           {func(s *Service) { s.list("b") }, true},
	"limit ended":               {func(s *Service) { s.opts.Limits.Observe("a", "i-a", 0, time.Now()) }, true},
	"removed and listed again":  {func(s *Service) { s.list(); time.Sleep(100 * time.Millisecond); s.list("a", "b") }, false},
	"the same targets, a storm": {func(s *Service) { listOften(s); s.grantPermits(1) }, true},
}

func listOften(s *Service) {
	for range 200 {
		s.list("a")
		time.Sleep(time.Millisecond)
	}
}

// TestChangeWhileARequestWaitsForAPermit guards against a request that gets neither an answer nor a
// refusal, or waits until its deadline, because a change empties its queue or removes its target.
func TestChangeWhileARequestWaitsForAPermit(t *testing.T) {
	for name, c := range changesBesideALimit {
		for kind, a := range map[string]func() *AdmittedRequest{
			"stream":       func() *AdmittedRequest { return admitted(declared.Resumable, true) },
			"safe call":    func() *AdmittedRequest { return admitted(declared.Retryable, false) },
			"at most once": func() *AdmittedRequest { return admitted(declared.AtMostOnce, false) },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					w := newTestNetwork()
					s, a := atItsLimit(w), a()
					for _, address := range []string{"a", "b"} {
						w.set(address, w.respondWith(200, "answer"))
					}
					want := "answer"
					if a.Route.Stream {
						w.engines(defaultEngine, "a", "b")
						want = streamText(eventCount)
					}
					stop := keepInContact(s)
					defer stop()
					time.AfterFunc(time.Second, func() { c.change(s) })
					recorder, begin := httptest.NewRecorder(), time.Now()
					err := s.Serve(t.Context(), recorder, a)
					took := time.Since(begin)
					assert.Assert(t, took >= time.Second && took < 3*time.Second, "%v", took)
					if !c.served {
						assert.Equal(t, faultOf(t, err).Kind, fault.NoTarget)
						assert.Equal(t, faultOf(t, err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
						assert.Equal(t, w.runs(), 0)
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

// TestBegunStreamOutlastsChangesAtALimit guards against a response that is truncated because the
// targets are changed while its stream waits for a permit to continue.
func TestBegunStreamOutlastsChangesAtALimit(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		s := atItsLimit(w)
		stop := keepInContact(s)
		defer stop()
		s.list("a", "b")
		dying := defaultEngine
		dying.dieAfter = 5
		w.engines(dying, "b")
		w.engines(defaultEngine, "a", "c")
		time.AfterFunc(time.Second, func() { s.list("a") })
		time.AfterFunc(1500*time.Millisecond, func() { s.list() })
		time.AfterFunc(4*time.Second, func() { s.list("c") })
		recorder := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), recorder, admitted(declared.Resumable, true)))
		assert.Equal(t, recorder.Body.String(), streamText(eventCount))
		assert.Equal(t, w.runs(), 2)
	})
}
