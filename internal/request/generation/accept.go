package generation

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// maxDropped is how many chunks in a row an engine may send that can't be released.
const maxDropped = 64

const unfinished = chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED

// verdict tells what one chunk did to the stream.
type verdict struct {
	loss loss
	// ended: the generation is complete and its last chunk was sent.
	ended bool
}

// take checks one chunk of the engine and releases what is new in it. Only tokens
// of the current attempt that directly follow the prefix are released.
func (r *run) take(c *chicoryv1.EngineChunk) (verdict, error) {
	if c.GetGenerationId() != r.id || c.GetAttempt() != r.attempt.number {
		r.attempt.crossed = true
		return r.drop(c, "other_attempt"), nil
	}
	fresh, problem := r.freshTokens(c)
	switch problem {
	case "gap":
		r.s.counters.dropped.Inc(1)
		return verdict{loss: lossGap}, nil
	case "":
	default:
		r.drop(c, problem)
		return verdict{loss: lossMisbehaved}, nil
	}
	r.noteLife(c, len(fresh))
	room := int(r.maxTokens) - r.prefix.count
	finish := c.GetFinishReason()
	if len(fresh) > room {
		r.drop(c, "overrun")
		r.cancelAttempt()
		fresh = fresh[:room]
	}
	if len(fresh) == room {
		finish = chicoryv1.FinishReason_FINISH_REASON_LENGTH
	}
	if finish != unfinished && !endsWell(finish, room-len(fresh)) {
		r.drop(c, "finish")
		return verdict{loss: lossMisbehaved}, nil
	}
	if len(fresh) == 0 && finish == unfinished {
		return r.unprogressed(c), nil
	}
	return r.release(fresh, finish)
}

// freshTokens returns the tokens of c that the prefix lacks, or why there is a
// problem: "gap" when tokens are missing before them, "short" when the engine
// ended before the prefix, "changed" when the last released token differs.
func (r *run) freshTokens(c *chicoryv1.EngineChunk) (fresh []string, problem string) {
	have := uint64(r.prefix.count)
	if c.GetOffset() > have {
		return nil, "gap"
	}
	overlap := have - c.GetOffset()
	if overlap > uint64(len(c.GetTokens())) {
		if c.GetFinishReason() != unfinished {
			return nil, "short"
		}
		return nil, ""
	}
	if overlap > 0 && c.GetTokens()[overlap-1] != r.prefix.last {
		return nil, "changed"
	}
	return c.GetTokens()[overlap:], ""
}

// endsWell reports whether an engine may end with missing tokens left.
func endsWell(finish chicoryv1.FinishReason, missing int) bool {
	switch finish {
	case chicoryv1.FinishReason_FINISH_REASON_STOP:
		return true
	case chicoryv1.FinishReason_FINISH_REASON_LENGTH:
		return missing == 0
	}
	return false
}

// noteLife keeps times for silence detection and evidence.
func (r *run) noteLife(c *chicoryv1.EngineChunk, fresh int) {
	a := &r.attempt
	if !a.alive && a.silent && fresh == 0 && len(c.GetTokens()) > 0 {
		r.s.counters.falseAlarms.Inc(1)
		a.slow = true
	}
	a.alive = true
	if fresh == 0 {
		return
	}
	now := time.Now()
	switch {
	case a.firstToken == 0:
		a.firstToken = now.Sub(a.begun)
	case a.probes == 0 || a.slow:
		a.gaps.Add(now.Sub(r.lastToken) / time.Duration(fresh))
	}
	r.lastToken = now
	a.probes = 0
	a.slow = false
	a.dropped = 0
	r.restarts = 0
}

// unprogressed counts a chunk without a new token.
func (r *run) unprogressed(c *chicoryv1.EngineChunk) verdict {
	if len(c.GetTokens()) == 0 {
		return verdict{}
	}
	r.attempt.dropped++
	if r.attempt.dropped > maxDropped {
		return verdict{loss: lossMisbehaved}
	}
	return verdict{}
}

// drop counts and logs a chunk that is not released.
func (r *run) drop(c *chicoryv1.EngineChunk, reason string) verdict {
	r.s.counters.dropped.Inc(1)
	r.attempt.dropped++
	if r.attempt.dropped > maxDropped {
		return verdict{loss: lossMisbehaved}
	}
	r.s.opts.Logger.Warn(logging.ChunkDropped, logging.Fields{
		"generation": r.id, "request": r.requestID, "target": r.attempt.address,
		"attempt": r.attempt.number, "offset": r.prefix.count,
		"chunk_attempt": c.GetAttempt(), "chunk_offset": c.GetOffset(), "reason": reason,
	})
	return verdict{}
}

// release commits tokens and sends those that the caller lacks.
func (r *run) release(tokens []string, finish chicoryv1.FinishReason) (verdict, error) {
	offset := r.prefix.count
	for _, t := range tokens {
		r.prefix.append(t)
		if err := r.checkProofAt(r.prefix.count); err != nil {
			return verdict{}, err
		}
	}
	if finish != unfinished && r.prefix.count < r.releaseFrom {
		return verdict{}, fault.New(fault.OffsetOutOfRange, "offset %d is beyond the end %d", r.releaseFrom, r.prefix.count)
	}
	skip := min(max(r.releaseFrom-offset, 0), len(tokens))
	if skip == len(tokens) && finish == unfinished {
		return verdict{}, nil
	}
	chunk, err := r.callerChunk(offset+skip, tokens[skip:], finish)
	if err != nil {
		return verdict{}, err
	}
	if err := r.send(chunk); err != nil {
		return verdict{}, fault.New(fault.Cancelled, "the caller went away")
	}
	return verdict{ended: finish != unfinished}, nil
}

// checkProofAt compares the caller's proof when the prefix has reached its offset.
func (r *run) checkProofAt(count int) error {
	if !r.checkProof || count != r.releaseFrom {
		return nil
	}
	if r.prefix.proof() != r.proof {
		return fault.New(fault.GenerationLost, "the engine's text is not the one that was released")
	}
	r.checkProof = false
	return nil
}

// callerChunk returns the chunk for the caller, without what it was told already.
func (r *run) callerChunk(offset int, tokens []string, finish chicoryv1.FinishReason) (*chicoryv1.GenerationChunk, error) {
	c := &chicoryv1.GenerationChunk{
		Offset:       uint64(offset),
		Tokens:       tokens,
		FinishReason: finish,
		Proof:        r.prefix.proof(),
	}
	if !r.sentFirst {
		c.RequestId = r.requestID
		c.GenerationId = r.id
		r.sentFirst = true
	}
	if r.sentVersion != r.attempt.version {
		c.Version = r.attempt.version
		r.sentVersion = r.attempt.version
	}
	if r.sentAttempt != r.attempt.number {
		token, err := r.resumeToken()
		if err != nil {
			return nil, err
		}
		c.ResumeToken = token
		r.sentAttempt = r.attempt.number
	}
	return c, nil
}

func (r *run) resumeToken() (string, error) {
	return r.s.codec.seal(&chicoryv1.ResumeState{
		GenerationId:   r.id,
		Team:           r.team,
		Route:          r.route.GetName(),
		Version:        r.attempt.version,
		Target:         r.attempt.address,
		Attempt:        r.attempt.number,
		Seed:           r.seed,
		RequestDigest:  r.digest,
		MaxTokens:      r.maxTokens,
		DeadlineUnixMs: r.deadline.UnixMilli(),
		AttemptStart:   uint64(r.attempt.start),
	})
}
