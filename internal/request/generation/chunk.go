package generation

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// maxConsecutiveDrops is how many chunks in a row may be dropped or bring no new token
// before the engine counts as violating the protocol.
const maxConsecutiveDrops = 64

// noFinishReason is the finish reason of every chunk but the last one.
const noFinishReason = chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED

// chunkResult is the effect of one engine chunk on the stream.
type chunkResult struct {
	loss loss
	// ended is set when the generation is complete and its last chunk was sent.
	ended bool
}

// processChunk validates one engine chunk and releases its new tokens to the caller.
// Only tokens of the current attempt that directly follow the prefix are released.
func (r *run) processChunk(c *chicoryv1.EngineChunk) (chunkResult, error) {
	if c.GetGenerationId() != r.id || c.GetAttempt() != r.attempt.number {
		r.attempt.crossed = true
		return r.dropChunk(c, "other_attempt"), nil
	}
	tokens, problem := r.newTokens(c)
	switch problem {
	case "gap":
		r.service.counters.dropped.Inc(1)
		return chunkResult{loss: lossGap}, nil
	case "":
	default:
		r.dropChunk(c, problem)
		return chunkResult{loss: lossProtocolError}, nil
	}
	r.recordProgress(c, len(tokens))
	remaining := int(r.maxTokens) - r.prefix.count
	finish := c.GetFinishReason()
	if len(tokens) > remaining {
		r.dropChunk(c, "overrun")
		r.cancelAttempt()
		tokens = tokens[:remaining]
	}
	if len(tokens) == remaining {
		finish = chicoryv1.FinishReason_FINISH_REASON_LENGTH
	}
	if finish != noFinishReason && !isValidEnd(finish, remaining-len(tokens)) {
		r.dropChunk(c, "finish")
		return chunkResult{loss: lossProtocolError}, nil
	}
	if len(tokens) == 0 && finish == noFinishReason {
		return r.recordNoProgress(c), nil
	}
	return r.releaseTokens(tokens, finish)
}

// newTokens returns the tokens of c that extend the prefix. A non-empty problem
// says why c is invalid: "gap" if tokens are missing before it, "short" if the
// engine ended before the end of the prefix, and "changed" if its copy of the last
// released token differs from the released one.
func (r *run) newTokens(c *chicoryv1.EngineChunk) (tokens []string, problem string) {
	have := uint64(r.prefix.count)
	if c.GetOffset() > have {
		return nil, "gap"
	}
	overlap := have - c.GetOffset()
	if overlap > uint64(len(c.GetTokens())) {
		if c.GetFinishReason() != noFinishReason {
			return nil, "short"
		}
		return nil, ""
	}
	if overlap > 0 && c.GetTokens()[overlap-1] != r.prefix.lastToken {
		return nil, "changed"
	}
	return c.GetTokens()[overlap:], ""
}

// isValidEnd reports whether an engine may end a generation with this finish reason when
// the token limit allows remaining more tokens.
func isValidEnd(finish chicoryv1.FinishReason, remaining int) bool {
	switch finish {
	case chicoryv1.FinishReason_FINISH_REASON_STOP:
		return true
	case chicoryv1.FinishReason_FINISH_REASON_LENGTH:
		return remaining == 0
	}
	return false
}

// recordProgress marks the attempt as alive and, if c brought new tokens, records the
// token times that silence detection and the version evidence use.
func (r *run) recordProgress(c *chicoryv1.EngineChunk, newTokens int) {
	a := &r.attempt
	if !a.alive && a.afterSilence && newTokens == 0 && len(c.GetTokens()) > 0 {
		r.service.counters.falseAlarms.Inc(1)
		a.falseAlarm = true
	}
	a.alive = true
	if newTokens == 0 {
		return
	}
	now := time.Now()
	switch {
	case a.firstToken == 0:
		a.firstToken = now.Sub(a.startTime)
	case a.probes == 0 || a.falseAlarm:
		a.gaps.Add(now.Sub(r.lastTokenTime) / time.Duration(newTokens))
	}
	r.lastTokenTime = now
	a.probes = 0
	a.falseAlarm = false
	a.consecutiveDrops = 0
	r.restarts = 0
}

// recordNoProgress counts a chunk whose tokens were all released before. Chunks
// without any token don't count.
func (r *run) recordNoProgress(c *chicoryv1.EngineChunk) chunkResult {
	if len(c.GetTokens()) == 0 {
		return chunkResult{}
	}
	r.attempt.consecutiveDrops++
	if r.attempt.consecutiveDrops > maxConsecutiveDrops {
		return chunkResult{loss: lossProtocolError}
	}
	return chunkResult{}
}

// dropChunk counts and logs a chunk whose tokens are not released.
func (r *run) dropChunk(c *chicoryv1.EngineChunk, reason string) chunkResult {
	r.service.counters.dropped.Inc(1)
	r.attempt.consecutiveDrops++
	if r.attempt.consecutiveDrops > maxConsecutiveDrops {
		return chunkResult{loss: lossProtocolError}
	}
	r.service.opts.Logger.Warn(logging.ChunkDropped, logging.Fields{
		"generation": r.id, "request": r.requestID, "target": r.attempt.address,
		"attempt": r.attempt.number, "offset": r.prefix.count,
		"chunk_attempt": c.GetAttempt(), "chunk_offset": c.GetOffset(), "reason": reason,
	})
	return chunkResult{}
}

// releaseTokens appends tokens to the prefix and sends the caller those past its offset.
func (r *run) releaseTokens(tokens []string, finish chicoryv1.FinishReason) (chunkResult, error) {
	offset := r.prefix.count
	for _, t := range tokens {
		r.prefix.append(t)
		if err := r.verifyProofAt(r.prefix.count); err != nil {
			return chunkResult{}, err
		}
	}
	if finish != noFinishReason && r.prefix.count < r.callerOffset {
		return chunkResult{}, fault.New(fault.OffsetOutOfRange, "offset %d is beyond the end %d", r.callerOffset, r.prefix.count)
	}
	skip := min(max(r.callerOffset-offset, 0), len(tokens))
	if skip == len(tokens) && finish == noFinishReason {
		return chunkResult{}, nil
	}
	chunk, err := r.newCallerChunk(offset+skip, tokens[skip:], finish)
	if err != nil {
		return chunkResult{}, err
	}
	if err := r.send(chunk); err != nil {
		return chunkResult{}, fault.New(fault.Cancelled, "the caller went away")
	}
	return chunkResult{ended: finish != noFinishReason}, nil
}

// verifyProofAt checks the caller's proof once the prefix has reached the caller's offset.
func (r *run) verifyProofAt(count int) error {
	if !r.proofPending || count != r.callerOffset {
		return nil
	}
	if r.prefix.proof() != r.callerProof {
		return fault.New(fault.GenerationLost, "the engine's tokens differ from the released ones")
	}
	r.proofPending = false
	return nil
}

// newCallerChunk returns a chunk for the caller. It sets the IDs, the version and the
// resume token only if the caller hasn't received their current values.
func (r *run) newCallerChunk(offset int, tokens []string, finish chicoryv1.FinishReason) (*chicoryv1.GenerationChunk, error) {
	c := &chicoryv1.GenerationChunk{
		Offset:       uint64(offset),
		Tokens:       tokens,
		FinishReason: finish,
		Proof:        r.prefix.proof(),
	}
	if !r.firstChunkSent {
		c.RequestId = r.requestID
		c.GenerationId = r.id
		r.firstChunkSent = true
	}
	if r.lastSentVersion != r.attempt.version {
		c.Version = r.attempt.version
		r.lastSentVersion = r.attempt.version
	}
	if r.lastSentAttempt != r.attempt.number {
		token, err := r.resumeToken()
		if err != nil {
			return nil, err
		}
		c.ResumeToken = token
		r.lastSentAttempt = r.attempt.number
	}
	return c, nil
}

func (r *run) resumeToken() (string, error) {
	return r.service.codec.seal(&chicoryv1.ResumeState{
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
		AttemptStart:   uint64(r.attempt.startOffset),
	})
}
