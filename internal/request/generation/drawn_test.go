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

// Sizes of drawn worlds.
const (
	drawnEngines = 4
	drawnRouters = 3
	drawnCallers = 2
	// callerPatience is how long a caller goes on coming back.
	callerPatience = 90 * time.Second
)

// event is one failure at a time.
type event struct {
	at   time.Duration
	kind string
	on   int
}

var eventKinds = []string{"kill engine", "freeze engine", "thaw engine", "cut connections",
	"mute connections", "kill router", "caller reconnects"}

// plan is one drawn run.
type plan struct {
	tokens []int
	prompt int
	faults []*chicoryv1.Faults
	events []event
	// last is the engine that stays healthy, or -1.
	last int
}

func drawPlan(t *rapid.T) plan {
	p := plan{
		tokens: rapid.SliceOfN(rapid.IntRange(1, 80), drawnCallers, drawnCallers).Draw(t, "tokens"),
		prompt: rapid.IntRange(1, 4000).Draw(t, "prompt bytes"),
		last:   rapid.IntRange(-1, drawnEngines-1).Draw(t, "healthy engine"),
	}
	count := func(name string) uint32 { return uint32(rapid.SampledFrom([]int{0, 0, 0, 1, 7, 30}).Draw(t, name)) }
	share := func(name string) uint32 { return uint32(rapid.SampledFrom([]int{0, 0, 50, 500}).Draw(t, name)) }
	for range drawnEngines {
		p.faults = append(p.faults, &chicoryv1.Faults{
			TokensPerChunk: count("chunk"), CrossedChunkPermille: share("crossed"), StaleChunkPermille: share("stale"),
			ResetAfterTokens: count("reset"), MuteAfterTokens: count("mute"), SkipAfterTokens: count("skip"),
			RepeatChunks: rapid.Bool().Draw(t, "repeat"), Overrun: rapid.Bool().Draw(t, "overrun"),
			ErrorPermille: share("error"), GapSpread: count("spread") % 8,
		})
	}
	if p.last >= 0 {
		p.faults[p.last] = &chicoryv1.Faults{}
	}
	for range rapid.IntRange(0, 6).Draw(t, "events") {
		p.events = append(p.events, event{
			at:   time.Duration(rapid.IntRange(0, 3500).Draw(t, "ms")) * time.Millisecond,
			kind: rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			on:   rapid.IntRange(0, 3).Draw(t, "on"),
		})
	}
	return p
}

// drawnCaller comes back at another router until its text is whole or it gets a
// final answer.
type drawnCaller struct {
	text
	w       *drawnWorld
	request *chicoryv1.GenerateRequest
	cancel  context.CancelFunc
}

// drawnWorld is a world with the state of its routers.
type drawnWorld struct {
	*world
	mu      sync.Mutex // guards the fields below
	dead    [drawnRouters]bool
	callers []*drawnCaller
}

func (c *drawnCaller) use(router int) (context.Context, bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	return ctx, !c.w.dead[router]
}

// run returns the final error, or nil when the text has ended.
func (c *drawnCaller) run() error {
	deadline := time.Now().Add(callerPatience)
	var err error = errors.New("no router")
	for router := 0; time.Now().Before(deadline); router = (router + 1) % drawnRouters {
		ctx, ok := c.use(router)
		if ok {
			err = c.call(ctx, c.w.routers[router])
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

func (c *drawnCaller) call(ctx context.Context, r *router) error {
	if c.token == "" {
		return r.Generate(ctx, c.request, c.takeWhile(ctx))
	}
	return r.Resume(ctx, c.resumeRequest(c.request), c.takeWhile(ctx))
}

// takeWhile receives chunks as long as the connection stands.
func (c *drawnCaller) takeWhile(ctx context.Context) SendFunc {
	return func(chunk *chicoryv1.GenerationChunk) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return c.take(chunk)
	}
}

func (w *drawnWorld) happen(e event) {
	switch e.kind {
	case "cut connections":
		w.routers[e.on%drawnRouters].network.cut(false)
		return
	case "mute connections":
		w.routers[e.on%drawnRouters].network.mute()
		return
	case "kill router":
		w.killRouter(e.on % drawnRouters)
		return
	case "caller reconnects":
		w.mu.Lock()
		defer w.mu.Unlock()
		if c := w.callers[e.on%drawnCallers]; c.cancel != nil {
			c.cancel()
		}
		return
	}
	switch i := e.on % drawnEngines; e.kind {
	case "kill engine":
		w.engines[i].kill()
	case "freeze engine":
		w.engines[i].SetFaults(&chicoryv1.Faults{Freeze: true})
	case "thaw engine":
		w.engines[i].SetFaults(&chicoryv1.Faults{})
	}
}

// killRouter ends a router as a crash does; the last one stays.
func (w *drawnWorld) killRouter(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i == 0 && w.dead[1] || i == 1 && w.dead[0] || i == drawnRouters-1 {
		return
	}
	w.dead[i] = true
	w.routers[i].network.cut(true)
	for _, c := range w.callers {
		if c.cancel != nil {
			c.cancel()
		}
	}
}

// runPlan returns an error when a promise was broken.
func runPlan(t *testing.T, p plan) (err error) {
	synctest.Test(t, func(t *testing.T) {
		w := &drawnWorld{world: newWorld(t, drawnRouters, "v1", "v1", "v1", "v2")}
		defer w.close()
		for i, f := range p.faults {
			w.engines[i].SetFaults(f)
		}
		results := make(chan error, drawnCallers)
		for i := range drawnCallers {
			c := &drawnCaller{w: w, request: testRequest(uint32(p.tokens[i]))}
			c.request.Prompt = string(make([]byte, p.prompt))
			w.callers = append(w.callers, c)
		}
		for _, c := range w.callers {
			go func() { results <- c.verdict(p) }()
		}
		for _, e := range p.events {
			if p.last >= 0 && e.on%drawnEngines == p.last && (e.kind == "kill engine" || e.kind == "freeze engine") {
				continue
			}
			time.AfterFunc(e.at, func() { w.happen(e) })
		}
		for range drawnCallers {
			if e := <-results; e != nil {
				err = e
			}
		}
	})
	return err
}

// verdict runs the caller and checks its text.
func (c *drawnCaller) verdict(p plan) error {
	err := c.run()
	if textErr := standin.CheckText(c.tokens); textErr != nil {
		return errors.Annotate(textErr, "text is not one generation's")
	}
	want := int(c.request.GetMaxTokens())
	switch {
	case err == nil && len(c.tokens) != want:
		return fmt.Errorf("text ended with %d of %d tokens", len(c.tokens), want)
	case err == nil:
		return nil
	case fault.Of(err).Kind == fault.Internal:
		return errors.Annotate(err, "no kind")
	case p.last >= 0:
		return errors.Annotatef(err, "engine %d is well, but the generation ended", p.last)
	}
	return nil
}

func TestDrawnFailuresLeaveOneText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if err := runPlan(t, p); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
