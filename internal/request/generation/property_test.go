package generation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// Sizes of the random scenarios.
const (
	engineCount = 4
	routerCount = 3
	callerCount = 2
	// callerTimeout is how long a caller keeps retrying.
	callerTimeout = 90 * time.Second
)

// faultEvent is one failure at a given time. Its index selects the engine, router or
// caller, modulo their number.
type faultEvent struct {
	at    time.Duration
	kind  string
	index int
}

var eventKinds = []string{"kill engine", "freeze engine", "thaw engine", "cut connections",
	"mute connections", "kill router", "caller reconnects"}

// scenario is one random set of requests and failures.
type scenario struct {
	tokens      []int
	promptBytes int
	faults      []*chicoryv1.Faults
	events      []faultEvent
	// healthyEngine is the index of the engine that never fails, or -1.
	healthyEngine int
}

// drawScenario generates a scenario. One engine may stay healthy.
func drawScenario(t *rapid.T) scenario {
	s := scenario{
		tokens:        rapid.SliceOfN(rapid.IntRange(1, 80), callerCount, callerCount).Draw(t, "tokens"),
		promptBytes:   rapid.IntRange(1, 4000).Draw(t, "prompt bytes"),
		healthyEngine: rapid.IntRange(-1, engineCount-1).Draw(t, "healthy engine"),
	}
	count := func(name string) uint32 { return uint32(rapid.SampledFrom([]int{0, 0, 0, 1, 7, 30}).Draw(t, name)) }
	share := func(name string) uint32 { return uint32(rapid.SampledFrom([]int{0, 0, 50, 500}).Draw(t, name)) }
	for range engineCount {
		s.faults = append(s.faults, &chicoryv1.Faults{
			TokensPerChunk: count("chunk"), CrossedChunkPermille: share("crossed"), StaleChunkPermille: share("stale"),
			ResetAfterTokens: count("reset"), MuteAfterTokens: count("mute"), SkipAfterTokens: count("skip"),
			RepeatChunks: rapid.Bool().Draw(t, "repeat"), Overrun: rapid.Bool().Draw(t, "overrun"),
			ErrorPermille: share("error"), GapSpread: count("spread") % 8,
		})
	}
	if s.healthyEngine >= 0 {
		s.faults[s.healthyEngine] = &chicoryv1.Faults{}
	}
	for range rapid.IntRange(0, 6).Draw(t, "events") {
		s.events = append(s.events, faultEvent{
			at:    time.Duration(rapid.IntRange(0, 3500).Draw(t, "ms")) * time.Millisecond,
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 3).Draw(t, "on"),
		})
	}
	return s
}

// retryingCaller resumes through one router after another until its text is complete or
// it gets an error that must not be retried.
type retryingCaller struct {
	receivedText
	env     *scenarioEnv
	request *chicoryv1.GenerateRequest
	cancel  context.CancelFunc
}

// scenarioEnv is a testEnv that records which routers were killed.
type scenarioEnv struct {
	*testEnv
	mu      sync.Mutex // guards the fields below
	dead    [routerCount]bool
	callers []*retryingCaller
}

// connect opens a connection of the caller to a router and reports whether the router
// is alive.
func (c *retryingCaller) connect(router int) (context.Context, bool) {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	return ctx, !c.env.dead[router]
}

// run returns the final error, or nil if the generation ended normally.
func (c *retryingCaller) run() error {
	deadline := time.Now().Add(callerTimeout)
	var err error = errors.New("no router")
	for router := 0; time.Now().Before(deadline); router = (router + 1) % routerCount {
		ctx, ok := c.connect(router)
		if ok {
			err = c.call(ctx, c.env.routers[router])
			if err == nil {
				return nil
			}
			if retry := fault.Of(err).Kind.Row().Retry; retry == fault.RetryNever && !fault.Is(err, fault.Cancelled) {
				return err
			}
		}
		time.Sleep(max(fault.Of(err).RetryAfter, 20*time.Millisecond))
	}
	return err
}

func (c *retryingCaller) call(ctx context.Context, r *router) error {
	if c.resumeToken == "" {
		return r.Generate(ctx, c.request, c.receiveUntilDone(ctx))
	}
	return r.Resume(ctx, c.resumeRequest(c.request), c.receiveUntilDone(ctx))
}

// receiveUntilDone receives chunks until ctx, the caller's connection, ends.
func (c *retryingCaller) receiveUntilDone(ctx context.Context) SendFunc {
	return func(chunk *chicoryv1.GenerationChunk) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return c.receive(chunk)
	}
}

// inject causes one failure.
func (env *scenarioEnv) inject(e faultEvent) {
	switch e.kind {
	case "cut connections":
		env.routers[e.index%routerCount].network.cut(false)
		return
	case "mute connections":
		env.routers[e.index%routerCount].network.mute()
		return
	case "kill router":
		env.killRouter(e.index % routerCount)
		return
	case "caller reconnects":
		env.mu.Lock()
		defer env.mu.Unlock()
		if c := env.callers[e.index%callerCount]; c.cancel != nil {
			c.cancel()
		}
		return
	}
	switch i := e.index % engineCount; e.kind {
	case "kill engine":
		env.engines[i].kill()
	case "freeze engine":
		env.engines[i].SetFaults(&chicoryv1.Faults{Freeze: true})
	case "thaw engine":
		env.engines[i].SetFaults(&chicoryv1.Faults{})
	}
}

// killRouter stops a router the way a crash does. The last router and one other
// always stay running.
func (env *scenarioEnv) killRouter(i int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if i == 0 && env.dead[1] || i == 1 && env.dead[0] || i == routerCount-1 {
		return
	}
	env.dead[i] = true
	env.routers[i].network.cut(true)
	for _, c := range env.callers {
		if c.cancel != nil {
			c.cancel()
		}
	}
}

// runScenario runs a scenario and returns an error if a caller received a wrong text or
// an unjustified error.
func runScenario(t *testing.T, s scenario) (err error) {
	synctest.Test(t, func(t *testing.T) {
		env := &scenarioEnv{testEnv: newTestEnv(t, routerCount, "v1", "v1", "v1", "v2")}
		defer env.close()
		for i, f := range s.faults {
			env.engines[i].SetFaults(f)
		}
		results := make(chan error, callerCount)
		for i := range callerCount {
			c := &retryingCaller{env: env, request: testRequest(uint32(s.tokens[i]))}
			c.request.Prompt = string(make([]byte, s.promptBytes))
			env.callers = append(env.callers, c)
		}
		for _, c := range env.callers {
			go func() { results <- c.check(s) }()
		}
		for _, e := range s.events {
			if s.healthyEngine >= 0 && e.index%engineCount == s.healthyEngine && (e.kind == "kill engine" || e.kind == "freeze engine") {
				continue
			}
			time.AfterFunc(e.at, func() { env.inject(e) })
		}
		for range callerCount {
			if e := <-results; e != nil {
				err = e
			}
		}
	})
	return err
}

// check runs the caller and checks its text and its final error.
func (c *retryingCaller) check(s scenario) error {
	err := c.run()
	if textErr := standin.CheckTokens(c.tokens); textErr != nil {
		return errors.Annotate(textErr, "tokens are missing, repeated or mixed")
	}
	want := int(c.request.GetMaxTokens())
	switch {
	case err == nil && len(c.tokens) != want:
		return fmt.Errorf("text ended with %d of %d tokens", len(c.tokens), want)
	case err == nil:
		return nil
	case fault.Of(err).Kind == fault.Internal:
		return errors.Annotate(err, "error without a known kind")
	case s.healthyEngine >= 0:
		return errors.Annotatef(err, "engine %d is healthy, but the generation failed", s.healthyEngine)
	}
	return nil
}

func TestRandomFailuresKeepOneText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		if err := runScenario(t, s); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
