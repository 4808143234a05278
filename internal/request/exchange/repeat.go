package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// maxHedgeDelayShare is the share of the latency objective after which a call without a
// response is sent to a second target, so that half of the objective is left for it.
const maxHedgeDelayShare = 0.5

// serveRepeatable serves a call that may run more than once: a failed attempt is retried
// at another target, and a slow one is hedged. The first successful response wins.
func (s *Service) serveRepeatable(ctx context.Context, w http.ResponseWriter, a *AdmittedRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels attempts that are still running
	c := &hedgedCall{s: s, a: a, results: make(chan *attempt, a.maxAttempts()+s.opts.Settings.MaxRefusals)}
	p, err := s.pickPermitted(ctx, a, nil)
	if err != nil {
		return fault.Of(err)
	}
	c.startAttempt(ctx, p)
	response, err := c.wait(ctx)
	if err != nil {
		return err
	}
	response.writeTo(w)
	return nil
}

// maxAttempts returns how many targets may run the request.
func (a *AdmittedRequest) maxAttempts() int { return max(a.Route.MaxAttempts, 1) }

// hedgedCall holds the attempts of one repeatable call.
type hedgedCall struct {
	s       *Service
	a       *AdmittedRequest
	results chan *attempt

	tried   []string
	running int
	// possibleRuns counts the attempts that may run the call, refused those that did not
	// run it.
	possibleRuns, refused int
	// errorResponse is the latest server error that a target returned.
	errorResponse *attempt
	// lost counts the attempts without a complete response. brokenConnection: one of them was sent
	// on an idle connection that was broken.
	lost             int
	brokenConnection bool
}

func (c *hedgedCall) startAttempt(ctx context.Context, p request.Placement) {
	c.tried = append(c.tried, p.Target.GetAddress())
	c.running++
	c.possibleRuns++
	newConnection := c.brokenConnection
	go func() { c.results <- c.s.runAttempt(ctx, c.a, p, newConnection) }()
}

// startFurther starts an attempt at another target, and reports whether there is one. Once a
// target may have run the call, only targets without a limit are.
func (c *hedgedCall) startFurther(ctx context.Context) bool {
	var p request.Placement
	var err error
	if c.possibleRuns > 0 {
		p, err = c.s.pickRepeat(c.a, c.tried)
	} else {
		p, err = c.s.pickPermitted(ctx, c.a, c.tried)
	}
	if err != nil {
		return false
	}
	c.startAttempt(ctx, p)
	return true
}

// wait returns the first successful response. If there is none, it returns the last
// server error that a target returned, or an error.
func (c *hedgedCall) wait(ctx context.Context) (*attempt, error) {
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case t := <-c.results:
			c.running--
			if t.outcome == outcomeAnswered && !t.isServerError() {
				c.s.latencies.Observe(c.a.Route.Name, t.latency)
				return t, nil
			}
			c.record(t)
			if !c.retry(ctx, t) && c.running == 0 {
				return c.finalResult(ctx)
			}
		case <-hedge.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return c.finalResult(ctx)
		}
	}
}

// hedgeDelay is the route's learned hedge delay, limited to a share of the latency
// objective.
func (c *hedgedCall) hedgeDelay() time.Duration {
	delay := c.s.latencies.HedgeDelay(c.a.Route.Name)
	if limit := time.Duration(maxHedgeDelayShare * float64(c.a.Route.LatencyObjective)); limit > 0 {
		delay = min(delay, limit)
	}
	return delay
}

func (c *hedgedCall) record(t *attempt) {
	switch t.outcome {
	case outcomeAnswered:
		c.errorResponse = t
	case outcomeLost:
		c.lost++
		c.brokenConnection = c.brokenConnection || http1.IsReused(t.err)
	default:
		c.possibleRuns--
		c.refused++
	}
}

// retry starts another attempt after a failed one, if the attempts and the budget allow
// it. One that was never sent costs its service nothing.
func (c *hedgedCall) retry(ctx context.Context, failed *attempt) bool {
	if c.a.trial.wasSent() || c.lost > 1 && c.running > 0 {
		return false // the call may crash targets: no further one beside those that run
	}
	if isIsolated(failed.err) {
		return false
	}
	if c.isQuarantined(ctx) || ctx.Err() != nil || c.possibleRuns >= c.a.maxAttempts() || c.refused >= c.s.opts.Settings.MaxRefusals {
		return false
	}
	if failed.outcome != outcomeNotSent {
		if ok, _ := c.s.opts.Budget(c.a.Service.Name).Allow(request.RetryCall); !ok {
			return false
		}
	}
	if !c.startFurther(ctx) {
		return false
	}
	c.s.metrics.retried.Inc(1)
	c.s.opts.Logger.Info(logging.CallRetried, logging.Fields{
		"request": c.a.ID, "route": c.a.Route.Name, "target": failed.target, "attempt": len(c.tried),
	})
	return true
}

// isQuarantined reports whether the call was found to crash targets.
func (c *hedgedCall) isQuarantined(ctx context.Context) bool {
	if c.running > 0 {
		return c.s.quarantineError(c.a, c.possibleRuns) != nil
	}
	return c.s.settledQuarantineError(ctx, c.a, c.possibleRuns) != nil
}

// hedge starts a second attempt in parallel to a slow one.
func (c *hedgedCall) hedge(ctx context.Context) {
	if c.a.trial != nil || c.running != 1 || c.possibleRuns >= c.a.maxAttempts() {
		return
	}
	if ok, _ := c.s.opts.Budget(c.a.Service.Name).Allow(request.HedgeCall); ok {
		c.startFurther(ctx) // if no target is available, the first attempt continues alone
	}
}

// finalResult returns the result of a call without a successful response.
func (c *hedgedCall) finalResult(ctx context.Context) (*attempt, error) {
	mayHaveRun := c.lost > 0 || c.errorResponse != nil || c.running > 0
	switch {
	case c.errorResponse != nil:
		return c.errorResponse, nil
	case ctx.Err() != nil:
		return nil, contextError(ctx, mayHaveRun)
	case mayHaveRun:
		return nil, fault.New(fault.OutcomeUnknown, "no target returned a complete response")
	default:
		return nil, c.s.noTargetError(c.a, c.refused)
	}
}
