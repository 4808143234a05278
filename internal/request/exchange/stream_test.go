package exchange

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

const eventCount = 20

// engines starts one engine like e at each address.
func (w *testNetwork) engines(e engine, addresses ...string) map[string]*engine {
	all := map[string]*engine{}
	for _, address := range addresses {
		x := e
		x.w = w
		all[address] = &x
		w.set(address, x.serve)
	}
	return all
}

var defaultEngine = engine{first: 300 * time.Millisecond, gap: 40 * time.Millisecond, total: eventCount}

func TestStreamIsForwardedComplete(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.engines(defaultEngine, "a", "b")
		s, _ := w.service(unlimitedBudget{}, "a", "b")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
		assert.Equal(t, rec.Header().Get("Signed"), "yes")
	})
}

// gapRecorder records the longest gap between two writes.
type gapRecorder struct {
	*httptest.ResponseRecorder
	last    time.Time
	longest time.Duration
}

func (g *gapRecorder) Write(b []byte) (int, error) {
	now := time.Now()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
	return g.ResponseRecorder.Write(b)
}

// TestEngineLossWithBackupCausesNoLongGap guards against a long gap when an engine is
// lost in the middle of a stream, by a reset or by silence, while another engine keeps a
// copy.
func TestEngineLossWithBackupCausesNoLongGap(t *testing.T) {
	for name, silent := range map[string]bool{"reset": false, "silence": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				e := defaultEngine
				e.dieAfter, e.silent = 8, silent
				e.copies = map[string]bool{"r1": true}
				w.engines(e, "a", "b")
				s, _ := w.service(unlimitedBudget{}, "a", "b")
				rec := &gapRecorder{ResponseRecorder: httptest.NewRecorder()}
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
				assert.Equal(t, rec.Body.String(), streamText(eventCount))
				assert.Assert(t, rec.longest < 700*time.Millisecond, "%v", rec.longest)
			})
		})
	}
}

func TestStreamContinuesWithoutBackup(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.dieAfter = 8
		w.engines(e, "a", "b", "c")
		s, _ := w.service(unlimitedBudget{}, "a", "b", "c")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), streamText(eventCount))
	})
}

// TestNonResumableStreamRunsOnce: a request is not sent again once an engine may have run
// it.
func TestNonResumableStreamRunsOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		e := defaultEngine
		e.dieAfter = 8
		w.engines(e, "a", "b")
		s, _ := w.service(unlimitedBudget{}, "a", "b")
		rec := httptest.NewRecorder()
		err := s.Serve(t.Context(), rec, admitted(declared.AtMostOnce, true))
		var broken *TruncatedError
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		assert.Equal(t, w.runs(), 1)
		assert.Equal(t, rec.Body.String(), streamText(8))
	})
}

// TestReconnectingCallerGetsMissingEvents resumes after the caller's last event.
func TestReconnectingCallerGetsMissingEvents(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.engines(defaultEngine, "a")
		s, _ := w.service(unlimitedBudget{}, "a")
		a := admitted(declared.Resumable, true)
		a.LastEventID = 12
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, a))
		assert.Equal(t, rec.Body.String(), strings.TrimPrefix(streamText(eventCount), streamText(12)))
	})
}

// TestSilentEngineIsProbedBeforeItIsGivenUp guards against giving up healthy engines
// during a burst of returning streams, whose prompts queue at the engines.
func TestSilentEngineIsProbedBeforeItIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		report *EngineReport
		ran    int
	}{
		"prompt is queued":           {&EngineReport{Waiting: 2}, 1},
		"prompt is being processed":  {&EngineReport{Running: 3, Generating: 2}, 1},
		"request is being generated": {&EngineReport{HasRequest: true}, 1},
		"request is unknown":         {&EngineReport{Running: 3, Generating: 3}, 2},
		"no probe response":          {nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				slow := defaultEngine
				slow.first = 4 * time.Second
				w.engines(slow, "a")
				w.engines(defaultEngine, "b")
				if c.report != nil {
					w.reports["a"] = *c.report
				}
				s, _ := w.service(unlimitedBudget{}, "a", "b")
				rec := httptest.NewRecorder()
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
				assert.Equal(t, rec.Body.String(), streamText(eventCount))
				assert.Equal(t, w.runs(), c.ran)
			})
		})
	}
}

func TestCallerDisconnectCancelsTheRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.engines(defaultEngine, "a")
		s, _ := w.service(unlimitedBudget{}, "a")
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		err := s.Serve(ctx, httptest.NewRecorder(), admitted(declared.Resumable, true))
		var broken *TruncatedError
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		synctest.Wait()
		assert.Equal(t, w.runs(), 1)
	})
}

// TestClientErrorOfAnEngineIsFinal: a 4xx response of an engine goes to the caller, while
// a 5xx response makes another engine be tried first.
func TestClientErrorOfAnEngineIsFinal(t *testing.T) {
	for status, ran := range map[int]int{400: 1, 500: 2} {
		inVirtualTime(t, func(t *testing.T) {
			w := newTestNetwork()
			w.set("a", w.respondWith(status, "no"))
			w.set("b", w.respondWith(status, "no"))
			s, _ := w.service(unlimitedBudget{}, "a", "b")
			a := admitted(declared.Resumable, true)
			a.Route.MaxAttempts = 2
			rec := httptest.NewRecorder()
			assert.NilError(t, s.Serve(t.Context(), rec, a))
			assert.Equal(t, rec.Code, status)
			assert.Equal(t, w.runs(), ran)
		})
	}
}

// TestRefusedStreamIsReportedAsNotRun: all engines refuse the request.
func TestRefusedStreamIsReportedAsNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newTestNetwork()
		w.set("a", refuseRequest)
		w.set("b", refuseInstance)
		s, _ := w.service(unlimitedBudget{}, "a", "b")
		err := s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.Resumable, true))
		assert.Equal(t, kindOf(t, err), fault.NoTarget)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		assert.Assert(t, fault.Of(err).RetryAfter > 0)
	})
}

// TestStreamsWithRandomLosses generates when and how engines are lost. The caller must
// always receive a prefix of one stream with each event once, and a stream that ends
// without an error must be complete.
func TestStreamsWithRandomLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type engineFailure struct {
			dieAfter     int
			silent, copy bool
		}
		var failures []engineFailure
		for range rapid.IntRange(1, 5).Draw(rt, "engines") {
			failures = append(failures, engineFailure{
				rapid.IntRange(0, eventCount).Draw(rt, "die after"),
				rapid.Bool().Draw(rt, "silent"),
				rapid.Bool().Draw(rt, "copy"),
			})
		}
		inVirtualTime(t, func(t *testing.T) {
			w := newTestNetwork()
			var addresses []string
			for i, d := range failures {
				e := defaultEngine
				e.dieAfter, e.silent = d.dieAfter, d.silent
				e.copies = map[string]bool{"r1": d.copy}
				addresses = append(addresses, string(rune('a'+i)))
				w.engines(e, addresses[i])
			}
			s, _ := w.service(unlimitedBudget{}, addresses...)
			rec := httptest.NewRecorder()
			err := s.Serve(t.Context(), rec, admitted(declared.Resumable, true))
			body := rec.Body.String()
			if !strings.HasPrefix(streamText(eventCount), body) {
				rt.Fatalf("%v: got %q", failures, body)
			}
			if err == nil && body != streamText(eventCount) {
				rt.Fatalf("%v: ended without an error after %q", failures, body)
			}
		})
	})
}

// FuzzEvents checks that the events, in order, are the input up to the last empty line,
// and that nothing after it is returned.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("weight-versions: 3\nid: 1\r\ndata\r\n\r\n")
	f.Add("id: x\n\n")
	f.Add("id: 7\ndata: cut")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text))
		var got strings.Builder
		for {
			e, err := r.next()
			if err != nil {
				if errors.Is(err, io.EOF) {
					assert.Equal(t, got.String(), text)
				}
				break
			}
			got.Write(e.raw)
		}
		assert.Assert(t, strings.HasPrefix(text, got.String()))
	})
}
