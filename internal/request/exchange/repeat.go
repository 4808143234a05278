package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// silentShare of the latency objective without an answer lets a call be sent to a
// second target, so that half of the objective is left for it.
const silentShare = 0.5

// serveRepeatable serves a call that may run more than once: a failed attempt is
// retried at another target, and a late one is hedged. The first good answer wins.
func (s *Service) serveRepeatable(ctx context.Context, w http.ResponseWriter, a *Admitted) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends attempts that are still under way
	r := &race{s: s, a: a, results: make(chan *attempt, a.maxAttempts()+s.opts.Settings.MaxRefusals)}
	if err := r.launch(ctx); err != nil {
		return fault.Of(err)
	}
	best, err := r.run(ctx)
	if err != nil {
		return err
	}
	best.passOn(w)
	return nil
}

// maxAttempts returns how many targets may run the request.
func (a *Admitted) maxAttempts() int { return max(a.Route.MaxAttempts, 1) }

// race is the attempts of one repeatable call.
type race struct {
	s       *Service
	a       *Admitted
	results chan *attempt

	tried   []string
	running int
	// sent counts attempts that may run; refused those that did not.
	sent, refused int
	// failure is the latest failure that a target answered.
	failure *attempt
	lost    bool
}

func (r *race) launch(ctx context.Context) error {
	p, err := r.s.pick(r.a, r.tried)
	if err != nil {
		return err
	}
	r.tried = append(r.tried, p.Target.GetAddress())
	r.running++
	r.sent++
	go func() { r.results <- r.s.attempt(ctx, r.a, p) }()
	return nil
}

// run waits for the first good answer. Without one, it returns the last failure
// that a target answered, or a refusal.
func (r *race) run(ctx context.Context) (*attempt, error) {
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case t := <-r.results:
			r.running--
			if t.ending == answered && !t.failed() {
				r.s.pace.Observe(r.a.Route.Name, t.latency)
				return t, nil
			}
			r.count(t)
			if !r.again(ctx, t) && r.running == 0 {
				return r.end(ctx)
			}
		case <-hedge.C:
			r.hedge(ctx)
		case <-ctx.Done():
			return r.end(ctx)
		}
	}
}

// hedgeDelay is the usual latency's high percentile, at most a share of the objective.
func (r *race) hedgeDelay() time.Duration {
	delay := r.s.pace.HedgeDelay(r.a.Route.Name)
	if limit := time.Duration(silentShare * float64(r.a.Route.LatencyObjective)); limit > 0 {
		delay = min(delay, limit)
	}
	return delay
}

func (r *race) count(t *attempt) {
	switch t.ending {
	case answered:
		r.failure = t
	case lost:
		r.lost = true
	default:
		r.sent--
		r.refused++
	}
}

// again starts another attempt after a failed one, if attempts and budget allow.
func (r *race) again(ctx context.Context, failed *attempt) bool {
	if ctx.Err() != nil || r.sent >= r.a.maxAttempts() || r.refused >= r.s.opts.Settings.MaxRefusals {
		return false
	}
	if ok, _ := r.s.opts.Budget(r.a.Service.Name).Allow(request.RetryCall); !ok || r.launch(ctx) != nil {
		return false
	}
	r.s.metrics.retried.Inc(1)
	r.s.opts.Logger.Info(logging.CallRetried, logging.Fields{
		"request": r.a.ID, "route": r.a.Route.Name, "target": failed.target, "attempt": len(r.tried),
	})
	return true
}

// hedge starts a second attempt beside a late one.
func (r *race) hedge(ctx context.Context) {
	if r.running != 1 || r.sent >= r.a.maxAttempts() {
		return
	}
	if ok, _ := r.s.opts.Budget(r.a.Service.Name).Allow(request.HedgeCall); ok {
		_ = r.launch(ctx) // without another target the first attempt goes on alone
	}
}

// end returns what is told when no good answer came.
func (r *race) end(ctx context.Context) (*attempt, error) {
	mayHaveRun := r.lost || r.failure != nil || r.running > 0
	switch {
	case r.failure != nil:
		return r.failure, nil
	case ctx.Err() != nil:
		return nil, givenUp(ctx, mayHaveRun)
	case mayHaveRun:
		return nil, fault.New(fault.OutcomeUnknown, "no target gave a whole answer")
	default:
		return nil, r.s.noTarget(r.a, r.refused)
	}
}
