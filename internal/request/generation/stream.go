package generation

import (
	"context"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// chunkStream is a stream of engine chunks, returned by Generate or Attach.
type chunkStream interface {
	Receive() bool
	Err() error
	Close() error
	chunk() *chicoryv1.EngineChunk
}

// generateStream adapts the stream that Generate returns.
type generateStream struct {
	*connect.ServerStreamForClient[chicoryv1.EngineServiceGenerateResponse]
}

func (s generateStream) chunk() *chicoryv1.EngineChunk { return s.Msg().GetChunk() }

// attachStream adapts the stream that Attach returns.
type attachStream struct {
	*connect.ServerStreamForClient[chicoryv1.EngineServiceAttachResponse]
}

func (s attachStream) chunk() *chicoryv1.EngineChunk { return s.Msg().GetChunk() }

// openGenerate starts the current attempt on its engine.
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

// openAttach attaches to the current attempt. If the attempt produced the last released
// token, it requests that token again, so that a responsive engine answers at once even
// if it has no new token. Otherwise it checks first that the engine answers a ping.
func (r *run) openAttach(ctx context.Context) (chunkStream, error) {
	offset := r.prefix.count
	if offset > r.attempt.startOffset {
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

// ping requests a load report and fails if the target doesn't answer within the probe
// timeout.
func (r *run) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.service.opts.Settings.ProbeTimeout.Std())
	defer cancel()
	_, err := r.attempt.clients.Target.Load(ctx, connect.NewRequest(&chicoryv1.LoadRequest{}))
	return err
}
