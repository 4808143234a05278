package main

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
)

// longPromptBytes is the size of a prompt whose prefill takes a noticeable time.
const longPromptBytes = 16 << 10

// placementResult is the cost of resumes on one kind of target.
type placementResult struct {
	name            string
	latency         *hdrhistogram.Histogram // of the recoveries, in microseconds
	prefilledTokens int64
	resumed         int
}

// measurePlacement compares resumes on targets without and with the prompt in their prefix
// cache.
func measurePlacement(o failureOptions) ([]placementResult, error) {
	var out []placementResult
	for _, cached := range []bool{false, true} {
		result, err := runPlacement(cached, o)
		if err != nil {
			return nil, err
		}
		out = append(out, result)
	}
	return out, nil
}

// warmPrefixCache loads a prompt into the prefix cache of an engine.
func (c *cluster) warmPrefixCache(i int, prompt string) {
	cl := newCaller()
	defer cl.network.closeConns(true)
	stream, err := chicoryv1connect.NewEngineServiceClient(cl.client, "http://"+c.engines[i].Address()).
		Generate(context.Background(), connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
			GenerationId: "warm", Attempt: 1, Prompt: prompt, MaxTokens: 1,
		}))
	if err != nil {
		return
	}
	for stream.Receive() {
	}
}

// runPlacement kills an engine while all generations run on it, and measures their
// resumes. One of the two other engines has the prompt cached.
func runPlacement(cached bool, o failureOptions) (placementResult, error) {
	out := placementResult{name: "any_target", latency: newHistogram()}
	c, err := startCluster(clusterOptions{engines: 3, routers: 1, tokenGap: o.tokenGap, capacity: 4 * o.generations, seed: o.seed, settings: generation.DefaultSettings()})
	if err != nil {
		return out, err
	}
	defer c.close()
	c.policies.resumeOrder = []string{c.engines[1].Address()}
	if cached {
		out.name = "prefix_cached"
		c.policies.resumeOrder = []string{c.engines[2].Address()}
	}
	prompt := strings.Repeat("x", longPromptBytes)
	c.warmPrefixCache(2, prompt)
	results := make([]callerResult, o.generations)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = c.generatePrompt(prompt, o.tokens)
		}()
	}
	time.Sleep(o.injectAfter + time.Second)
	before := c.engines[1].Counts("").GetPrefilledTokens() + c.engines[2].Counts("").GetPrefilledTokens()
	failedAt := time.Now()
	c.engines[0].kill()
	wait.Wait()
	after := c.engines[1].Counts("").GetPrefilledTokens() + c.engines[2].Counts("").GetPrefilledTokens()
	out.prefilledTokens = int64(after - before)
	summary := failureResult{latency: out.latency, errors: map[string]int{}}
	for _, r := range results {
		summary.add(r, failedAt, o.tokens)
	}
	out.resumed = summary.resumed
	return out, nil
}
