package standin

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// engineService implements the EngineService of one replica.
type engineService struct {
	r *Replica
}

func (s *engineService) Generate(ctx context.Context, req *connect.Request[chicoryv1.EngineServiceGenerateRequest], stream *connect.ServerStream[chicoryv1.EngineServiceGenerateResponse]) error {
	if err := s.r.enter(req.Msg.GetRoute()); err != nil {
		return err
	}
	a := s.r.startAttempt(req.Msg)
	if a == nil {
		return connect.NewError(connect.CodeCanceled, errors.New("attempt was cancelled"))
	}
	w := &chunkWriter{
		r:       s.r,
		a:       a,
		next:    a.start,
		spoiled: a.start == 0,
		send: func(c *chicoryv1.EngineChunk) error {
			return stream.Send(&chicoryv1.EngineServiceGenerateResponse{Chunk: c})
		},
	}
	return w.run(ctx)
}

func (s *engineService) Attach(ctx context.Context, req *connect.Request[chicoryv1.EngineServiceAttachRequest], stream *connect.ServerStream[chicoryv1.EngineServiceAttachResponse]) error {
	if err := s.r.enter(""); err != nil {
		return err
	}
	s.r.mu.Lock()
	a := s.r.attempts[attemptKey{req.Msg.GetGenerationId(), req.Msg.GetAttempt()}]
	s.r.mu.Unlock()
	if a == nil || int(req.Msg.GetOffset()) < a.start {
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
	if !s.r.waitThaw() {
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
			if s.r.draw(f.GetCacheEventLossPermille()) {
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

// enter waits while frozen and draws the error fault for a request of the route.
func (r *Replica) enter(route string) error {
	if !r.waitThaw() {
		panic(http.ErrAbortHandler)
	}
	f := r.currentFaults()
	if r.affects(f, route) && r.draw(f.GetErrorPermille()) {
		return connect.NewError(connect.CodeInternal, errors.New("replica fails"))
	}
	return nil
}

// chunkWriter streams the text of an attempt from an offset on.
type chunkWriter struct {
	r    *Replica
	a    *attempt
	next int
	send func(*chicoryv1.EngineChunk) error
	// spoiled streams show the faults of streams; attached and continued ones don't.
	spoiled bool
	sent    int
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
		if !w.r.waitThaw() {
			panic(http.ErrAbortHandler)
		}
		if err := w.sendStrays(chunk); err != nil {
			return err
		}
		if err := w.sendSpoiled(ctx, chunk); err != nil {
			return err
		}
		if chunk.GetFinishReason() != chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED {
			return nil
		}
	}
}

// nextChunk returns what is new, or nil and a channel that closes on a change.
func (w *chunkWriter) nextChunk() (*chicoryv1.EngineChunk, <-chan struct{}) {
	least := max(int(w.r.currentFaults().GetTokensPerChunk()), 1)
	w.a.mu.Lock()
	defer w.a.mu.Unlock()
	have := w.a.start + len(w.a.tokens)
	if have-w.next < least && w.a.finish == chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED {
		return nil, w.a.changed
	}
	from := min(max(w.next-w.a.start, 0), len(w.a.tokens))
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
	w.next = have
	return chunk, nil
}

// sendSpoiled sends a chunk as the faults of streams allow.
func (w *chunkWriter) sendSpoiled(ctx context.Context, c *chicoryv1.EngineChunk) error {
	before := w.sent
	w.sent += len(c.GetTokens())
	if !w.spoiled {
		return w.send(c)
	}
	f := w.r.currentFaults()
	if passes(f.GetResetAfterTokens(), before, w.sent) {
		panic(http.ErrAbortHandler)
	}
	if n := f.GetMuteAfterTokens(); n > 0 && w.sent > int(n) {
		select {
		case <-ctx.Done():
		case <-w.r.done:
		}
		return ctx.Err()
	}
	if passes(f.GetSkipAfterTokens(), before, w.sent) {
		return nil
	}
	if f.GetRepeatChunks() {
		if err := w.send(c); err != nil {
			return err
		}
	}
	return w.send(c)
}

// sendStrays sends chunks of another generation and of an older attempt, as the
// faults ask for. Their tokens are of another run at the offset that is due.
func (w *chunkWriter) sendStrays(c *chicoryv1.EngineChunk) error {
	f := w.r.currentFaults()
	stray := func(generation string, attempt uint32) *chicoryv1.EngineChunk {
		return &chicoryv1.EngineChunk{
			GenerationId: generation,
			Attempt:      attempt,
			Offset:       c.GetOffset(),
			Tokens:       []string{token(w.a.run+1, int(c.GetOffset()))},
			Version:      c.GetVersion(),
		}
	}
	if w.r.draw(f.GetCrossedChunkPermille()) {
		if err := w.send(stray("crossed-"+c.GetGenerationId(), c.GetAttempt())); err != nil {
			return err
		}
	}
	if w.r.draw(f.GetStaleChunkPermille()) {
		return w.send(stray(c.GetGenerationId(), c.GetAttempt()-1))
	}
	return nil
}

// passes reports whether a count crossed limit between before and after.
func passes(limit uint32, before, after int) bool {
	return limit > 0 && before <= int(limit) && after > int(limit)
}
