package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
)

var bound = retry.Bound{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}

func newShared(entries int) *retry.SharedBudget {
	return retry.NewSharedBudget(bound, retry.NewBudget(retry.Options{Settings: bound.LocalSettings(entries)}))
}

// TestLossThatAffectsOneEntryVM covers the loss of an availability zone that interrupts
// only the streams of one entry VM: that VM may use the part of the bound that the
// others leave.
func TestLossThatAffectsOneEntryVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShared(9)
		begin := time.Now()
		for i := range 40 {
			for ok := false; !ok; {
				if ok, _ = s.Allow(request.ResumeGeneration); !ok {
					time.Sleep(100 * time.Millisecond)
					s.SetRemoteUsage(retry.Usage{Requests: 200}, 9)
				}
			}
			assert.Assert(t, time.Since(begin) < 2*time.Second, "attempt %d", i)
		}
	})
}

// TestLocalBudgetWithoutRemoteUsage checks that an entry VM that gets no usage of the
// others uses only its local budget.
func TestLocalBudgetWithoutRemoteUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShared(9)
		allowed := 0
		for range 100 {
			if ok, _ := s.Allow(request.RetryCall); ok {
				allowed++
			}
		}
		assert.Assert(t, allowed < 20, "%d allowed", allowed)
	})
}

// TestBoundHoldsOverAllEntryVMs checks, for random numbers of entry VMs, rates of
// attempts and delays of the exchanged usage, that the bound is exceeded in no window.
func TestBoundHoldsOverAllEntryVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 12).Draw(rt, "entries")
		perStep := rapid.IntRange(0, 3).Draw(rt, "attempts a step")
		requests := rapid.IntRange(0, 2).Draw(rt, "requests a step")
		lag := rapid.IntRange(1, 4).Draw(rt, "steps of lag")
		synctest.Test(t, func(*testing.T) {
			var all []*retry.SharedBudget
			for range entries {
				all = append(all, newShared(entries))
			}
			const step = 100 * time.Millisecond
			var spent, asked []int
			for i := range 300 {
				n := 0
				for _, s := range all {
					for range requests {
						s.OnRequest()
					}
					for range perStep {
						if ok, _ := s.Allow(request.ResumeGeneration); ok {
							n++
						}
					}
				}
				spent, asked = append(spent, n), append(asked, requests*entries)
				if i%lag == 0 {
					exchangeUsage(all)
				}
				time.Sleep(step)
				window := int(bound.Window / step)
				from := max(0, len(spent)-window)
				limit := bound.Ratio*float64(sum(asked[from:])) + bound.Extra
				if got := sum(spent[from:]); float64(got) > limit {
					rt.Fatalf("%d further attempts in a window that allows %.0f", got, limit)
				}
			}
		})
	})
}

// exchangeUsage gives each budget the total usage of the others.
func exchangeUsage(all []*retry.SharedBudget) {
	var total retry.Usage
	uses := make([]retry.Usage, len(all))
	for i, s := range all {
		uses[i] = s.LocalUsage()
		total.Requests += uses[i].Requests
		total.FurtherAttempts += uses[i].FurtherAttempts
	}
	for i, s := range all {
		s.SetRemoteUsage(retry.Usage{Requests: total.Requests - uses[i].Requests, FurtherAttempts: total.FurtherAttempts - uses[i].FurtherAttempts}, len(all))
	}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
