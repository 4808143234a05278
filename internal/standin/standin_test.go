package standin

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
)

// startReplica starts a replica and returns it and clients that are connected to it.
func startReplica(t *testing.T) (*Replica, *target.Clients) {
	t.Helper()
	r, s, err := Listen(Options{Address: "127.0.0.1:0", Version: "v1", TokenGap: time.Millisecond})
	assert.NilError(t, err)
	pool := target.NewPool(nil)
	t.Cleanup(func() {
		r.Close()
		_ = s.Close()
		pool.Close()
	})
	return r, pool.Clients(r.Address())
}

// readGeneration runs a generation and returns all its tokens.
func readGeneration(t *testing.T, c *target.Clients, req *chicoryv1.EngineServiceGenerateRequest) []string {
	t.Helper()
	stream, err := c.Engine.Generate(context.Background(), connect.NewRequest(req))
	assert.NilError(t, err)
	var tokens []string
	for stream.Receive() {
		tokens = append(tokens, stream.Msg().GetChunk().GetTokens()...)
	}
	assert.NilError(t, stream.Err())
	return tokens
}

func TestPrefixContinuesRunAndRestartStartsNewRun(t *testing.T) {
	_, c := startReplica(t)
	req := &chicoryv1.EngineServiceGenerateRequest{GenerationId: "g", Attempt: 1, Prompt: "p", MaxTokens: 10}
	first := readGeneration(t, c, req)
	assert.NilError(t, CheckTokens(first))
	assert.Equal(t, len(first), 10)

	req.Attempt = 2
	req.Prefix = first[:4]
	rest := readGeneration(t, c, req)
	assert.NilError(t, CheckTokens(append(first[:4:4], rest...)))

	req.Attempt = 3
	req.Prefix = nil
	other := readGeneration(t, c, req)
	assert.ErrorContains(t, CheckTokens(append(first[:4:4], other[4:]...)), "run")
}

func TestCallsAreCountedByKey(t *testing.T) {
	r, c := startReplica(t)
	req := &chicoryv1.InvokeRequest{CallId: "c1", Key: "k", Method: "book", Payload: []byte("x")}
	resp, err := c.Transaction.Invoke(context.Background(), connect.NewRequest(req))
	assert.NilError(t, err)
	assert.Equal(t, resp.Msg.GetCallId(), "c1")
	assert.Equal(t, string(resp.Msg.GetPayload()), "book:x")
	assert.Equal(t, r.Counts("k").GetWithKey(), uint32(1))
	r.SetFaults(&chicoryv1.Faults{LoseAnswers: true})
	_, err = c.Transaction.Invoke(context.Background(), connect.NewRequest(req))
	assert.Assert(t, err != nil)
	assert.Equal(t, r.Counts("k").GetWithKey(), uint32(2))
}

func TestOlderFencingNumberIsRefusedUnlessIgnored(t *testing.T) {
	r, _ := startReplica(t)
	assert.Assert(t, r.order(&chicoryv1.OrderRequest{Fencing: 5}).GetAccepted())
	assert.Assert(t, !r.order(&chicoryv1.OrderRequest{Fencing: 4}).GetAccepted())
	r.SetFaults(&chicoryv1.Faults{IgnoreFencing: true})
	assert.Assert(t, r.order(&chicoryv1.OrderRequest{Fencing: 4}).GetAccepted())
}

func TestKeysAreScopedToTheirTeam(t *testing.T) {
	_, c := startReplica(t)
	req := &chicoryv1.InvokeRequest{CallId: "c1", Key: "k", Team: "a", Method: "book"}
	_, err := c.Transaction.Invoke(context.Background(), connect.NewRequest(req))
	assert.NilError(t, err)
	for team, ran := range map[string]bool{"a": true, "b": false} {
		ask := connect.NewRequest(&chicoryv1.LookupKeyRequest{Team: team, Key: "k"})
		resp, err := c.Transaction.LookupKey(context.Background(), ask)
		assert.NilError(t, err)
		assert.Equal(t, resp.Msg.GetRan(), ran, "team %s", team)
	}
}
