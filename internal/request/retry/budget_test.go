package retry

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m))
}

// event is a first attempt, a wish for a further one, or a pause.
type event struct {
	kind  int
	pause time.Duration
}

const (
	firstAttempt = int(request.ResumeGeneration) + 1
	pauseEvent   = firstAttempt + 1
)

func drawEvents(t *rapid.T) []event {
	draw := rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:  rapid.IntRange(0, pauseEvent).Draw(t, "kind"),
			pause: time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(draw, 1, 400).Draw(t, "events")
}

// TestBoundHoldsOverAnyHistory: in every span of a history, retries and hedges
// together are at most the share of its first attempts and what was saved, and
// resumes add at most their pace to that.
func TestBoundHoldsOverAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := Settings{
			Share:        rapid.Float64Range(0, 0.5).Draw(rt, "share"),
			Burst:        rapid.Float64Range(1, 10).Draw(rt, "burst"),
			HedgeReserve: rapid.Float64Range(0, 1).Draw(rt, "reserve"),
			ResumeRate:   rapid.Float64Range(1, 50).Draw(rt, "rate"),
			ResumeBurst:  rapid.Float64Range(1, 5).Draw(rt, "resume burst"),
		}
		events := drawEvents(rt)
		synctest.Test(t, func(*testing.T) {
			b := NewBudget(Options{Settings: s})
			var calls, extra, paced []float64 // headroom under each bound, by start of span
			start := time.Now()
			for _, e := range events {
				calls, extra, paced = append(calls, s.Burst), append(extra, s.Burst), append(paced, time.Since(start).Seconds())
				applyEvent(b, e, func(ok bool) {
					checkSpans(rt, s, e, ok, calls, extra, paced, time.Since(start).Seconds())
				})
			}
		})
	})
}

// applyEvent plays one event and tells the outcome.
func applyEvent(b *Budget, e event, told func(ok bool)) {
	switch e.kind {
	case pauseEvent:
		time.Sleep(e.pause)
	case firstAttempt:
		b.OnRequest()
		told(true)
	default:
		ok, wait := b.Allow(request.RetryKind(e.kind))
		if !ok && wait <= 0 {
			panic("refused without a time to come back")
		}
		told(ok)
	}
}

// checkSpans updates the headroom of every span that is open and fails when one
// is used up.
func checkSpans(rt *rapid.T, s Settings, e event, ok bool, calls, extra, paced []float64, now float64) {
	const rounding = 1e-6
	for i := range calls {
		switch {
		case e.kind == firstAttempt:
			calls[i] += s.Share
			extra[i] += s.Share
		case !ok:
			return
		case e.kind == int(request.ResumeGeneration):
			extra[i]--
		default:
			calls[i]--
			extra[i]--
		}
		if calls[i] < -rounding {
			rt.Errorf("retries and hedges exceed the budget by %f", -calls[i])
		}
		if bound := s.ResumeBurst + s.ResumeRate*(now-paced[i]); extra[i]+bound < -rounding {
			rt.Errorf("further attempts exceed the budget by %f", -extra[i]-bound)
		}
	}
}

// TestResumesAreSpreadAndNotLost: of a burst of resumes, each is told a time of
// its own, and all go ahead when they come back then.
func TestResumesAreSpreadAndNotLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(rt, "resumes")
		synctest.Test(t, func(*testing.T) {
			s := Defaults()
			b := NewBudget(Options{Settings: s})
			resumed := make(chan time.Duration, n)
			start := time.Now()
			for range n {
				go func() {
					for {
						ok, wait := b.Allow(request.ResumeGeneration)
						if ok {
							resumed <- time.Since(start)
							return
						}
						time.Sleep(wait)
					}
				}()
			}
			last := time.Duration(0)
			for range n {
				last = max(last, <-resumed)
			}
			bound := time.Duration((float64(n)/s.ResumeRate + 1) * float64(time.Second))
			if last > bound {
				rt.Errorf("last of %d resumes after %s, bound %s", n, last, bound)
			}
		})
	})
}

func TestHedgesLeaveAReserve(t *testing.T) {
	b := NewBudget(Options{Settings: Settings{Burst: 10, HedgeReserve: 0.5, ResumeRate: 1, ResumeBurst: 1}})
	count := func(kind request.RetryKind) (n int) {
		for {
			if ok, _ := b.Allow(kind); !ok {
				return n
			}
			n++
		}
	}
	assert.Equal(t, count(request.HedgeCall), 5)
	assert.Equal(t, count(request.RetryCall), 5)
	assert.Equal(t, count(request.ResumeGeneration), 1)
}

func TestNoHedgeWhileSaturated(t *testing.T) {
	saturated := true
	b := NewBudget(Options{Settings: Defaults(), Saturated: func() bool { return saturated }})
	ok, _ := b.Allow(request.HedgeCall)
	assert.Assert(t, !ok)
	ok, _ = b.Allow(request.RetryCall)
	assert.Assert(t, ok)
	saturated = false
	ok, _ = b.Allow(request.HedgeCall)
	assert.Assert(t, ok)
}
