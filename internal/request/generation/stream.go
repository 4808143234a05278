package generation

import (
	"context"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// chunkStream is a stream of engine chunks, from Generate or Attach.
type chunkStream interface {
	Receive() bool
	Err() error
	Close() error
	chunk() *chicoryv1.EngineChunk
}

type generateStream struct {
	*connect.ServerStreamForClient[chicoryv1.EngineServiceGenerateResponse]
}

func (s generateStream) chunk() *chicoryv1.EngineChunk { return s.Msg().GetChunk() }

type attachStream struct {
	*connect.ServerStreamForClient[chicoryv1.EngineServiceAttachResponse]
}

func (s attachStream) chunk() *chicoryv1.EngineChunk { return s.Msg().GetChunk() }

// openGenerate starts the current attempt at its engine.
func (r *run) openGenerate(ctx context.Context) (chunkStream, error) {
	stream, err := r.attempt.clients.Engine.Generate(ctx, connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
		GenerationId: r.id,
		Attempt:      r.attempt.number,
		Team:         r.team,
		Route:        r.route.GetName(),
		Version:      r.attempt.version,
		Prompt:       r.prompt,
		Prefix:       r.prefix.tokens(),
		MaxTokens:    r.maxTokens,
		Priority:     r.priority,
		Seed:         r.seed,
		TimeoutMs:    timeoutMs(ctx),
	}))
	if err != nil {
		return nil, err
	}
	return generateStream{stream}, nil
}

// openAttach continues the current attempt. It asks for the last released token
// again when the attempt made it, so that a living engine answers at once even
// when it has no new token. Otherwise the engine's load report shows its life.
func (r *run) openAttach(ctx context.Context) (chunkStream, error) {
	offset := r.prefix.count
	if offset > r.attempt.start {
		offset--
	} else {
		if err := r.ping(ctx); err != nil {
			return nil, err
		}
		r.attempt.alive = true
	}
	stream, err := r.attempt.clients.Engine.Attach(ctx, connect.NewRequest(&chicoryv1.EngineServiceAttachRequest{
		GenerationId: r.id,
		Attempt:      r.attempt.number,
		Offset:       uint64(offset),
	}))
	if err != nil {
		return nil, err
	}
	return attachStream{stream}, nil
}

// ping reports whether the target answers within the probe timeout.
func (r *run) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.s.opts.Settings.ProbeTimeout.Std())
	defer cancel()
	_, err := r.attempt.clients.Target.Load(ctx, connect.NewRequest(&chicoryv1.LoadRequest{}))
	return err
}
