package process_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/client"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

const generationTokens = 300

func generateRequest() *chicoryv1.GenerateRequest {
	return &chicoryv1.GenerateRequest{Team: "desk", Route: "summaries", Prompt: "trips of the day", MaxTokens: generationTokens}
}

// generate streams one generation from a router and calls onTokens with the number of
// tokens received so far.
func (c *cluster) generate(router int, onTokens func(n int)) ([]string, error) {
	stream, err := c.caller(router).Generate(context.Background(), connect.NewRequest(generateRequest()))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var tokens []string
	for stream.Receive() {
		tokens = append(tokens, stream.Msg().GetChunk().GetTokens()...)
		onTokens(len(tokens))
	}
	return tokens, stream.Err()
}

// onceAt returns a function that calls f the first time that its argument is at
// least threshold.
func onceAt(threshold int, f func()) func(int) {
	done := false
	return func(n int) {
		if !done && n >= threshold {
			done = true
			f()
		}
	}
}

func assertWholeAnswer(t *testing.T, tokens []string, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, len(tokens), generationTokens)
	assert.NilError(t, standin.CheckTokens(tokens))
}

// The engine that runs a generation is killed; the one that resumes it is frozen and
// continues only after the end. The caller's text must be complete.
func TestGenerationSurvivesEngineCrashAndFreeze(t *testing.T) {
	c := newCluster(t)
	frozen := ""
	first := onceAt(100, func() { c.kill(fmt.Sprintf("engine-v1-%d", c.servingEngine())) })
	second := onceAt(200, func() {
		frozen = fmt.Sprintf("engine-v1-%d", c.servingEngine())
		c.signal(frozen, syscall.SIGSTOP)
	})
	tokens, err := c.generate(0, func(n int) {
		first(n)
		second(n)
	})
	assertWholeAnswer(t, tokens, err)
	c.signal(frozen, syscall.SIGCONT)
}

// A router that receives SIGTERM must complete its running generation and then exit
// with status 0.
func TestShutdownCompletesRunningGeneration(t *testing.T) {
	c := newCluster(t)
	tokens, err := c.generate(0, onceAt(50, func() { c.signal("r1", syscall.SIGTERM) }))
	assertWholeAnswer(t, tokens, err)
	assert.NilError(t, c.wait("r1"))
}

// generateByClient streams one generation with the client package, which reconnects to
// the routers in turn.
func (c *cluster) generateByClient(onTokens func(n int)) ([]string, error) {
	cl, err := client.New(client.Options{
		Addresses: []string{c.address(offsetRouterCaller), c.address(offsetRouterCaller + 1), c.address(offsetRouterCaller + 2)},
		Header:    http.Header{},
	})
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	stream, err := cl.Generate(context.Background(), generateRequest())
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for stream.Next() {
		onTokens(len(stream.All()))
	}
	return stream.All(), stream.Err()
}

// The router that serves a generation is killed, and later a second router together
// with the engine. The client's text must be complete.
func TestGenerationSurvivesRouterAndEngineCrash(t *testing.T) {
	c := newCluster(t)
	first := onceAt(100, func() { c.kill("r1") })
	second := onceAt(200, func() {
		engine := c.servingEngine()
		c.kill("r2")
		c.kill(fmt.Sprintf("engine-v1-%d", engine))
	})
	tokens, err := c.generateByClient(func(n int) {
		first(n)
		second(n)
	})
	assertWholeAnswer(t, tokens, err)
}

// A router is frozen in the middle of a generation and continues only after its end.
// The client's text must be complete.
func TestGenerationSurvivesRouterFreeze(t *testing.T) {
	c := newCluster(t)
	tokens, err := c.generateByClient(onceAt(100, func() { c.signal("r1", syscall.SIGSTOP) }))
	assertWholeAnswer(t, tokens, err)
	c.signal("r1", syscall.SIGCONT)
}
