package generation

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
)

// loss tells why a stream ended before its generation did.
type loss int

const (
	lossNone loss = iota
	// lossReset: the connection was cut or could not be made.
	lossReset
	// lossSilent: nothing came for longer than the bound.
	lossSilent
	// lossGap: tokens are missing in the stream.
	lossGap
	// lossRefused: the engine answered that it does not serve the attempt.
	lossRefused
	// lossCancelled: the attempt was cancelled by someone else than this router.
	lossCancelled
	// lossMisbehaved: the engine broke its protocol.
	lossMisbehaved
)

// String returns the reason as log lines name it.
func (l loss) String() string {
	switch l {
	case lossReset:
		return "reset"
	case lossSilent:
		return "silent"
	case lossGap:
		return "gap"
	case lossRefused:
		return "refused"
	case lossCancelled:
		return "cancelled"
	case lossMisbehaved:
		return "misbehaved"
	}
	return "none"
}

// follow releases chunks of one stream until the generation ends (lossNone), the
// stream is lost, or an error ends the run.
func (r *run) follow(ctx context.Context, src source) (loss, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := pace.NewWatchdog(cancel, src.bound)
	defer watch.Pause()
	r.attempt.alive = false
	stream, err := src.open(streamCtx)
	if err != nil {
		return r.lossOf(ctx, streamCtx, err)
	}
	defer func() {
		cancel(nil) // a silent stream can't be drained
		_ = stream.Close()
	}()
	for stream.Receive() {
		watch.Pause()
		v, err := r.take(stream.chunk())
		if err != nil || v.loss != lossNone || v.ended {
			return v.loss, err
		}
		watch.Expect(r.silentIn())
	}
	if err := stream.Err(); err != nil {
		return r.lossOf(ctx, streamCtx, err)
	}
	if ctx.Err() != nil {
		return lossNone, ctx.Err()
	}
	return lossReset, nil // ended without a finish reason
}

// silentIn returns how long the stream may be silent from now on. The bound
// doubles after each probe and counts from the last new token.
func (r *run) silentIn() time.Duration {
	s := &r.s.opts.Settings
	a := &r.attempt
	if a.firstToken == 0 && a.start == r.prefix.count {
		return s.firstTokenBound(len(r.prompt)+r.prefix.bytes) << a.probes
	}
	expected := r.expectedGap
	if expected == 0 {
		expected = time.Duration(r.route.GetExpectedGapMs()) * time.Millisecond
	}
	bound := min(a.gaps.SilenceBound(s.silence(), expected)<<a.probes, s.MaxSilence.Std())
	if a.probes > 0 {
		return bound
	}
	return bound - time.Since(r.lastToken)
}

// lossOf tells what an error of a stream means. The error is not nil when the
// run itself has ended.
func (r *run) lossOf(ctx, streamCtx context.Context, err error) (loss, error) {
	switch {
	case ctx.Err() != nil:
		return lossNone, fault.New(fault.Cancelled, "%v", context.Cause(ctx))
	case context.Cause(streamCtx) == pace.ErrSilent:
		return lossSilent, nil
	case connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeCanceled:
		return lossCancelled, nil
	case connect.IsWireError(err): // the engine itself sent it
		return lossRefused, nil
	case errors.Is(err, context.DeadlineExceeded):
		return lossSilent, nil // the load report took too long
	}
	return lossReset, nil
}
