package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSilenceBoundFollowsTheStream(t *testing.T) {
	s := DefaultSettings()
	var g gaps
	assert.Equal(t, g.silenceBound(&s, 0), s.MaxSilence.Std())
	assert.Equal(t, g.silenceBound(&s, 37*time.Millisecond), 296*time.Millisecond)
	for range 50 {
		g.add(37 * time.Millisecond)
	}
	assert.Equal(t, g.silenceBound(&s, 0), s.MinSilence.Std())
	for range 50 {
		g.add(200 * time.Millisecond)
	}
	even := g.silenceBound(&s, 0)
	assert.Assert(t, even >= 700*time.Millisecond && even <= s.MaxSilence.Std(), "%v", even)
	for range 50 {
		g.add(5 * time.Second)
	}
	assert.Equal(t, g.silenceBound(&s, 0), s.MaxSilence.Std())
}

func TestWatchdogGivesALateRouterAnotherBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(context.Background())
		w := newWatchdog(cancel, time.Second)
		time.Sleep(500 * time.Millisecond)
		w.due = time.Now().Add(-10 * time.Second) // as after a pause of the process
		w.fire()
		assert.NilError(t, ctx.Err())
		time.Sleep(999 * time.Millisecond)
		assert.NilError(t, ctx.Err())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, context.Cause(ctx), errSilent)
	})
}

func TestWatchdogPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(context.Background())
		w := newWatchdog(cancel, time.Second)
		w.pause()
		time.Sleep(time.Minute)
		assert.NilError(t, ctx.Err())
		w.expect(time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, context.Cause(ctx), errSilent)
	})
}
