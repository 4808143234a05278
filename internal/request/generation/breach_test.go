package generation

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// scriptedEngine answers every Generate with the chunks of script and every
// Attach with those of again. Identities are filled in when empty.
type scriptedEngine struct {
	chicoryv1connect.UnimplementedEngineServiceHandler
	script, again []*chicoryv1.EngineChunk
}

func filled(c *chicoryv1.EngineChunk, id string, attempt uint32) *chicoryv1.EngineChunk {
	out := &chicoryv1.EngineChunk{GenerationId: c.GetGenerationId(), Attempt: c.GetAttempt(),
		Offset: c.GetOffset(), Tokens: c.GetTokens(), FinishReason: c.GetFinishReason()}
	if out.GenerationId == "" {
		out.GenerationId = id
	}
	if out.Attempt == 0 {
		out.Attempt = attempt
	}
	return out
}

func (e *scriptedEngine) Generate(_ context.Context, req *connect.Request[chicoryv1.EngineServiceGenerateRequest], s *connect.ServerStream[chicoryv1.EngineServiceGenerateResponse]) error {
	for _, c := range e.script {
		chunk := filled(c, req.Msg.GetGenerationId(), req.Msg.GetAttempt())
		if err := s.Send(&chicoryv1.EngineServiceGenerateResponse{Chunk: chunk}); err != nil {
			return err
		}
	}
	panic(http.ErrAbortHandler)
}

func (e *scriptedEngine) Attach(_ context.Context, req *connect.Request[chicoryv1.EngineServiceAttachRequest], s *connect.ServerStream[chicoryv1.EngineServiceAttachResponse]) error {
	for _, c := range e.again {
		chunk := filled(c, req.Msg.GetGenerationId(), req.Msg.GetAttempt())
		if err := s.Send(&chicoryv1.EngineServiceAttachResponse{Chunk: chunk}); err != nil {
			return err
		}
	}
	panic(http.ErrAbortHandler)
}

// runToken returns a token of the stand-in's form.
func runTokens(run string, from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, run+"."+string(rune('0'+i))+" ")
	}
	return out
}

func TestEngineBreachesChangeNothing(t *testing.T) {
	const length = chicoryv1.FinishReason_FINISH_REASON_LENGTH
	first := &chicoryv1.EngineChunk{Tokens: runTokens("a", 0, 3)}
	cases := []struct {
		name          string
		script, again []*chicoryv1.EngineChunk
	}{
		{"other generation", []*chicoryv1.EngineChunk{first, {GenerationId: "x", Offset: 3, Tokens: runTokens("b", 3, 5)}}, nil},
		{"older attempt", []*chicoryv1.EngineChunk{first, {Attempt: 1, Offset: 3, Tokens: runTokens("b", 3, 5)}}, nil},
		{"gap", []*chicoryv1.EngineChunk{first, {Offset: 4, Tokens: runTokens("b", 4, 5)}}, nil},
		{"overlap", []*chicoryv1.EngineChunk{first, {Offset: 1, Tokens: runTokens("a", 1, 5)}}, nil},
		{"changed overlap", []*chicoryv1.EngineChunk{first, {Offset: 2, Tokens: runTokens("b", 2, 5)}}, nil},
		{"changed on attach", []*chicoryv1.EngineChunk{first}, []*chicoryv1.EngineChunk{{Offset: 2, Tokens: runTokens("b", 2, 6)}}},
		{"ends too early", []*chicoryv1.EngineChunk{first, {Offset: 3, FinishReason: length}}, nil},
		{"ends before the prefix", []*chicoryv1.EngineChunk{first}, []*chicoryv1.EngineChunk{{Offset: 0, Tokens: runTokens("a", 0, 2), FinishReason: length}}},
		{"cancels by itself", []*chicoryv1.EngineChunk{first, {Offset: 3, FinishReason: chicoryv1.FinishReason_FINISH_REASON_CANCELLED}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, "v1", "v1")
				defer w.close()
				mux := http.NewServeMux()
				mux.Handle(chicoryv1connect.NewEngineServiceHandler(&scriptedEngine{script: c.script, again: c.again}))
				w.engines[0].server.Handler = mux
				x := &text{}
				assert.NilError(t, w.routers[0].Generate(context.Background(), testRequest(9), x.take))
				checkWhole(t, x, 9)
			})
		})
	}
}

func TestEngineThatSendsForeignChunksForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, "v1")
		defer w.close()
		script := []*chicoryv1.EngineChunk{{Tokens: runTokens("a", 0, 3)}}
		for range 1000 {
			script = append(script, &chicoryv1.EngineChunk{GenerationId: "x", Offset: 3, Tokens: runTokens("b", 3, 9)})
		}
		mux := http.NewServeMux()
		mux.Handle(chicoryv1connect.NewEngineServiceHandler(&scriptedEngine{script: script}))
		w.engines[0].server.Handler = mux
		x := &text{}
		err := w.routers[0].Generate(context.Background(), testRequest(9), x.take)
		assert.Assert(t, fault.Is(err, fault.GenerationInterrupted), "%v", err)
		assert.NilError(t, standin.CheckText(x.tokens))
		assert.Equal(t, len(x.tokens), 3)
		assert.Assert(t, w.routers[0].roles.seen[0].Crossed)
	})
}
