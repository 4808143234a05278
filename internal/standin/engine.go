package standin

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// engineService implements EngineService for one replica.
type engineService struct {
	r *Replica
}

func (s *engineService) Generate(ctx context.Context, req *connect.Request[chicoryv1.EngineServiceGenerateRequest], stream *connect.ServerStream[chicoryv1.EngineServiceGenerateResponse]) error {
	if err := s.r.beginRequest(req.Msg.GetRoute()); err != nil {
		return err
	}
	a := s.r.startAttempt(req.Msg)
	if a == nil {
		return connect.NewError(connect.CodeCanceled, errors.New("attempt was cancelled"))
	}
	w := &chunkWriter{
		r:            s.r,
		a:            a,
		next:         a.startOffset,
		injectFaults: a.startOffset == 0,
		send: func(c *chicoryv1.EngineChunk) error {
			return stream.Send(&chicoryv1.EngineServiceGenerateResponse{Chunk: c})
		},
	}
	return w.run(ctx)
}

func (s *engineService) Attach(ctx context.Context, req *connect.Request[chicoryv1.EngineServiceAttachRequest], stream *connect.ServerStream[chicoryv1.EngineServiceAttachResponse]) error {
	if err := s.r.beginRequest(""); err != nil {
		return err
	}
	s.r.mu.Lock()
	a := s.r.attempts[attemptKey{req.Msg.GetGenerationId(), req.Msg.GetAttempt()}]
	s.r.mu.Unlock()
	if a == nil || int(req.Msg.GetOffset()) < a.startOffset {
		return connect.NewError(connect.CodeNotFound, errors.New("no such attempt"))
	}
	w := &chunkWriter{
		r:    s.r,
		a:    a,
		next: int(req.Msg.GetOffset()),
		send: func(c *chicoryv1.EngineChunk) error {
			return stream.Send(&chicoryv1.EngineServiceAttachResponse{Chunk: c})
		},
	}
	return w.run(ctx)
}

func (s *engineService) Cancel(_ context.Context, req *connect.Request[chicoryv1.EngineServiceCancelRequest]) (*connect.Response[chicoryv1.EngineServiceCancelResponse], error) {
	if !s.r.waitUnfrozen() {
		panic(http.ErrAbortHandler)
	}
	s.r.cancelUpTo(req.Msg.GetGenerationId(), req.Msg.GetAttempt(), req.Msg.GetOnlyDetached())
	return connect.NewResponse(&chicoryv1.EngineServiceCancelResponse{}), nil
}

func (s *engineService) CacheEvents(ctx context.Context, _ *connect.Request[chicoryv1.CacheEventsRequest], stream *connect.ServerStream[chicoryv1.CacheEventsResponse]) error {
	events, end := s.r.cache.listen()
	defer end()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.r.done:
			return nil
		case e := <-events:
			f := s.r.currentFaults()
			if s.r.chance(f.GetCacheEventLossPermille()) {
				continue
			}
			if !sleep(time.Duration(f.GetCacheEventDelayMs())*time.Millisecond, ctx.Done(), s.r.done) {
				return nil
			}
			msg := &chicoryv1.CacheEventsResponse{Sequence: e.sequence, PrefixHash: e.hash, Evicted: e.evicted}
			if err := stream.Send(msg); err != nil {
				return err
			}
		}
	}
}

// beginRequest waits while the replica is frozen. It fails at random, as the error fault
// of the route demands.
func (r *Replica) beginRequest(route string) error {
	if !r.waitUnfrozen() {
		panic(http.ErrAbortHandler)
	}
	f := r.currentFaults()
	if r.affects(f, route) && r.chance(f.GetErrorPermille()) {
		return connect.NewError(connect.CodeInternal, errors.New("injected replica failure"))
	}
	return nil
}

// chunkWriter sends the text of an attempt to a stream, starting at an offset.
type chunkWriter struct {
	r    *Replica
	a    *attempt
	next int
	send func(*chicoryv1.EngineChunk) error
	// injectFaults enables the faults of sendWithFaults. It is false for streams of Attach
	// and of attempts that continue a prefix.
	injectFaults bool
	sent         int
}

func (w *chunkWriter) run(ctx context.Context) error {
	w.a.update(func() { w.a.streams++ })
	defer w.a.update(func() { w.a.streams-- })
	for {
		chunk, changed := w.nextChunk()
		if chunk == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			case <-w.a.cancel:
				return connect.NewError(connect.CodeCanceled, errors.New("attempt was cancelled"))
			case <-w.r.done:
				panic(http.ErrAbortHandler)
			}
		}
		if !w.r.waitUnfrozen() {
			panic(http.ErrAbortHandler)
		}
		if err := w.sendUnrelatedChunks(chunk); err != nil {
			return err
		}
		if err := w.sendWithFaults(ctx, chunk); err != nil {
			return err
		}
		if chunk.GetFinishReason() != chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED {
			return nil
		}
	}
}

// nextChunk returns a chunk with the tokens that were not yet sent. If there are too few,
// it returns nil and a channel that is closed when the attempt changes.
func (w *chunkWriter) nextChunk() (*chicoryv1.EngineChunk, <-chan struct{}) {
	minTokens := max(int(w.r.currentFaults().GetTokensPerChunk()), 1)
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	available := w.a.startOffset + len(w.a.tokens)
	if available-w.next < minTokens && w.a.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED {
		return nil, w.a.changed
	}
	from := min(max(w.next-w.a.startOffset, 0), len(w.a.tokens))
	chunk := &chicoryv1.EngineChunk{
		GenerationId: w.a.req.GetGenerationId(),
		Attempt:      w.a.req.GetAttempt(),
		Offset:       uint64(w.next),
		Tokens:       append([]string(nil), w.a.tokens[from:]...),
		FinishReason: w.a.finish,
		Version:      w.a.version,
	}
	if w.sent == 0 {
		chunk.PrefilledTokens = w.a.prefilled
		chunk.CachedTokens = w.a.cached
	}
	w.next = available
	return chunk, nil
}

// sendWithFaults sends a chunk. If injectFaults is set, it applies the faults that reset the
// connection, stop sending, skip a chunk or repeat chunks.
func (w *chunkWriter) sendWithFaults(ctx context.Context, c *chicoryv1.EngineChunk) error {
	before := w.sent
	w.sent += len(c.GetTokens())
	if !w.injectFaults {
		return w.send(c)
	}
	f := w.r.currentFaults()
	if crosses(f.GetResetAfterTokens(), before, w.sent) {
		panic(http.ErrAbortHandler)
	}
	if n := f.GetMuteAfterTokens(); n > 0 && w.sent > int(n) {
		select {
		case <-ctx.Done():
		case <-w.r.done:
		}
		return ctx.Err()
	}
	if crosses(f.GetSkipAfterTokens(), before, w.sent) {
		return nil
	}
	if f.GetRepeatChunks() {
		if err := w.send(c); err != nil {
			return err
		}
	}
	return w.send(c)
}

// sendUnrelatedChunks sends chunks of another generation and of an older attempt, as the
// crossed and stale chunk faults demand. Their tokens belong to another run and have the
// offset of c.
func (w *chunkWriter) sendUnrelatedChunks(c *chicoryv1.EngineChunk) error {
	f := w.r.currentFaults()
	unrelated := func(generation string, attempt uint32) *chicoryv1.EngineChunk {
		return &chicoryv1.EngineChunk{
			GenerationId: generation,
			Attempt:      attempt,
			Offset:       c.GetOffset(),
			Tokens:       []string{formatToken(w.a.run+1, int(c.GetOffset()))},
			Version:      c.GetVersion(),
		}
	}
	if w.r.chance(f.GetCrossedChunkPermille()) {
		if err := w.send(unrelated("crossed-"+c.GetGenerationId(), c.GetAttempt())); err != nil {
			return err
		}
	}
	if w.r.chance(f.GetStaleChunkPermille()) {
		return w.send(unrelated(c.GetGenerationId(), c.GetAttempt()-1))
	}
	return nil
}

// crosses reports whether a count passed limit when it went from before to after. A limit
// of 0 is never passed.
func crosses(limit uint32, before, after int) bool {
	return limit > 0 && before <= int(limit) && after > int(limit)
}
