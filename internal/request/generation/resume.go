package generation

import (
	"bytes"
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// newResumedRun validates a resume request and returns a run that continues its
// generation.
func (s *Service) newResumedRun(req *chicoryv1.ResumeRequest, send SendFunc) (*run, error) {
	state, err := s.codec.open(req.GetResumeToken(), req.GetTeam())
	if err != nil {
		return nil, err
	}
	_, route, err := s.currentViewAndRoute(state.GetRoute())
	if err != nil {
		return nil, err
	}
	if req.GetOffset() > uint64(state.GetMaxTokens()) {
		return nil, fault.New(fault.OffsetOutOfRange, "offset %d is beyond the limit of %d tokens",
			req.GetOffset(), state.GetMaxTokens())
	}
	r := s.newBaseRun(req.GetRequestId(), state.GetTeam(), route, send)
	r.id = state.GetGenerationId()
	r.version = state.GetVersion()
	r.maxTokens = state.GetMaxTokens()
	r.seed = state.GetSeed()
	r.digest = state.GetRequestDigest()
	r.deadline = time.UnixMilli(state.GetDeadlineUnixMs())
	r.callerOffset = int(req.GetOffset())
	r.attempt = attempt{
		number:      state.GetAttempt(),
		address:     state.GetTarget(),
		version:     state.GetVersion(),
		startOffset: int(state.GetAttemptStart()),
	}
	if err := r.restoreRequest(req.GetOriginal()); err != nil {
		return nil, err
	}
	return r, r.restorePrefix(req)
}

// restoreRequest takes the prompt and priority from the original request, which the
// caller may send again. Its digest must match that of the resume token.
func (r *run) restoreRequest(original *chicoryv1.GenerateRequest) error {
	if original == nil {
		return nil
	}
	prompt := promptOf(original)
	digest := requestDigest(r.route.GetName(), prompt, original.GetMaxTokens())
	if !bytes.Equal(digest, r.digest) {
		return fault.New(fault.InvalidArgument, "the original request does not match the generation")
	}
	r.prompt = prompt
	r.priority = original.GetPriority()
	return nil
}

// restorePrefix rebuilds the prefix from the tokens that the caller received, after
// checking them against the proof. Without these tokens the prefix stays empty, and
// the engine's text is read from its start and checked when it reaches the caller's
// offset; that requires an attempt that started at offset 0.
func (r *run) restorePrefix(req *chicoryv1.ResumeRequest) error {
	r.prefix = r.service.codec.newPrefix(r.id)
	r.callerProof = req.GetProof()
	r.proofPending = r.callerOffset > 0
	if len(req.GetReceived()) == 0 && r.callerOffset > 0 {
		if r.attempt.startOffset > 0 {
			return fault.New(fault.GenerationLost, "the engine holds tokens from offset %d only; resume with all received tokens", r.attempt.startOffset)
		}
		return nil // relayStream collects the prefix from the engine
	}
	if len(req.GetReceived()) != r.callerOffset {
		return fault.New(fault.OffsetOutOfRange, "%d received tokens do not match offset %d", len(req.GetReceived()), r.callerOffset)
	}
	for _, t := range req.GetReceived() {
		r.prefix.append(t)
	}
	if r.proofPending && r.prefix.proof() != r.callerProof {
		return fault.New(fault.GenerationLost, "the proof does not match the received tokens")
	}
	r.proofPending = false
	return nil
}

// attachToCurrentAttempt returns a source that attaches to the attempt of the resume
// token.
func (r *run) attachToCurrentAttempt(context.Context) (source, error) {
	r.service.counters.returned.Inc(1)
	a := &r.attempt
	a.startTime = time.Now()
	a.clients = r.service.opts.Pool.Clients(a.address)
	if r.prefix.count < a.startOffset {
		return source{}, fault.New(fault.OffsetOutOfRange, "offset %d is before the attempt's start offset %d", r.prefix.count, a.startOffset)
	}
	r.lastTokenTime = a.startTime
	timeout := r.service.opts.Settings.ProbeTimeout.Std()
	if r.prefix.count == a.startOffset {
		timeout += r.service.opts.Settings.firstTokenTimeout(len(r.prompt))
	}
	return source{open: r.openAttach, firstChunkTimeout: timeout}, nil
}
