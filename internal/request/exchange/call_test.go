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

func TestCallsThatMayRunOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(w *world) func(net.Conn, *http.Request)
		status        int
		kind          fault.Kind
		ran           int
	}{
		"answered":                    {first: ok, status: 200, ran: 1},
		"a failure is passed on":      {first: fails, second: ok, status: 500, ran: 1},
		"refused, then answered":      {first: refusing, second: ok, status: 200, ran: 1},
		"another start, then another": {first: another, second: ok, status: 200, ran: 1},
		"not reached, then answered":  {second: ok, status: 200, ran: 1},
		"broken off":                  {first: breaking, second: ok, kind: fault.OutcomeUnknown, ran: 1},
		"another's answer":            {first: crossing, second: ok, kind: fault.OutcomeUnknown, ran: 1},
		"silent":                      {first: silent, second: ok, kind: fault.DeadlineUnknown, ran: 1},
		"none takes it":               {first: refusing, second: refusing, kind: fault.NoTarget},
		"none is reached":             {kind: fault.NoTarget},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld()
				for address, script := range map[string]func(w *world) func(net.Conn, *http.Request){"t1": c.first, "t2": c.second} {
					if script != nil {
						w.set(address, script(w))
					}
				}
				s, _ := w.service(plenty{}, "t1", "t2")
				rec := httptest.NewRecorder()
				err := s.Serve(t.Context(), rec, admitted(declared.Once, false))
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

func ok(w *world) func(net.Conn, *http.Request)       { return w.answers(200, "done") }
func fails(w *world) func(net.Conn, *http.Request)    { return w.answers(500, "failed") }
func refusing(*world) func(net.Conn, *http.Request)   { return refuses }
func another(*world) func(net.Conn, *http.Request)    { return isAnother }
func breaking(w *world) func(net.Conn, *http.Request) { return w.breaksOff }
func crossing(w *world) func(net.Conn, *http.Request) { return w.answersAnother }
func silent(w *world) func(net.Conn, *http.Request)   { return w.isSilent }

// TestCallsUnderDrawnTargets draws what each target does. A call that may run once
// runs at most once, a refusal that says "not run" is true, and a success is a
// target's whole answer to this request.
func TestCallsUnderDrawnTargets(t *testing.T) {
	scripts := map[string]func(w *world) func(net.Conn, *http.Request){
		"ok": ok, "fails": fails, "refuses": refusing, "another": another,
		"breaks": breaking, "crosses": crossing, "silent": silent, "off": nil,
	}
	names := []string{"ok", "fails", "refuses", "another", "breaks", "crosses", "silent", "off"}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(names), 1, 5).Draw(rt, "targets")
		repetition := rapid.SampledFrom([]declared.Repetition{declared.Once, declared.Repeatable}).Draw(rt, "repetition")
		inBubble(t, func(t *testing.T) {
			w := newWorld()
			var addresses []string
			for i, name := range drawn {
				addresses = append(addresses, string(rune('a'+i)))
				if script := scripts[name]; script != nil {
					w.set(addresses[i], script(w))
				}
			}
			s, _ := w.service(plenty{}, addresses...)
			rec := httptest.NewRecorder()
			a := admitted(repetition, false)
			err := s.Serve(t.Context(), rec, a)
			synctest.Wait()
			if repetition == declared.Once && w.runs() > 1 {
				rt.Fatalf("%v: ran %d times", drawn, w.runs())
			}
			if w.runs() > a.Route.MaxAttempts {
				rt.Fatalf("%v: ran at %d targets", drawn, w.runs())
			}
			if err == nil {
				if body := rec.Body.String(); body != "done" && body != "failed" {
					rt.Fatalf("%v: answered %q", drawn, body)
				}
				return
			}
			if e := fault.Of(err); e.Ran == chicoryv1.Ran_RAN_NOT_RUN && w.runs() > 0 {
				rt.Fatalf("%v: %v says not run, but it ran", drawn, e)
			}
		})
	})
}

func TestRepeatableCallIsRetriedAndHedged(t *testing.T) {
	for name, first := range map[string]func(w *world) func(net.Conn, *http.Request){
		"failure": fails, "broken off": breaking, "silent": silent, "refused": refusing, "crossed": crossing, "off": nil,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld()
				if first != nil {
					w.set("t1", first(w))
				}
				w.set("t2", ok(w))
				s, _ := w.service(plenty{}, "t1", "t2")
				rec := httptest.NewRecorder()
				begin := time.Now()
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Repeatable, false)))
				assert.Equal(t, rec.Body.String(), "done")
				assert.Assert(t, time.Since(begin) <= 100*time.Millisecond, "half of the objective is left")
			})
		})
	}
}

// TestLastFailureIsPassedOn lets every target fail: the caller gets a target's own
// answer with its status.
func TestLastFailureIsPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		w.set("t1", fails(w))
		w.set("t2", fails(w))
		s, _ := w.service(plenty{}, "t1", "t2")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Repeatable, false)))
		assert.Equal(t, rec.Code, 500)
		assert.Equal(t, rec.Header().Get("Signed"), "yes")
	})
}

func TestNoBudgetMeansOneAttempt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		w.set("t1", fails(w))
		w.set("t2", ok(w))
		s, _ := w.service(none{}, "t1", "t2")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Repeatable, false)))
		assert.Equal(t, rec.Code, 500)
		assert.Equal(t, w.runs(), 1)
	})
}
