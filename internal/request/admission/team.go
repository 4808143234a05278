package admission

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// team has what one team uses of its limits in this router. The admitter's mu
// guards it.
type team struct {
	name        string
	tokens      bucket
	calls       bucket
	generations int
	returns     advice
}

// limits are a team's limits in one router; 0 means no limit.
type limits struct {
	tokensPerSecond float64
	callsPerSecond  float64
	generations     int
	weight          float64
}

// limitsOf divides a team's limits, which are per deployment, by the number of
// live routers. At least one generation is allowed in each, so a limit below
// the number of routers is exceeded.
func limitsOf(t *chicoryv1.Team, routers int) limits {
	n := float64(max(routers, 1))
	l := limits{
		tokensPerSecond: float64(t.GetTokensPerSecond()) / n,
		callsPerSecond:  float64(t.GetCallsPerSecond()) / n,
		weight:          float64(max(t.GetWeight(), 1)),
	}
	if c := t.GetConcurrentGenerations(); c > 0 {
		l.generations = max(int(c)/max(routers, 1), 1)
	}
	return l
}

// isCall reports whether the work is a call; generations have a token limit.
func isCall(w *request.Work) bool { return w.Tokens == 0 }

// reserve takes the work from the team's rate limits, or refuses it.
func (a *Admitter) reserve(t *team, w *request.Work, l limits, now time.Time) error {
	b, n, rate := &t.tokens, reserved(w), l.tokensPerSecond
	if isCall(w) {
		b, rate = &t.calls, l.callsPerSecond
	}
	if rate == 0 {
		return nil
	}
	ok, wait := b.take(now, n, rate, a.burst(rate))
	if ok {
		return nil
	}
	wait = t.returns.wait(now, wait, rate/n, &a.opts.Settings, a.opts.Rand())
	return fault.New(fault.TeamLimit, "team %s is above its limit", t.name).WithRetryAfter(wait)
}

// burst returns what can be saved up at a rate; at least one call.
func (a *Admitter) burst(rate float64) float64 {
	return max(rate*a.opts.Settings.BurstTime.Std().Seconds(), 1)
}

// refund gives back n tokens or calls that the work reserved and did not use; a
// negative n is charged.
func (a *Admitter) refund(t *team, w *request.Work, n float64) {
	if isCall(w) {
		t.calls.level += n
		return
	}
	t.tokens.level += n
}

// reserved returns what reserve took for the work.
func reserved(w *request.Work) float64 {
	if isCall(w) {
		return 1
	}
	return float64(w.Tokens)
}
