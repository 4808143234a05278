package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// pausingEngine generates a complete stream and pauses once, after some events. It answers no
// probe.
func (w *testNetwork) pausingEngine(after int, pause time.Duration) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		w.countRun()
		out := bufio.NewWriter(c)
		_, _ = io.WriteString(out, "HTTP/1.1 200 OK\r\n"+signedBy+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := range eventCount {
			if n == after {
				time.Sleep(pause)
			}
			time.Sleep(40 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n+1, n+1)
			_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event)
			if out.Flush() != nil {
				return
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// unmovableStreams are the reasons for which a stream can't continue on another engine.
var unmovableStreams = map[string]struct {
	policy    declared.RetryPolicy
	attempts  int
	budget    request.RetryBudget
	addresses []string
}{
	"not resumable":        {declared.AtMostOnce, 4, unlimitedBudget{}, []string{"a", "b"}},
	"last attempt":         {declared.Resumable, 1, unlimitedBudget{}, []string{"a", "b"}},
	"no other engine":      {declared.Resumable, 4, unlimitedBudget{}, []string{"a"}},
	"no retries left over": {declared.Resumable, 4, emptyBudget{}, []string{"a", "b"}},
}

// TestPauseOfASoundEngineDoesNotEndItsStream guards against truncating a stream because its
// engine was silent for a moment, where the stream can't continue on another engine.
func TestPauseOfASoundEngineDoesNotEndItsStream(t *testing.T) {
	for name, c := range unmovableStreams {
		for _, after := range []int{0, 1, 8} {
			t.Run(fmt.Sprint(name, "/after event ", after), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					w := newTestNetwork()
					for _, address := range c.addresses {
						w.set(address, w.pausingEngine(after, 2500*time.Millisecond))
					}
					s, _ := w.service(c.budget, c.addresses...)
					a := admitted(c.policy, true)
					a.Route.MaxAttempts = c.attempts
					rec := httptest.NewRecorder()
					assert.NilError(t, s.Serve(t.Context(), rec, a))
					assert.Equal(t, rec.Body.String(), streamText(eventCount))
					assert.Equal(t, w.runs(), 1)
				})
			})
		}
	}
}

// TestEngineThatAnotherRunFindsLostMayGoOn guards against ending a stream that can't continue
// elsewhere before its first event, because another stream found its engine silent.
func TestEngineThatAnotherRunFindsLostMayGoOn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.set("a", w.pausingEngine(0, time.Second))
		s, engines := w.service(unlimitedBudget{}, "a")
		time.AfterFunc(100*time.Millisecond, func() {
			run, err := engines.Place(placement.PlaceRequest{Service: "s"})
			assert.Check(t, err == nil, "%v", err)
			run.MarkLost()
			run.Release()
		})
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.AtMostOnce, true)))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Equal(t, w.runs(), 1)
	})
}

// TestSilentStreamThatCannotMoveEndsAtItsDeadline guards against a stream that never ends
// because its engine stays silent.
func TestSilentStreamThatCannotMoveEndsAtItsDeadline(t *testing.T) {
	for name, c := range unmovableStreams {
		for _, after := range []int{0, 8} {
			t.Run(fmt.Sprint(name, "/after event ", after), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					w := newTestNetwork()
					for _, address := range c.addresses {
						w.set(address, w.pausingEngine(after, 30*time.Second))
					}
					s, _ := w.service(c.budget, c.addresses...)
					a := admitted(c.policy, true)
					a.Route.MaxAttempts = c.attempts
					rec := httptest.NewRecorder()
					err := s.Serve(t.Context(), rec, a)
					assert.Equal(t, time.Now(), a.Deadline)
					assert.Assert(t, strings.HasPrefix(streamText(eventCount), rec.Body.String()))
					if after == 0 {
						assert.Equal(t, kindOf(t, err), fault.DeadlineUnknown)
						return
					}
					var broken *TruncatedError
					assert.Assert(t, errors.As(err, &broken), "%v", err)
				})
			})
		}
	}
}

// TestSilentStreamMovesOnceTheRetryBudgetAllows guards against staying with a silent engine
// after the retry budget has become available again.
func TestSilentStreamMovesOnceTheRetryBudgetAllows(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		for _, address := range []string{"a", "b"} {
			e := defaultEngine
			e.dieAfter, e.silent = 8, true
			w.engines(e, address)
		}
		begin := time.Now()
		s, _ := w.service(budgetFrom(begin.Add(2*time.Second)), "a", "b", "c")
		w.engines(defaultEngine, "c")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Assert(t, time.Since(begin) < 5*time.Second, "%v", time.Since(begin))
	})
}

// budgetFrom allows further attempts from a time on.
type budgetFrom time.Time

func (budgetFrom) OnRequest() {}
func (b budgetFrom) Allow(request.RetryKind) (bool, time.Duration) {
	wait := time.Until(time.Time(b))
	return wait <= 0, max(wait, 0)
}

// TestSilentEngineIsAvoidedByNewRuns guards against new runs on an engine that a waiting
// stream found silent but can't leave.
func TestSilentEngineIsAvoidedByNewRuns(t *testing.T) {
	for _, policy := range []declared.RetryPolicy{declared.Resumable, declared.AtMostOnce} {
		t.Run(fmt.Sprint(policy), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				s, engines := w.service(unlimitedBudget{}, "a", "b")
				w.set("a", w.hang)
				w.set("b", w.hang)
				busy, err := engines.Place(placement.PlaceRequest{Service: "s", Exclude: []string{"a"}})
				assert.NilError(t, err)
				defer busy.Release()
				a := admitted(policy, true)
				a.Size.Prompt, a.Route.MaxAttempts = 1, 2
				go func() { _ = s.Serve(t.Context(), httptest.NewRecorder(), a) }()
				synctest.Wait()
				other, err := engines.Place(placement.PlaceRequest{Service: "s", Exclude: []string{"b"}})
				assert.NilError(t, err)
				defer other.Release()
				begin := time.Now()
				select {
				case <-other.EngineLost:
				case <-time.After(9 * time.Second):
				}
				assert.Assert(t, time.Since(begin) < 2*time.Second, "%v", time.Since(begin))
			})
		})
	}
}

// lateBudget allows further attempts from a time on.
type lateBudget struct{ from time.Time }

func (lateBudget) OnRequest() {}

func (b lateBudget) Allow(request.RetryKind) (bool, time.Duration) {
	return time.Now().After(b.from), 100 * time.Millisecond
}

// TestMissedProbeIsForgottenWhenTheEngineResponds guards against an engine that is given up
// because of a probe that it missed long before.
func TestMissedProbeIsForgottenWhenTheEngineResponds(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.first = 4 * time.Second
		w.engines(e, "a", "b")
		s, _ := w.service(lateBudget{time.Now().Add(3 * time.Second)}, "a", "b")
		a := admitted(declared.Resumable, true)
		a.Size.Prompt = 1
		done := make(chan error, 1)
		go func() { done <- s.Serve(t.Context(), httptest.NewRecorder(), a) }()
		time.Sleep(1200 * time.Millisecond)
		w.mu.Lock()
		for _, x := range []string{"a", "b"} {
			w.reports[x] = EngineReport{HasRequest: true, Generating: 1, Running: 1}
		}
		w.mu.Unlock()
		assert.NilError(t, <-done)
		assert.Equal(t, w.runs(), 1)
	})
}
