package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// The model service under test.
const (
	engineCount          = 12
	engineSlots          = 16
	engineCacheEntries   = 24
	tokenGap             = 10 * time.Millisecond
	promptCount          = 150
	promptRepeats        = 400
	tokensPerGeneration  = 60
	generationsPerSecond = 100.0
	eventLossPermille    = 50
	eventDelayMs         = 100
)

// generationRouter is a router that serves generations.
type generationRouter interface {
	generate(ctx context.Context, prompt string, id int) ([]string, error)
	close()
}

func (f *fullRouter) generate(ctx context.Context, prompt string, id int) ([]string, error) {
	var tokens []string
	err := f.generations.Generate(ctx, &chicoryv1.GenerateRequest{
		RequestId: fmt.Sprint("g", id), Team: smallTeam, Route: routeName, Prompt: prompt, MaxTokens: tokensPerGeneration,
	}, func(c *chicoryv1.GenerationChunk) error {
		tokens = append(tokens, c.GetTokens()...)
		return nil
	})
	return tokens, err
}

// initGenerations sets up the generation service of a router.
func (f *fullRouter) initGenerations(c *cluster, zone string) {
	var err error
	f.generations, err = generation.New(generation.Options{
		Holder: c.holder, Pool: f.pool, Picker: f.picker, Admitter: f.admitter, Chooser: routeVersion{},
		Budget: f.budget, Recorder: noRecorder{}, TokenKey: make([]byte, 32), RouterID: zone,
		AvailabilityZone: zone, Logger: f.log, Settings: generation.DefaultSettings(),
	})
	if err != nil {
		panic(err)
	}
}

// generate starts again from the beginning if an engine fails: the baseline can't resume
// generations.
func (n *naiveRouter) generate(ctx context.Context, prompt string, id int) ([]string, error) {
	var err error
	for range naiveAttempts {
		var tokens []string
		if tokens, err = n.tryGenerate(ctx, prompt, id); err == nil {
			return tokens, nil
		}
	}
	return nil, err
}

func (n *naiveRouter) tryGenerate(ctx context.Context, prompt string, id int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*tokensPerGeneration*tokenGap)
	defer cancel()
	route := n.c.holder.Current().Route(routeName)
	p, err := n.picker.Pick(request.Work{Route: route, Version: versionName}, nil)
	if err != nil {
		return nil, err
	}
	stream, err := n.pool.Clients(p.Target.GetAddress()).Engine.Generate(ctx, connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
		GenerationId: fmt.Sprint("n", id), Attempt: 1, Team: smallTeam, Route: routeName, Version: versionName,
		Prompt: prompt, MaxTokens: tokensPerGeneration, Priority: chicoryv1.Priority_PRIORITY_NORMAL,
	}))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var tokens []string
	for stream.Receive() {
		tokens = append(tokens, stream.Msg().GetChunk().GetTokens()...)
	}
	return tokens, stream.Err()
}

// measureGenerations compares the prefix cache hits, and the load and the failures after
// the loss of an availability zone.
func measureGenerations(r *report, seed uint64, length time.Duration) {
	fmt.Printf("generations engines=%d slots=%d cache=%d prompts=%d tokens=%d token_gap=%s rate=%.0f/s cache_event_loss=%d/1000 cache_event_delay=%dms\n",
		engineCount, engineSlots, engineCacheEntries, promptCount, tokensPerGeneration, tokenGap, generationsPerSecond, eventLossPermille, eventDelayMs)
	for _, useFull := range []bool{true, false} {
		runGenerations(useFull, seed, length, false)
		lossResult := runGenerations(useFull, seed, 2*length, true)
		if useFull {
			r.add("load-after-zone-loss-generations", lossResult.attemptsPerRequest, 1.2, false)
			r.add("generations-lost-zone-gone", float64(lossResult.failed), 0, false)
		}
	}
}

// generationResult is the result of one run with generations.
type generationResult struct {
	good, failed       int
	attemptsPerRequest float64
	prefixHitRatio     float64
	latencies          []time.Duration
}

// runGenerations sends generations to new routers and engines. If zoneLoss is set, it
// freezes an availability zone after a quarter of the length.
func runGenerations(useFull bool, seed uint64, length time.Duration, zoneLoss bool) generationResult {
	c := newCluster(engineCount, standin.Options{
		Capacity: engineSlots, TokenGap: tokenGap, CacheEntries: engineCacheEntries, Seed: seed,
	}, chicoryv1.ServiceKind_SERVICE_KIND_MODEL)
	defer c.close()
	for _, e := range c.replicas {
		e.SetFaults(&chicoryv1.Faults{CacheEventLossPermille: eventLossPermille, CacheEventDelayMs: eventDelayMs})
	}
	name, routers := "naive", []generationRouter{newNaiveRouter(c), newNaiveRouter(c)}
	if useFull {
		name = "full"
		routers = []generationRouter{newFullRouter(c, 0, 2, admission.LimitShared), newFullRouter(c, 1, 2, admission.LimitShared)}
	}
	time.Sleep(warmUp)
	arrivals := poissonArrivals(seed, smallTeam, generationsPerSecond, length)
	generationsAtLoss := make(chan uint64, 1)
	time.AfterFunc(length/4, func() {
		if zoneLoss {
			freeze(c.inZone(1))
		}
		generationsAtLoss <- c.totals().generations
	})
	res := sendGenerations(routers, arrivals, seed)
	after := 0
	for _, a := range arrivals {
		if a.at >= length/4 {
			after++
		}
	}
	res.attemptsPerRequest = float64(c.totals().generations-<-generationsAtLoss) / float64(max(after, 1))
	res.prefixHitRatio = prefixHitRatio(c)
	fmt.Printf("generations zone_gone=%t system=%s arrivals=%d good=%d failed=%d p50=%s p99=%s attempts_per_request=%.3f prefix_hits=%.3f\n",
		zoneLoss, name, len(arrivals), res.good, res.failed,
		percentile(res.latencies, 0.5).Round(time.Millisecond), percentile(res.latencies, 0.99).Round(time.Millisecond),
		res.attemptsPerRequest, res.prefixHitRatio)
	for _, r := range routers {
		r.close()
	}
	return res
}

// sendGenerations sends one generation per arrival and waits for all of them. The
// popularity of prompts follows Zipf's law. An incomplete or corrupted text counts as
// failed.
func sendGenerations(routers []generationRouter, arrivals []arrival, seed uint64) generationResult {
	promptRank := rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), 1.1, 1, promptCount-1)
	var res generationResult
	var mu sync.Mutex // guards res
	var tasks sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		prompt := strings.Repeat(fmt.Sprintf("%04d", promptRank.Uint64()), promptRepeats)
		time.Sleep(a.at - time.Since(start))
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			sentAt := time.Now()
			tokens, err := routers[i%len(routers)].generate(ctx, prompt, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(tokens) != tokensPerGeneration || standin.CheckTokens(tokens) != nil {
				res.failed++
				return
			}
			res.good++
			res.latencies = append(res.latencies, time.Since(sentAt))
		})
	}
	tasks.Wait()
	return res
}

// prefixHitRatio returns the share of prompt tokens that the engines had cached.
func prefixHitRatio(c *cluster) float64 {
	var prefilled, promptTokens uint64
	for _, e := range c.replicas {
		counts := e.Counts("")
		prefilled += counts.GetPrefilledTokens()
		promptTokens += counts.GetGenerations() * (promptRepeats + 1)
	}
	return 1 - float64(prefilled)/float64(max(promptTokens, 1))
}
