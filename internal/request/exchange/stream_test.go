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

const events = 20

// engines sets one engine for each address, all like e.
func (w *world) engines(e engine, addresses ...string) map[string]*engine {
	all := map[string]*engine{}
	for _, address := range addresses {
		x := e
		x.w = w
		all[address] = &x
		w.set(address, x.serve)
	}
	return all
}

var plain = engine{first: 300 * time.Millisecond, gap: 40 * time.Millisecond, total: events}

func TestStreamComesWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		w.engines(plain, "a", "b")
		s, _ := w.service(plenty{}, "a", "b")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), eventsOf(events))
		assert.Equal(t, rec.Header().Get("Signed"), "yes")
	})
}

// gapWriter notes the longest pause between two events.
type gapWriter struct {
	*httptest.ResponseRecorder
	last    time.Time
	longest time.Duration
}

func (g *gapWriter) Write(b []byte) (int, error) {
	now := time.Now()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
	return g.ResponseRecorder.Write(b)
}

// TestLostEngineCostsNoPauseWhereACopyIsKept: the pattern is the loss of an engine in
// the middle of a stream, by a reset or by silence, while another engine keeps a copy.
func TestLostEngineCostsNoPauseWhereACopyIsKept(t *testing.T) {
	for name, silent := range map[string]bool{"reset": false, "silence": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld()
				e := plain
				e.dieAfter, e.silent = 8, silent
				e.copies = map[string]bool{"r1": true}
				w.engines(e, "a", "b")
				s, _ := w.service(plenty{}, "a", "b")
				rec := &gapWriter{ResponseRecorder: httptest.NewRecorder()}
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
				assert.Equal(t, rec.Body.String(), eventsOf(events))
				assert.Assert(t, rec.longest < 700*time.Millisecond, "%v", rec.longest)
			})
		})
	}
}

func TestStreamGoesOnWithoutACopy(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		e := plain
		e.dieAfter = 8
		w.engines(e, "a", "b", "c")
		s, _ := w.service(plenty{}, "a", "b", "c")
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
		assert.Equal(t, rec.Body.String(), eventsOf(events))
	})
}

// TestStreamThatMayNotBeResumedRunsOnce: nothing is sent again once an engine may have
// run it.
func TestStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		e := plain
		e.dieAfter = 8
		w.engines(e, "a", "b")
		s, _ := w.service(plenty{}, "a", "b")
		rec := httptest.NewRecorder()
		err := s.Serve(t.Context(), rec, admitted(declared.Once, true))
		var broken *BrokenOff
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		assert.Equal(t, w.runs(), 1)
		assert.Equal(t, rec.Body.String(), eventsOf(8))
	})
}

// TestCallerThatComesBackGetsWhatItLacks starts after the caller's last event.
func TestCallerThatComesBackGetsWhatItLacks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		w.engines(plain, "a")
		s, _ := w.service(plenty{}, "a")
		a := admitted(declared.Resumable, true)
		a.LastEvent = 12
		rec := httptest.NewRecorder()
		assert.NilError(t, s.Serve(t.Context(), rec, a))
		assert.Equal(t, rec.Body.String(), strings.TrimPrefix(eventsOf(events), eventsOf(12)))
	})
}

// TestSilentEngineIsAskedBeforeItIsGivenUp: the pattern is a burst of returning
// streams, whose prompts wait for each other at engines that are well.
func TestSilentEngineIsAskedBeforeItIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		report *EngineReport
		ran    int
	}{
		"its prompt waits":   {&EngineReport{Waiting: 2}, 1},
		"it reads it":        {&EngineReport{Running: 3, Generating: 2}, 1},
		"it works on it":     {&EngineReport{Holds: true}, 1},
		"it doesn't know it": {&EngineReport{Running: 3, Generating: 3}, 2},
		"it doesn't answer":  {nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld()
				slow := plain
				slow.first = 4 * time.Second
				w.engines(slow, "a")
				w.engines(plain, "b")
				if c.report != nil {
					w.reports["a"] = *c.report
				}
				s, _ := w.service(plenty{}, "a", "b")
				rec := httptest.NewRecorder()
				assert.NilError(t, s.Serve(t.Context(), rec, admitted(declared.Resumable, true)))
				assert.Equal(t, rec.Body.String(), eventsOf(events))
				assert.Equal(t, w.runs(), c.ran)
			})
		})
	}
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		w.engines(plain, "a")
		s, _ := w.service(plenty{}, "a")
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		err := s.Serve(ctx, httptest.NewRecorder(), admitted(declared.Resumable, true))
		var broken *BrokenOff
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		synctest.Wait()
		assert.Equal(t, w.runs(), 1)
	})
}

// TestEnginesRefusalOfTheRequestIsFinal: a 4xx of the engine itself goes to the caller,
// a 5xx to another engine first.
func TestEnginesRefusalOfTheRequestIsFinal(t *testing.T) {
	for status, ran := range map[int]int{400: 1, 500: 2} {
		inBubble(t, func(t *testing.T) {
			w := newWorld()
			w.set("a", w.answers(status, "no"))
			w.set("b", w.answers(status, "no"))
			s, _ := w.service(plenty{}, "a", "b")
			a := admitted(declared.Resumable, true)
			a.Route.MaxAttempts = 2
			rec := httptest.NewRecorder()
			assert.NilError(t, s.Serve(t.Context(), rec, a))
			assert.Equal(t, rec.Code, status)
			assert.Equal(t, w.runs(), ran)
		})
	}
}

// TestRefusedStreamSaysNotRun: no engine takes it.
func TestRefusedStreamSaysNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld()
		w.set("a", refuses)
		w.set("b", isAnother)
		s, _ := w.service(plenty{}, "a", "b")
		err := s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.Resumable, true))
		assert.Equal(t, kindOf(t, err), fault.NoTarget)
		assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		assert.Assert(t, fault.Of(err).RetryAfter > 0)
	})
}

// TestStreamsUnderDrawnLosses draws when and how engines are lost. What the caller
// gets is always the beginning of one stream, each event once, and a stream that
// ends in order is whole.
func TestStreamsUnderDrawnLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type drawn struct {
			dieAfter     int
			silent, copy bool
		}
		var drawns []drawn
		for range rapid.IntRange(1, 5).Draw(rt, "engines") {
			drawns = append(drawns, drawn{
				rapid.IntRange(0, events).Draw(rt, "die after"),
				rapid.Bool().Draw(rt, "silent"),
				rapid.Bool().Draw(rt, "copy"),
			})
		}
		inBubble(t, func(t *testing.T) {
			w := newWorld()
			var addresses []string
			for i, d := range drawns {
				e := plain
				e.dieAfter, e.silent = d.dieAfter, d.silent
				e.copies = map[string]bool{"r1": d.copy}
				addresses = append(addresses, string(rune('a'+i)))
				w.engines(e, addresses[i])
			}
			s, _ := w.service(plenty{}, addresses...)
			rec := httptest.NewRecorder()
			err := s.Serve(t.Context(), rec, admitted(declared.Resumable, true))
			body := rec.Body.String()
			if !strings.HasPrefix(eventsOf(events), body) {
				rt.Fatalf("%v: got %q", drawns, body)
			}
			if err == nil && body != eventsOf(events) {
				rt.Fatalf("%v: ended in order after %q", drawns, body)
			}
		})
	})
}

// FuzzEvents compares the reader with what it read: events are the input, cut after
// empty lines, and nothing after the last one is given out.
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
