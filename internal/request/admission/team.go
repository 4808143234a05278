package admission

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// team is the state of one team's limits in this router. The admitter's mu guards
// it.
type team struct {
	name   string
	tokens tokenBucket
	calls  tokenBucket
	// generations is the number of running generations in all pools.
	generations int
	retryPacer  retryPacer
}

// limits holds a team's limits in one router; 0 means no limit.
type limits struct {
	tokensPerSecond float64
	callsPerSecond  float64
	generations     int
	weight          float64
}

// perRouterLimits divides a team's limits, which apply to the whole deployment, by
// the number of live routers. Each router allows at least one generation, so a limit
// of concurrent generations below the number of routers may be exceeded.
func perRouterLimits(t *chicoryv1.Team, routers int) limits {
	n := float64(max(routers, 1))
	lim := limits{
		tokensPerSecond: float64(t.GetTokensPerSecond()) / n,
		callsPerSecond:  float64(t.GetCallsPerSecond()) / n,
		weight:          float64(max(t.GetWeight(), 1)),
	}
	if c := t.GetConcurrentGenerations(); c > 0 {
		lim.generations = max(int(c)/max(routers, 1), 1)
	}
	return lim
}

// isCall reports whether w is a call. Generations always have a token limit.
func isCall(w *request.Work) bool { return w.Tokens == 0 }

// takeRateLimit charges w to the team's rate limit, or returns a TeamLimit error.
func (a *Admitter) takeRateLimit(t *team, w *request.Work, lim limits, now time.Time) error {
	limiter, cost, rate := &t.tokens, rateLimitCost(w), lim.tokensPerSecond
	if isCall(w) {
		limiter, rate = &t.calls, lim.callsPerSecond
	}
	if rate == 0 {
		return nil
	}
	ok, wait := limiter.take(now, cost, rate, a.burst(rate))
	if ok {
		return nil
	}
	wait = t.retryPacer.delay(now, wait, rate/cost, &a.opts.Settings, a.opts.Rand())
	return fault.New(fault.TeamLimit, "team %s is above its limit", t.name).WithRetryAfter(wait)
}

// burst returns the token bucket size for a rate, at least 1 so that a call fits.
func (a *Admitter) burst(rate float64) float64 {
	return max(rate*a.opts.Settings.BurstTime.Std().Seconds(), 1)
}

// refund returns n tokens or calls that w reserved but did not use to the team's rate
// limit; a negative n is charged.
func (a *Admitter) refund(t *team, w *request.Work, n float64) {
	if isCall(w) {
		t.calls.level += n
		return
	}
	t.tokens.level += n
}

// rateLimitCost returns the number of tokens or calls that takeRateLimit charges for
// w.
func rateLimitCost(w *request.Work) float64 {
	if isCall(w) {
		return 1
	}
	return float64(w.Tokens)
}
