package pace

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSilenceTimeoutAdaptsToGaps(t *testing.T) {
	b := TimeoutBounds{Min: 150 * time.Millisecond, Max: time.Second}
	var g GapEstimator
	assert.Equal(t, g.SilenceTimeout(b, 0), b.Max)
	assert.Equal(t, g.SilenceTimeout(b, 37*time.Millisecond), 296*time.Millisecond)
	for range 50 {
		g.Add(37 * time.Millisecond)
	}
	assert.Equal(t, g.SilenceTimeout(b, 0), b.Min)
	for range 50 {
		g.Add(200 * time.Millisecond)
	}
	adapted := g.SilenceTimeout(b, 0)
	assert.Assert(t, adapted >= 700*time.Millisecond && adapted <= b.Max, "%v", adapted)
	for range 50 {
		g.Add(5 * time.Second)
	}
	assert.Equal(t, g.SilenceTimeout(b, 0), b.Max)
}

func TestWatchdogRestartsAfterALateTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(context.Background())
		w := NewWatchdog(cancel, time.Second)
		time.Sleep(500 * time.Millisecond)
		w.deadline = time.Now().Add(-10 * time.Second) // simulates a timer that fires late, as after a pause of the process
		w.onTimer()
		assert.NilError(t, ctx.Err())
		time.Sleep(999 * time.Millisecond)
		assert.NilError(t, ctx.Err())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, context.Cause(ctx), ErrSilenceTimeout)
	})
}

func TestWatchdogPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(context.Background())
		w := NewWatchdog(cancel, time.Second)
		w.Pause()
		time.Sleep(time.Minute)
		assert.NilError(t, ctx.Err())
		w.Reset(time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, context.Cause(ctx), ErrSilenceTimeout)
	})
}

// TestWatchdogReportsSilenceUntilTheStreamIsGivenUp guards against a stream that stays at a
// silent target although it can be given up some time later.
func TestWatchdogReportsSilenceUntilTheStreamIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := 0
		NewWatchdogFunc(func() bool {
			reports++
			return reports == 3
		}, time.Second)
		time.Sleep(time.Second + 2*recheckInterval + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, reports, 3)
		time.Sleep(time.Minute)
		assert.Equal(t, reports, 3)
	})
}
