package retry

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// TestMain runs the property tests with a fixed seed; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

// event is a first attempt, a request for a further one, or a pause.
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

// TestBoundHoldsOverAnyHistory checks random sequences of events. In every time span,
// retries and hedges together are at most Share of the first attempts plus Burst, and
// resumes exceed that by at most ResumeRate and ResumeBurst.
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
			// The headroom under each bound and the start of each span.
			var callHeadroom, totalHeadroom, spanStarts []float64
			start := time.Now()
			for _, e := range events {
				callHeadroom, totalHeadroom, spanStarts = append(callHeadroom, s.Burst), append(totalHeadroom, s.Burst), append(spanStarts, time.Since(start).Seconds())
				applyEvent(b, e, func(ok bool) {
					checkSpans(rt, s, e, ok, callHeadroom, totalHeadroom, spanStarts, time.Since(start).Seconds())
				})
			}
		})
	})
}

// applyEvent applies one event and reports whether the attempt was allowed.
func applyEvent(b *Budget, e event, report func(ok bool)) {
	switch e.kind {
	case pauseEvent:
		time.Sleep(e.pause)
	case firstAttempt:
		b.OnRequest()
		report(true)
	default:
		ok, wait := b.Allow(request.RetryKind(e.kind))
		if !ok && wait <= 0 {
			panic("refused without a retry time")
		}
		report(ok)
	}
}

// checkSpans updates the headroom of every span that ends now and fails the test when
// one is exceeded.
func checkSpans(rt *rapid.T, s Settings, e event, ok bool, callHeadroom, totalHeadroom, spanStarts []float64, now float64) {
	const rounding = 1e-6
	for i := range callHeadroom {
		switch {
		case e.kind == firstAttempt:
			callHeadroom[i] += s.Share
			totalHeadroom[i] += s.Share
		case !ok:
			return
		case e.kind == int(request.ResumeGeneration):
			totalHeadroom[i]--
		default:
			callHeadroom[i]--
			totalHeadroom[i]--
		}
		if callHeadroom[i] < -rounding {
			rt.Errorf("retries and hedges exceed the budget by %f", -callHeadroom[i])
		}
		if bound := s.ResumeBurst + s.ResumeRate*(now-spanStarts[i]); totalHeadroom[i]+bound < -rounding {
			rt.Errorf("further attempts exceed the budget by %f", -totalHeadroom[i]-bound)
		}
	}
}

// TestResumesAreSpreadAndNotLost checks that all resumes of a burst are allowed, at
// ResumeRate, when each asks again after the time that it was given.
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
