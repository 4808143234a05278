package exchange

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

func TestNonRepeatableCalls(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(w *testNetwork) func(net.Conn, *http.Request)
		status        int
		kind          fault.Kind
		ran           int
	}{
		"answered":                      {first: ok, status: 200, ran: 1},
		"server error is forwarded":     {first: fails, second: ok, status: 500, ran: 1},
		"refused, then answered":        {first: refusesRequest, second: ok, status: 200, ran: 1},
		"wrong instance, then answered": {first: refusesInstance, second: ok, status: 200, ran: 1},
		"unreachable, then answered":    {second: ok, status: 200, ran: 1},
		"truncated":                     {first: truncates, second: ok, kind: fault.OutcomeUnknown, ran: 1},
		"response to another request":   {first: answersOtherRequest, second: ok, kind: fault.OutcomeUnknown, ran: 1},
		"silent":                        {first: neverAnswers, second: ok, kind: fault.DeadlineUnknown, ran: 1},
		"all refuse":                    {first: refusesRequest, second: refusesRequest, kind: fault.NoTarget},
		"all unreachable":               {kind: fault.NoTarget},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				for address, handler := range map[string]func(w *testNetwork) func(net.Conn, *http.Request){"t1": c.first, "t2": c.second} {
					if handler != nil {
						w.set(address, handler(w))
					}
				}
				s, _ := w.service(unlimitedBudget{}, "t1", "t2")
				rec := httptest.NewRecorder()
				err := s.Serve(t.Context(), rec, admitted(declared.AtMostOnce, false))
				assert.Equal(t, w.runs(), c.ran)
				if c.kind != "" {
					assert.Equal(t, kindOf(t, err), c.kind)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, rec.Code, c.status)
			})
		})
	}
}

func ok(w *testNetwork) func(net.Conn, *http.Request)                  { return w.respondWith(200, "done") }
func fails(w *testNetwork) func(net.Conn, *http.Request)               { return w.respondWith(500, "failed") }
func refusesRequest(*testNetwork) func(net.Conn, *http.Request)        { return refuseRequest }
func refusesInstance(*testNetwork) func(net.Conn, *http.Request)       { return refuseInstance }
func truncates(w *testNetwork) func(net.Conn, *http.Request)           { return w.truncateAnswer }
func answersOtherRequest(w *testNetwork) func(net.Conn, *http.Request) { return w.answerOtherRequest }
func neverAnswers(w *testNetwork) func(net.Conn, *http.Request)        { return w.hang }

// TestCallsWithRandomTargets generates the behavior of each target. It guards against a
// non-repeatable call that runs twice, an error that claims "not run" for a call that
// ran, and a success that is not a target's complete response to this request.
func TestCallsWithRandomTargets(t *testing.T) {
	handlers := map[string]func(w *testNetwork) func(net.Conn, *http.Request){
		"ok": ok, "fails": fails, "refuses": refusesRequest, "another": refusesInstance,
		"breaks": truncates, "crosses": answersOtherRequest, "silent": neverAnswers, "off": nil,
	}
	names := []string{"ok", "fails", "refuses", "another", "breaks", "crosses", "silent", "off"}
	rapid.Check(t, func(rt *rapid.T) {
		behaviors := rapid.SliceOfN(rapid.SampledFrom(names), 1, 5).Draw(rt, "targets")
		repetition := rapid.SampledFrom([]declared.RetryPolicy{declared.AtMostOnce, declared.Retryable}).Draw(rt, "repetition")
		inVirtualTime(t, func(t *testing.T) {
			w := newTestNetwork()
			var addresses []string
			for i, name := range behaviors {
				addresses = append(addresses, string(rune('a'+i)))
				if handler := handlers[name]; handler != nil {
					w.set(addresses[i], handler(w))
				}
			}
			s, _ := w.service(unlimitedBudget{}, addresses...)
			rec := httptest.NewRecorder()
			a := admitted(repetition, false)
			err := s.Serve(t.Context(), rec, a)
			synctest.Wait()
			if repetition == declared.AtMostOnce && w.runs() > 1 {
				rt.Fatalf("%v: ran %d times", behaviors, w.runs())
			}
			if w.runs() > a.Route.MaxAttempts {
				rt.Fatalf("%v: ran at %d targets", behaviors, w.runs())
			}
			if err == nil {
				if body := rec.Body.String(); body != "done" && body != "failed" {
					rt.Fatalf("%v: answered %q", behaviors, body)
				}
				return
			}
			if e := fault.Of(err); e.Ran == chicoryv1.Ran_RAN_NOT_RUN && w.runs() > 0 {
				rt.Fatalf("%v: error %v says not run, but the call ran", behaviors, e)
			}
		})
	})
}

func TestRepeatableCallIsRetriedAndHedged(t *testing.T) {
	for name, first := range map[string]func(w *testNetwork) func(net.Conn, *http.Request){
		"failure": fails, "broken off": truncates, "silent": neverAnswers, "refused": refusesRequest, "crossed": answersOtherRequest, "off": nil,
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				if first != nil {
					w.set("t1", first(w))
				}
				w.set("t2", ok(w))
				s, _ := w.service(unlimitedBudget{}, "t1", "t2")
				rec := httptest.NewRecorder()
				begin := time.Now()
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Retryable, false)))
				assert.Equal(t, rec.Body.String(), "done")
				assert.Assert(t, time.Since(begin) <= 100*time.Millisecond, "less than half of the latency objective is left")
			})
		})
	}
}

// TestLastFailureIsForwarded: if every target fails, the caller gets the response of a
// target with its status.
func TestLastFailureIsForwarded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.set("t1", fails(w))
		w.set("t2", fails(w))
		s, _ := w.service(unlimitedBudget{}, "t1", "t2")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Retryable, false)))
		assert.Equal(t, rec.Code, 500)
		assert.Equal(t, rec.Header().Get("Signed"), "yes")
	})
}

func TestEmptyRetryBudgetAllowsOneAttempt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.set("t1", fails(w))
		w.set("t2", ok(w))
		s, _ := w.service(emptyBudget{}, "t1", "t2")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Retryable, false)))
		assert.Equal(t, rec.Code, 500)
		assert.Equal(t, w.runs(), 1)
	})
}
