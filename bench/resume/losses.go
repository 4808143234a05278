package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/client"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// failure is a kind of failure and the longest accepted time until the next token. 0
// means no limit, for failures that also affect the recovery.
type failure struct {
	name        string
	maxRecovery time.Duration
	inject      func(*cluster)
}

const (
	maxResetRecovery   = 500 * time.Millisecond
	maxFailureRecovery = 2 * time.Second
)

var failures = []failure{
	{"reset", maxResetRecovery, func(c *cluster) { c.routers[0].network.closeConns(false) }},
	{"killed_engine", maxResetRecovery, func(c *cluster) { c.engines[0].kill() }},
	{"frozen_engine", maxFailureRecovery, func(c *cluster) { c.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true}) }},
	{"muted_connection", maxFailureRecovery, func(c *cluster) { c.routers[0].network.blackhole() }},
	{"caller_connection_muted", maxFailureRecovery, func(c *cluster) { c.callerNetwork.blackhole() }},
	{"router_killed", maxFailureRecovery, func(c *cluster) { c.killRouter(0) }},
	{"both_killed", maxFailureRecovery, func(c *cluster) {
		c.engines[0].kill()
		c.killRouter(0)
	}},
	{"second_engine_lost", 0, func(c *cluster) {
		c.engines[1].SetFaults(&chicoryv1.Faults{Freeze: true})
		c.engines[0].kill()
	}},
}

// failureOptions configures one failure test.
type failureOptions struct {
	generations int
	tokens      int
	tokenGap    time.Duration
	injectAfter time.Duration
	seed        uint64
}

// failureResult is the result of one recovery strategy for one kind of failure.
type failureResult struct {
	strategy        strategy
	failure         failure
	latency         *hdrhistogram.Histogram // of the recoveries, in microseconds
	started         int
	resumed         int
	corrupted       int
	prefilledTokens int64
	errors          map[string]int
	err             error
}

// chunkArrival is the arrival of one chunk at the caller.
type chunkArrival struct {
	at     time.Time
	tokens int
}

// callerResult is what one caller received.
type callerResult struct {
	chunks []chunkArrival
	tokens []string
	err    error
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// runFailure starts generations, injects the failure while they run and evaluates what
// the callers received.
func runFailure(s strategy, f failure, o failureOptions) failureResult {
	out := failureResult{strategy: s, failure: f, latency: newHistogram(), errors: map[string]int{}, started: o.generations}
	c, err := startCluster(clusterOptions{
		engines: 4, routers: 2, strategy: s, tokenGap: o.tokenGap, capacity: 4 * o.generations, seed: o.seed,
		settings: generation.DefaultSettings(),
	})
	if err != nil {
		out.err = err
		return out
	}
	defer c.close()
	results := make([]callerResult, o.generations)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = c.generate(i, o.tokens)
		}()
	}
	time.Sleep(o.injectAfter)
	prefilledBefore := c.prefilledTokens()
	failedAt := time.Now()
	f.inject(c)
	wait.Wait()
	out.prefilledTokens = int64(c.prefilledTokens()) - int64(prefilledBefore)
	for _, r := range results {
		out.add(r, failedAt, o.tokens)
	}
	return out
}

// prompt returns a prompt of about 100 tokens that is different for each i.
func prompt(i int) string {
	return fmt.Sprintf("%04d %s", i, strings.Repeat("carafe motif ", 30))
}

// generate runs one caller with its own connections.
func (c *cluster) generate(i, tokens int) callerResult {
	return c.readGeneration(benchRequest(i, tokens))
}

// generatePrompt is like generate, but with the given prompt.
func (c *cluster) generatePrompt(prompt string, tokens int) callerResult {
	req := benchRequest(0, tokens)
	req.Prompt = prompt
	return c.readGeneration(req)
}

// readGeneration runs one generation and reads it to its end.
func (c *cluster) readGeneration(req *chicoryv1.GenerateRequest) (out callerResult) {
	cl, err := c.newClient()
	if err != nil {
		return callerResult{err: err}
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, err := cl.Generate(ctx, req)
	if err != nil {
		return callerResult{err: err}
	}
	defer s.Close()
	for s.Next() {
		out.chunks = append(out.chunks, chunkArrival{time.Now(), len(s.Tokens())})
	}
	out.tokens = s.All()
	out.err = s.Err()
	return out
}

func benchRequest(i, tokens int) *chicoryv1.GenerateRequest {
	return &chicoryv1.GenerateRequest{
		RequestId: fmt.Sprintf("request-%d", i), Team: team, Route: route,
		Prompt: prompt(i), MaxTokens: uint32(tokens),
	}
}

// add includes the result of one caller. A generation counts as resumed if the caller
// received the complete text.
func (f *failureResult) add(r callerResult, failedAt time.Time, tokens int) {
	if err := standin.CheckTokens(r.tokens); err != nil {
		f.corrupted++
		return
	}
	if r.err != nil || len(r.tokens) != tokens {
		f.errors[errorKind(r.err)]++
		return
	}
	f.resumed++
	_ = f.latency.RecordValue(int64(recoveryLatency(r.chunks, failedAt) / time.Microsecond))
}

func errorKind(err error) string {
	if e, ok := err.(*client.Error); ok {
		return e.Kind
	}
	return "other"
}

// recoveryLatency returns the time from the failure to the end of the longest gap between
// chunks that ends after the failure, or the length of that gap if it began after the
// failure. Chunks that were in flight when the failure happened are thus ignored.
func recoveryLatency(chunks []chunkArrival, failedAt time.Time) time.Duration {
	longest, latency := time.Duration(0), time.Duration(0)
	for i := 1; i < len(chunks); i++ {
		at, before := chunks[i].at, chunks[i-1].at
		if !at.After(failedAt) || at.Sub(before) <= longest {
			continue
		}
		longest = at.Sub(before)
		latency = at.Sub(failedAt)
		if before.After(failedAt) {
			latency = longest
		}
	}
	return latency
}

// runFailures runs each recovery strategy with each kind of failure, at most concurrency
// of them at the same time.
func runFailures(o failureOptions, concurrency int) []failureResult {
	strategies := []strategy{strategyResupply, strategyTokenOnly, strategyJournalSync, strategyJournalBatched}
	results := make([]failureResult, len(strategies)*len(failures))
	semaphore := make(chan struct{}, concurrency)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-semaphore }()
			results[i] = runFailure(strategies[i/len(failures)], failures[i%len(failures)], o)
		}()
	}
	wait.Wait()
	return results
}
