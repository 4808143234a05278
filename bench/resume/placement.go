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

// longPrompt is the size of a prompt whose prefill is felt, in bytes.
const longPrompt = 16 << 10

// placed is what a resume cost at one kind of target.
type placed struct {
	name      string
	latency   *hdrhistogram.Histogram // microseconds
	prefilled int64
	resumed   int
}

// runPlacement kills an engine and resumes either at any target or at one that
// has the prompt in its prefix cache.
func runPlacement(o lossOptions) ([]placed, error) {
	var out []placed
	for _, cached := range []bool{false, true} {
		p, err := runPlaced(cached, o)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// warm brings a prompt into the prefix cache of an engine.
func (c *cluster) warm(i int, prompt string) {
	cl := newCaller()
	defer cl.network.cut(true)
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

func runPlaced(cached bool, o lossOptions) (placed, error) {
	out := placed{name: "any_target", latency: newHistogram()}
	c, err := startCluster(clusterOptions{engines: 3, routers: 1, gap: o.gap, capacity: 4 * o.generations, seed: o.seed, settings: generation.DefaultSettings()})
	if err != nil {
		return out, err
	}
	defer c.close()
	c.roles.prefer = []string{c.engines[1].Address()}
	if cached {
		out.name = "prefix_cached"
		c.roles.prefer = []string{c.engines[2].Address()}
	}
	text := strings.Repeat("x", longPrompt)
	c.warm(2, text)
	results := make([]outcome, o.generations)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = c.generateText(text, o.tokens)
		}()
	}
	time.Sleep(o.at + time.Second)
	before := c.engines[1].Counts("").GetPrefilledTokens() + c.engines[2].Counts("").GetPrefilledTokens()
	lost := time.Now()
	c.engines[0].kill()
	wait.Wait()
	after := c.engines[1].Counts("").GetPrefilledTokens() + c.engines[2].Counts("").GetPrefilledTokens()
	out.prefilled = int64(after - before)
	counted := cell{latency: out.latency, errors: map[string]int{}}
	for _, r := range results {
		counted.add(r, lost, o.tokens)
	}
	out.resumed = counted.resumed
	return out, nil
}
