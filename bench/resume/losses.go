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

// loss is a kind of loss and the bar for the time to the next token; 0 is none,
// for losses that are not single.
type loss struct {
	name  string
	bound time.Duration
	lose  func(*cluster)
}

const (
	resetBound = 500 * time.Millisecond
	lossBound  = 2 * time.Second
)

var losses = []loss{
	{"reset", resetBound, func(c *cluster) { c.routers[0].network.cut(false) }},
	{"killed_engine", resetBound, func(c *cluster) { c.engines[0].kill() }},
	{"frozen_engine", lossBound, func(c *cluster) { c.engines[0].SetFaults(&chicoryv1.Faults{Freeze: true}) }},
	{"muted_connection", lossBound, func(c *cluster) { c.routers[0].network.mute() }},
	{"caller_connection_muted", lossBound, func(c *cluster) { c.callers.mute() }},
	{"router_killed", lossBound, func(c *cluster) { c.killRouter(0) }},
	{"both_killed", lossBound, func(c *cluster) {
		c.engines[0].kill()
		c.killRouter(0)
	}},
	{"second_engine_lost", 0, func(c *cluster) {
		c.engines[1].SetFaults(&chicoryv1.Faults{Freeze: true})
		c.engines[0].kill()
	}},
}

// lossOptions are the sizes of one cell.
type lossOptions struct {
	generations int
	tokens      int
	gap         time.Duration
	at          time.Duration
	seed        uint64
}

// cell is what one way did in one kind of loss.
type cell struct {
	way       way
	loss      loss
	latency   *hdrhistogram.Histogram // microseconds
	started   int
	resumed   int
	wrong     int
	prefilled int64
	errors    map[string]int
	err       error
}

// arrival is one chunk at the caller.
type arrival struct {
	at     time.Time
	tokens int
}

// outcome is what one caller saw.
type outcome struct {
	arrivals []arrival
	tokens   []string
	err      error
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// runCell streams generations, makes the loss in the middle and reads what the
// callers saw.
func runCell(w way, l loss, o lossOptions) cell {
	out := cell{way: w, loss: l, latency: newHistogram(), errors: map[string]int{}, started: o.generations}
	c, err := startCluster(clusterOptions{
		engines: 4, routers: 2, way: w, gap: o.gap, capacity: 4 * o.generations, seed: o.seed,
		settings: generation.DefaultSettings(),
	})
	if err != nil {
		out.err = err
		return out
	}
	defer c.close()
	results := make([]outcome, o.generations)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = c.generate(i, o.tokens)
		}()
	}
	time.Sleep(o.at)
	before := c.prefilled()
	lost := time.Now()
	l.lose(c)
	wait.Wait()
	out.prefilled = int64(c.prefilled()) - int64(before)
	for _, r := range results {
		out.add(r, lost, o.tokens)
	}
	return out
}

// prompt returns a prompt of about 100 tokens that differs by i.
func prompt(i int) string {
	return fmt.Sprintf("%04d %s", i, strings.Repeat("carafe motif ", 30))
}

// generate runs one caller with connections of its own.
func (c *cluster) generate(i, tokens int) outcome {
	return c.follow(benchRequest(i, tokens))
}

// generateText is generate for a prompt.
func (c *cluster) generateText(prompt string, tokens int) outcome {
	req := benchRequest(0, tokens)
	req.Prompt = prompt
	return c.follow(req)
}

// follow reads one generation to its end.
func (c *cluster) follow(req *chicoryv1.GenerateRequest) (out outcome) {
	cl, err := c.newClient()
	if err != nil {
		return outcome{err: err}
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, err := cl.Generate(ctx, req)
	if err != nil {
		return outcome{err: err}
	}
	defer s.Close()
	for s.Next() {
		out.arrivals = append(out.arrivals, arrival{time.Now(), len(s.Tokens())})
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

// add counts one caller's outcome.
func (c *cell) add(r outcome, lost time.Time, tokens int) {
	if err := standin.CheckTokens(r.tokens); err != nil {
		c.wrong++
		return
	}
	if r.err != nil || len(r.tokens) != tokens {
		c.errors[kindOf(r.err)]++
		return
	}
	c.resumed++
	_ = c.latency.RecordValue(int64(latencyAfter(r.arrivals, lost) / time.Microsecond))
}

func kindOf(err error) string {
	if e, ok := err.(*client.Error); ok {
		return e.Kind
	}
	return "other"
}

// latencyAfter returns the time from the loss to the end of the longest gap that
// ends after it: tokens that were on their way at the loss don't count.
func latencyAfter(arrivals []arrival, lost time.Time) time.Duration {
	longest, latency := time.Duration(0), time.Duration(0)
	for i := 1; i < len(arrivals); i++ {
		at, before := arrivals[i].at, arrivals[i-1].at
		if !at.After(lost) || at.Sub(before) <= longest {
			continue
		}
		longest = at.Sub(before)
		latency = at.Sub(lost)
		if before.After(lost) {
			latency = longest
		}
	}
	return latency
}

// runLosses runs all cells, some at once.
func runLosses(o lossOptions, atOnce int) []cell {
	ways := []way{wayResupply, wayToken, wayJournalSync, wayJournalBatched}
	cells := make([]cell, len(ways)*len(losses))
	slots := make(chan struct{}, atOnce)
	var wait sync.WaitGroup
	for i := range cells {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			cells[i] = runCell(ways[i/len(losses)], losses[i%len(losses)], o)
		}()
	}
	wait.Wait()
	return cells
}
