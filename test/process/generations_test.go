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

const answerTokens = 300

func summary() *chicoryv1.GenerateRequest {
	return &chicoryv1.GenerateRequest{Team: "desk", Route: "summaries", Prompt: "trips of the day", MaxTokens: answerTokens}
}

// generate streams one generation from a router and calls onToken with the number
// of tokens so far.
func (c *cluster) generate(router int, onTokens func(n int)) ([]string, error) {
	stream, err := c.caller(router).Generate(context.Background(), connect.NewRequest(summary()))
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

// once returns a function that runs f when it is first called with n >= at.
func once(at int, f func()) func(int) {
	done := false
	return func(n int) {
		if !done && n >= at {
			done = true
			f()
		}
	}
}

func checkAnswer(t *testing.T, tokens []string, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, len(tokens), answerTokens)
	assert.NilError(t, standin.CheckTokens(tokens))
}

// The engine that carries a generation is killed, another is frozen and thaws
// late: the caller's text is whole.
func TestAnswerIsWholeAfterEnginesDieAndFreeze(t *testing.T) {
	c := newCluster(t)
	frozen := ""
	first := once(100, func() { c.kill(fmt.Sprintf("engine-v1-%d", c.carrier())) })
	second := once(200, func() {
		frozen = fmt.Sprintf("engine-v1-%d", c.carrier())
		c.signal(frozen, syscall.SIGSTOP)
	})
	tokens, err := c.generate(0, func(n int) {
		first(n)
		second(n)
	})
	checkAnswer(t, tokens, err)
	c.signal(frozen, syscall.SIGCONT)
}

// A router that is told to stop finishes the generation that it carries and then
// ends with status 0.
func TestShutdownCutsNoGeneration(t *testing.T) {
	c := newCluster(t)
	tokens, err := c.generate(0, once(50, func() { c.signal("r1", syscall.SIGTERM) }))
	checkAnswer(t, tokens, err)
	assert.NilError(t, c.wait("r1"))
}

// generateByClient streams one generation with the client package, which comes
// back to the routers in turn.
func (c *cluster) generateByClient(onTokens func(n int)) ([]string, error) {
	cl, err := client.New(client.Options{
		Addresses: []string{c.at(routerCaller), c.at(routerCaller + 1), c.at(routerCaller + 2)},
		Header:    http.Header{},
	})
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	stream, err := cl.Generate(context.Background(), summary())
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for stream.Next() {
		onTokens(len(stream.All()))
	}
	return stream.All(), stream.Err()
}

// The router that carries a generation is killed, and later a second one together
// with the engine: the client's text is whole.
func TestAnswerIsWholeAfterRouterAndEngineDieTogether(t *testing.T) {
	c := newCluster(t)
	first := once(100, func() { c.kill("r1") })
	second := once(200, func() {
		engine := c.carrier()
		c.kill("r2")
		c.kill(fmt.Sprintf("engine-v1-%d", engine))
	})
	tokens, err := c.generateByClient(func(n int) {
		first(n)
		second(n)
	})
	checkAnswer(t, tokens, err)
}

// A router that freezes in the middle and thaws late changes nothing.
func TestAnswerIsWholeAfterRouterFreezes(t *testing.T) {
	c := newCluster(t)
	tokens, err := c.generateByClient(once(100, func() { c.signal("r1", syscall.SIGSTOP) }))
	checkAnswer(t, tokens, err)
	c.signal("r1", syscall.SIGCONT)
}
