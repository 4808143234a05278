package generation

import (
	"bytes"
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// resumedRun checks a caller that came back and returns the run that goes on.
func (s *Service) resumedRun(req *chicoryv1.ResumeRequest, send SendFunc) (*run, error) {
	state, err := s.codec.open(req.GetResumeToken(), req.GetTeam())
	if err != nil {
		return nil, err
	}
	_, route, err := s.viewAndRoute(state.GetRoute())
	if err != nil {
		return nil, err
	}
	if req.GetOffset() > uint64(state.GetMaxTokens()) {
		return nil, fault.New(fault.OffsetOutOfRange, "offset %d is beyond the limit of %d tokens",
			req.GetOffset(), state.GetMaxTokens())
	}
	r := s.baseRun(req.GetRequestId(), state.GetTeam(), route, send)
	r.id = state.GetGenerationId()
	r.version = state.GetVersion()
	r.maxTokens = state.GetMaxTokens()
	r.seed = state.GetSeed()
	r.digest = state.GetRequestDigest()
	r.deadline = time.UnixMilli(state.GetDeadlineUnixMs())
	r.releaseFrom = int(req.GetOffset())
	r.attempt = attempt{
		number:  state.GetAttempt(),
		address: state.GetTarget(),
		version: state.GetVersion(),
		start:   int(state.GetAttemptStart()),
	}
	if err := r.takeOriginal(req.GetOriginal()); err != nil {
		return nil, err
	}
	return r, r.takeReceived(req)
}

// takeOriginal checks that the resupplied request is the generation's first one.
func (r *run) takeOriginal(original *chicoryv1.GenerateRequest) error {
	if original == nil {
		return nil
	}
	prompt := promptOf(original)
	digest := requestDigest(r.route.GetName(), prompt, original.GetMaxTokens())
	if !bytes.Equal(digest, r.digest) {
		return fault.New(fault.InvalidArgument, "the original request is not that of the generation")
	}
	r.prompt = prompt
	r.priority = original.GetPriority()
	return nil
}

// takeReceived makes the prefix from the caller's tokens once they are proved to
// be what was released.
func (r *run) takeReceived(req *chicoryv1.ResumeRequest) error {
	r.prefix = r.s.codec.newPrefix(r.id)
	r.proof = req.GetProof()
	r.checkProof = r.releaseFrom > 0
	if len(req.GetReceived()) == 0 && r.releaseFrom > 0 {
		if r.attempt.start > 0 {
			return fault.New(fault.GenerationLost, "the engine holds the text from offset %d only; resume with all received tokens", r.attempt.start)
		}
		return nil // the engine's text is collected from its start
	}
	if len(req.GetReceived()) != r.releaseFrom {
		return fault.New(fault.OffsetOutOfRange, "%d tokens were given for offset %d", len(req.GetReceived()), r.releaseFrom)
	}
	for _, t := range req.GetReceived() {
		r.prefix.append(t)
	}
	if r.checkProof && r.prefix.proof() != r.proof {
		return fault.New(fault.GenerationLost, "the received tokens are not proved to be those of the generation")
	}
	r.checkProof = false
	return nil
}

// rejoin attaches to the attempt of the resume token.
func (r *run) rejoin(context.Context) (source, error) {
	r.s.counters.returned.Inc(1)
	a := &r.attempt
	a.begun = time.Now()
	a.clients = r.s.opts.Pool.Clients(a.address)
	if r.prefix.count < a.start {
		return source{}, fault.New(fault.OffsetOutOfRange, "offset %d is before the attempt's start %d", r.prefix.count, a.start)
	}
	r.lastToken = a.begun
	bound := r.s.opts.Settings.ProbeTimeout.Std()
	if r.prefix.count == a.start {
		bound += r.s.opts.Settings.firstTokenBound(len(r.prompt))
	}
	return source{open: r.openAttach, bound: bound}, nil
}
