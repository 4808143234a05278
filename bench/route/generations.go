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

// The model service under measurement.
const (
	engines        = 12
	engineSlots    = 16
	engineCache    = 24
	tokenGap       = 10 * time.Millisecond
	prompts        = 150
	promptRepeats  = 400
	generateTokens = 60
	generateRate   = 100.0
	eventLoss      = 50
	eventDelayMs   = 100
)

// generator is a router for generations.
type generator interface {
	generate(ctx context.Context, prompt string, id int) ([]string, error)
	close()
}

func (f *fullRouter) generate(ctx context.Context, prompt string, id int) ([]string, error) {
	var tokens []string
	err := f.generations.Generate(ctx, &chicoryv1.GenerateRequest{
		RequestId: fmt.Sprint("g", id), Team: smallTeam, Route: routeName, Prompt: prompt, MaxTokens: generateTokens,
	}, func(c *chicoryv1.GenerationChunk) error {
		tokens = append(tokens, c.GetTokens()...)
		return nil
	})
	return tokens, err
}

// newGenerations adds the path of generations to a router.
func (f *fullRouter) newGenerations(c *cluster, zone string) {
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

// generate of the baseline starts anew when an engine fails: it has no resume.
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
	ctx, cancel := context.WithTimeout(ctx, 2*generateTokens*tokenGap)
	defer cancel()
	route := n.c.holder.Current().Route(routeName)
	p, err := n.picker.Pick(request.Work{Route: route, Version: versionName}, nil)
	if err != nil {
		return nil, err
	}
	stream, err := n.pool.Clients(p.Target.GetAddress()).Engine.Generate(ctx, connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
		GenerationId: fmt.Sprint("n", id), Attempt: 1, Team: smallTeam, Route: routeName, Version: versionName,
		Prompt: prompt, MaxTokens: generateTokens, Priority: chicoryv1.Priority_PRIORITY_NORMAL,
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

// measureGenerations compares prefix hits, and load and losses after a zone loss.
func measureGenerations(r *report, seed uint64, length time.Duration) {
	fmt.Printf("generations engines=%d slots=%d cache=%d prompts=%d tokens=%d token_gap=%s rate=%.0f/s cache_event_loss=%d/1000 cache_event_delay=%dms\n",
		engines, engineSlots, engineCache, prompts, generateTokens, tokenGap, generateRate, eventLoss, eventDelayMs)
	for _, isFull := range []bool{true, false} {
		playGenerations(isFull, seed, length, false)
		loss := playGenerations(isFull, seed, 2*length, true)
		if isFull {
			r.add("load-after-zone-loss-generations", loss.attemptsPerRequest, 1.2, false)
			r.add("generations-lost-zone-gone", float64(loss.failed), 0, false)
		}
	}
}

// generationResult is what one run of generations showed.
type generationResult struct {
	good, failed       int
	attemptsPerRequest float64
	hitShare           float64
	latencies          []time.Duration
}

// playGenerations sends generations to fresh routers; with lose, an availability
// zone is frozen when a quarter of the length has passed.
func playGenerations(isFull bool, seed uint64, length time.Duration, lose bool) generationResult {
	c := newCluster(engines, standin.Options{
		Capacity: engineSlots, TokenGap: tokenGap, CacheEntries: engineCache, Seed: seed,
	}, chicoryv1.ServiceKind_SERVICE_KIND_MODEL)
	defer c.close()
	for _, e := range c.replicas {
		e.SetFaults(&chicoryv1.Faults{CacheEventLossPermille: eventLoss, CacheEventDelayMs: eventDelayMs})
	}
	name, routers := "naive", []generator{newNaiveRouter(c), newNaiveRouter(c)}
	if isFull {
		name = "full"
		routers = []generator{newFullRouter(c, 0, 2, admission.LimitShared), newFullRouter(c, 1, 2, admission.LimitShared)}
	}
	time.Sleep(warmUp)
	arrivals := schedule(seed, smallTeam, generateRate, length)
	at := make(chan uint64, 1)
	time.AfterFunc(length/4, func() {
		if lose {
			freeze(c.inZone(1))
		}
		at <- c.totals().generations
	})
	res := sendGenerations(routers, arrivals, seed)
	after := 0
	for _, a := range arrivals {
		if a.at >= length/4 {
			after++
		}
	}
	res.attemptsPerRequest = float64(c.totals().generations-<-at) / float64(max(after, 1))
	res.hitShare = hitShare(c)
	fmt.Printf("generations zone_gone=%t system=%s arrivals=%d good=%d failed=%d p50=%s p99=%s attempts_per_request=%.3f prefix_hits=%.3f\n",
		lose, name, len(arrivals), res.good, res.failed,
		percentile(res.latencies, 0.5).Round(time.Millisecond), percentile(res.latencies, 0.99).Round(time.Millisecond),
		res.attemptsPerRequest, res.hitShare)
	for _, r := range routers {
		r.close()
	}
	return res
}

// sendGenerations sends one generation per arrival and waits for all of them.
// Prompts follow Zipf's law. A text that is not whole counts as failed.
func sendGenerations(routers []generator, arrivals []arrival, seed uint64) generationResult {
	popular := rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), 1.1, 1, prompts-1)
	var res generationResult
	var mu sync.Mutex // guards res
	var tasks sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		prompt := strings.Repeat(fmt.Sprintf("%04d", popular.Uint64()), promptRepeats)
		time.Sleep(a.at - time.Since(start))
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			begin := time.Now()
			tokens, err := routers[i%len(routers)].generate(ctx, prompt, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(tokens) != generateTokens || standin.CheckTokens(tokens) != nil {
				res.failed++
				return
			}
			res.good++
			res.latencies = append(res.latencies, time.Since(begin))
		})
	}
	tasks.Wait()
	return res
}

// hitShare returns the share of prompt tokens that engines had cached.
func hitShare(c *cluster) float64 {
	var prefilled, wanted uint64
	for _, e := range c.replicas {
		counts := e.Counts("")
		prefilled += counts.GetPrefilledTokens()
		wanted += counts.GetGenerations() * (promptRepeats + 1)
	}
	return 1 - float64(prefilled)/float64(max(wanted, 1))
}
