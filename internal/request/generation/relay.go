package generation

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
)

// loss is the reason why a stream ended before its generation was complete.
type loss int

const (
	lossNone loss = iota
	// lossReset: the connection was closed or could not be established.
	lossReset
	// lossSilent: no chunk arrived within the silence timeout.
	lossSilent
	// lossGap: the stream skipped tokens.
	lossGap
	// lossRefused: the engine responded with an error other than a cancellation.
	lossRefused
	// lossCancelled: the attempt was cancelled, but not by this router.
	lossCancelled
	// lossProtocolError: the engine violated the streaming protocol.
	lossProtocolError
)

// String returns the value of the log field "reason".
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
	case lossProtocolError:
		return "misbehaved"
	}
	return "none"
}

// relayStream releases the chunks of one stream to the caller until the generation ends
// (lossNone), the stream is lost, or an error ends the run.
func (r *run) relayStream(ctx context.Context, src source) (loss, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := pace.NewWatchdog(cancel, src.firstChunkTimeout)
	defer watchdog.Pause()
	r.attempt.alive = false
	stream, err := src.open(streamCtx)
	if err != nil {
		return r.classifyError(ctx, streamCtx, err)
	}
	defer func() {
		cancel(nil) // Close would otherwise block on draining a silent stream
		_ = stream.Close()
	}()
	for stream.Receive() {
		watchdog.Pause()
		result, err := r.processChunk(stream.chunk())
		if err != nil || result.loss != lossNone || result.ended {
			return result.loss, err
		}
		watchdog.Reset(r.silenceTimeout())
	}
	if err := stream.Err(); err != nil {
		return r.classifyError(ctx, streamCtx, err)
	}
	if ctx.Err() != nil {
		return lossNone, ctx.Err()
	}
	return lossReset, nil // the stream ended without a finish reason
}

// silenceTimeout returns how long the stream may stay silent from now on. The timeout
// doubles with each probe. Before the first probe it counts from the last new token.
func (r *run) silenceTimeout() time.Duration {
	s := &r.service.opts.Settings
	a := &r.attempt
	if a.firstToken == 0 && a.startOffset == r.prefix.count {
		return s.firstTokenTimeout(len(r.prompt)+r.prefix.bytes) << a.probes
	}
	expected := r.expectedGap
	if expected == 0 {
		expected = time.Duration(r.route.GetExpectedGapMs()) * time.Millisecond
	}
	bound := min(a.gaps.SilenceTimeout(s.silenceBounds(), expected)<<a.probes, s.MaxSilence.Std())
	if a.probes > 0 {
		return bound
	}
	return bound - time.Since(r.lastTokenTime)
}

// classifyError maps an error of a stream to a loss. It returns an error instead if the
// run itself has ended.
func (r *run) classifyError(ctx, streamCtx context.Context, err error) (loss, error) {
	switch {
	case ctx.Err() != nil:
		return lossNone, fault.New(fault.Cancelled, "%v", context.Cause(ctx))
	case context.Cause(streamCtx) == pace.ErrSilenceTimeout:
		return lossSilent, nil
	case connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeCanceled:
		return lossCancelled, nil
	case connect.IsWireError(err): // sent by the engine itself
		return lossRefused, nil
	case errors.Is(err, context.DeadlineExceeded):
		return lossSilent, nil // the engine did not answer the ping in time
	}
	return lossReset, nil
}
