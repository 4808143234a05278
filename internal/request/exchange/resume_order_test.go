package exchange

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// steadyBudget allows one attempt every interval.
type steadyBudget struct {
	interval time.Duration
	next     atomic.Int64 // Unix nanoseconds
}

func (*steadyBudget) OnRequest() {}

func (b *steadyBudget) Allow(request.RetryKind) (bool, time.Duration) {
	now := time.Now().UnixNano()
	if now < b.next.Load() {
		return false, 20 * time.Millisecond
	}
	b.next.Store(now + int64(b.interval))
	return true, 0
}

// lostStream returns a stream of a priority that was lost now, with a copy that is kept for copyFor, or none.
func lostStream(s *Service, priority int, copyFor time.Duration) *stream {
	st := &stream{s: s, a: &AdmittedRequest{Service: &declared.Service{Name: "model"}, Priority: priority}, lostAt: time.Now()}
	if copyFor > 0 {
		st.backup, st.copyUntil = &chicoryv1.ListedTarget{}, time.Now().Add(copyFor)
	}
	return st
}

func newResumeService(b request.RetryBudget) *Service {
	s := &Service{resumes: newResumeOrder()}
	s.opts.Budget = func(string) request.RetryBudget { return b }
	s.opts.HighestPriority = func(string) int { return 0 }
	return s
}

// TestResumesAreOrdered guards against copies that expire and urgent streams that wait while others are resumed,
// after the loss of many engines at once.
func TestResumesAreOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newResumeService(&steadyBudget{interval: 100 * time.Millisecond})
		var got []string
		resumed := make(chan string, 8)
		for _, x := range []struct {
			name     string
			priority int
			copyFor  time.Duration
		}{
			{"first", 0, 0}, {"deferrable", 2, 0}, {"urgent", 0, 0}, {"copy", 2, 3 * time.Second}, {"copy that expires soon", 2, time.Second},
		} {
			go func() {
				if s.resumes.await(t.Context(), lostStream(s, x.priority, x.copyFor)) {
					resumed <- x.name
				}
			}()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		for range 5 {
			got = append(got, <-resumed)
		}
		assert.DeepEqual(t, got, []string{"first", "copy that expires soon", "copy", "urgent", "deferrable"})
	})
}

// TestNoResumeStarves guards against a stream of a low priority that is never resumed while streams of a high
// one are lost all the time, more than the budget allows.
func TestNoResumeStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		interval := time.Duration(rapid.IntRange(20, 200).Draw(rt, "ms between attempts")) * time.Millisecond
		arrival := time.Duration(rapid.IntRange(10, 200).Draw(rt, "ms between losses")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			s := newResumeService(&steadyBudget{interval: interval})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			before := int64(0) // streams that may precede the deferrable one
			var urgent atomic.Int64
			done := make(chan struct{})
			begin := time.Now()
			for time.Since(begin) < 500*time.Millisecond {
				go func() { s.resumes.await(ctx, lostStream(s, 0, 0)) }()
				before++
				time.Sleep(arrival)
			}
			go func() {
				s.resumes.await(ctx, lostStream(s, 2, 0))
				close(done)
			}()
			joined := time.Now()
			for {
				select {
				case <-done:
					return
				default:
				}
				go func() {
					if s.resumes.await(ctx, lostStream(s, 0, 0)) {
						urgent.Add(1)
					}
				}()
				time.Sleep(arrival)
				// All that were lost before it stops being deferrable may precede it.
				limit := maxDeferral + time.Duration(before+int64(maxDeferral/arrival)+2)*(interval+recheckInterval)
				if time.Since(joined) > limit {
					rt.Fatalf("not resumed after %v, while %d urgent streams were", time.Since(joined), urgent.Load())
				}
			}
		})
	})
}
