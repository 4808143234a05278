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

// scriptedEngine responds to Generate and Attach with fixed chunks and then closes the
// connection. Empty generation IDs and attempts are filled in from the request.
type scriptedEngine struct {
	chicoryv1connect.UnimplementedEngineServiceHandler
	generateChunks, attachChunks []*chicoryv1.EngineChunk
}

// withIDs returns a copy of c with the ID and the attempt set where c has none.
func withIDs(c *chicoryv1.EngineChunk, id string, attempt uint32) *chicoryv1.EngineChunk {
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
	for _, c := range e.generateChunks {
		chunk := withIDs(c, req.Msg.GetGenerationId(), req.Msg.GetAttempt())
		if err := s.Send(&chicoryv1.EngineServiceGenerateResponse{Chunk: chunk}); err != nil {
			return err
		}
	}
	panic(http.ErrAbortHandler)
}

func (e *scriptedEngine) Attach(_ context.Context, req *connect.Request[chicoryv1.EngineServiceAttachRequest], s *connect.ServerStream[chicoryv1.EngineServiceAttachResponse]) error {
	for _, c := range e.attachChunks {
		chunk := withIDs(c, req.Msg.GetGenerationId(), req.Msg.GetAttempt())
		if err := s.Send(&chicoryv1.EngineServiceAttachResponse{Chunk: chunk}); err != nil {
			return err
		}
	}
	panic(http.ErrAbortHandler)
}

// runTokens returns tokens in the format that standin.CheckTokens expects.
func runTokens(run string, from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, run+"."+string(rune('0'+i))+" ")
	}
	return out
}

func TestProtocolViolationsDoNotChangeTheText(t *testing.T) {
	const length = chicoryv1.FinishReason_FINISH_REASON_LENGTH
	first := &chicoryv1.EngineChunk{Tokens: runTokens("a", 0, 3)}
	cases := []struct {
		name                         string
		generateChunks, attachChunks []*chicoryv1.EngineChunk
	}{
		{"other generation", []*chicoryv1.EngineChunk{first, {GenerationId: "x", Offset: 3, Tokens: runTokens("b", 3, 5)}}, nil},
		{"older attempt", []*chicoryv1.EngineChunk{first, {Attempt: 1, Offset: 3, Tokens: runTokens("b", 3, 5)}}, nil},
		{"gap", []*chicoryv1.EngineChunk{first, {Offset: 4, Tokens: runTokens("b", 4, 5)}}, nil},
		{"overlap", []*chicoryv1.EngineChunk{first, {Offset: 1, Tokens: runTokens("a", 1, 5)}}, nil},
		{"changed overlap", []*chicoryv1.EngineChunk{first, {Offset: 2, Tokens: runTokens("b", 2, 5)}}, nil},
		{"changed on attach", []*chicoryv1.EngineChunk{first}, []*chicoryv1.EngineChunk{{Offset: 2, Tokens: runTokens("b", 2, 6)}}},
		{"ends before the limit", []*chicoryv1.EngineChunk{first, {Offset: 3, FinishReason: length}}, nil},
		{"ends before the prefix", []*chicoryv1.EngineChunk{first}, []*chicoryv1.EngineChunk{{Offset: 0, Tokens: runTokens("a", 0, 2), FinishReason: length}}},
		{"cancelled by the engine", []*chicoryv1.EngineChunk{first, {Offset: 3, FinishReason: chicoryv1.FinishReason_FINISH_REASON_CANCELLED}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1, "v1", "v1")
				defer env.close()
				mux := http.NewServeMux()
				mux.Handle(chicoryv1connect.NewEngineServiceHandler(&scriptedEngine{generateChunks: c.generateChunks, attachChunks: c.attachChunks}))
				env.engines[0].server.Handler = mux
				received := &receivedText{}
				assert.NilError(t, env.routers[0].Generate(context.Background(), testRequest(9), received.receive))
				checkComplete(t, received, 9)
			})
		})
	}
}

func TestEndlessForeignChunksEndTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		generateChunks := []*chicoryv1.EngineChunk{{Tokens: runTokens("a", 0, 3)}}
		for range 1000 {
			generateChunks = append(generateChunks, &chicoryv1.EngineChunk{GenerationId: "x", Offset: 3, Tokens: runTokens("b", 3, 9)})
		}
		mux := http.NewServeMux()
		mux.Handle(chicoryv1connect.NewEngineServiceHandler(&scriptedEngine{generateChunks: generateChunks}))
		env.engines[0].server.Handler = mux
		received := &receivedText{}
		err := env.routers[0].Generate(context.Background(), testRequest(9), received.receive)
		assert.Assert(t, fault.Is(err, fault.GenerationInterrupted), "%v", err)
		assert.NilError(t, standin.CheckTokens(received.tokens))
		assert.Equal(t, len(received.tokens), 3)
		assert.Assert(t, env.routers[0].deps.observations[0].Crossed)
	})
}
