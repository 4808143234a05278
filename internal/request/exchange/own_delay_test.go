package exchange

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestUnreadEventsAreNoSilence guards against giving up a sound engine because this process was
// too short of processor time to read the events that it had sent.
func TestUnreadEventsAreNoSilence(t *testing.T) {
	address := startSoundTarget(t)
	s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), address, "b")
	a := loopbackRequest("r1", declared.Resumable, true)
	run, err := engines.Place(placement.PlaceRequest{Service: "s", Exclude: []string{"b"}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	g := (&stream{s: s, a: a}).newAttemptGuard(run, cancel)
	x, err := s.opts.Pool.Send(ctx, address, s.targetRequest(a, Dispatch{}))
	assert.NilError(t, err)
	g.sent(x)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !g.onSilence())
	assert.NilError(t, ctx.Err())

	response, err := x.ReadResponse()
	assert.NilError(t, err)
	_, err = response.ReadAll(1 << 20)
	assert.NilError(t, err)
	assert.Assert(t, g.onSilence())
	assert.Equal(t, context.Cause(ctx), pace.ErrSilenceTimeout)
}

// TestCommentsWithoutEndAreSilence guards against an engine that is never given up because it
// sends comments faster than this process reads them.
func TestCommentsWithoutEndAreSilence(t *testing.T) {
	target := startEndlessTarget(t, strings.ReplaceAll(streamHead, "%s", "r1"), strings.Repeat(": still here\n\n", 1000), 0)
	s, engines := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), target.address, "b")
	a := loopbackRequest("r1", declared.Resumable, true)
	run, err := engines.Place(placement.PlaceRequest{Service: "s", Exclude: []string{"b"}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	g := (&stream{s: s, a: a}).newAttemptGuard(run, cancel)
	x, err := s.opts.Pool.Send(ctx, target.address, s.targetRequest(a, Dispatch{}))
	assert.NilError(t, err)
	g.sent(x)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !g.onSilence())
	time.Sleep(maxReadDelay)
	assert.Assert(t, g.onSilence())
	assert.Equal(t, context.Cause(ctx), pace.ErrSilenceTimeout)
}
