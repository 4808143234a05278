// Package burn computes how fast routes spend the error budgets of their
// service-level objectives. From the evidence that routers report, it counts the
// requests that missed an objective, over several time windows, by route, version and
// team.
//
// A burn rate of 1 spends the budget in exactly the budget period, which is the
// longest window. The control leader keeps the counts in memory only: a new leader
// starts with empty windows.
package burn

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// Objective is the name of a service-level objective of a route.
type Objective string

// The objectives.
const (
	Availability Objective = "availability"
	FirstToken   Objective = "first_token"
	TokenGap     Objective = "token_gap"
	CallLatency  Objective = "call_latency"
)

var objectives = []Objective{Availability, FirstToken, TokenGap, CallLatency}

// fullShareMillipercent is 100% in thousandths of a percent.
const fullShareMillipercent = 100_000

// budget returns the share of requests that may miss the objective. It returns false
// when the route does not set the objective or leaves no budget by requiring 100%.
func (o Objective) budget(route *chicoryv1.Objectives) (float64, bool) {
	required := route.GetLatencyMillipercent()
	if o == Availability {
		required = route.GetAvailabilityMillipercent()
	} else if o.latencyThreshold(route) == 0 {
		return 0, false
	}
	if required == 0 || required >= fullShareMillipercent {
		return 0, false
	}
	return 1 - float64(required)/fullShareMillipercent, true
}

// latencyThreshold returns the latency above which a request misses the objective, or
// 0 when the route sets none.
func (o Objective) latencyThreshold(route *chicoryv1.Objectives) time.Duration {
	var ms uint32
	switch o {
	case FirstToken:
		ms = route.GetFirstTokenMs()
	case TokenGap:
		ms = route.GetTokenGapMs()
	case CallLatency:
		ms = route.GetCallLatencyMs()
	}
	return time.Duration(ms) * time.Millisecond
}

// count holds a number of requests and how many of them missed an objective.
type count struct{ requests, bad uint64 }

func (c count) plus(o count) count { return count{c.requests + o.requests, c.bad + o.bad} }

// countMissed counts the requests in e and those that missed the objective. A latency
// misses it only if its whole histogram bucket is above the threshold; buckets are
// about 19% wide.
func (o Objective) countMissed(e *chicoryv1.VersionEvidence, route *chicoryv1.Objectives) count {
	var h *chicoryv1.Histogram
	switch o {
	case Availability:
		return count{e.GetRequests(), min(e.GetErrors()+e.GetCrossed(), e.GetRequests())}
	case FirstToken:
		h = e.GetFirstToken()
	case TokenGap:
		h = e.GetTokenGap()
	case CallLatency:
		h = e.GetCallLatency()
	}
	return count{evidence.Total(h), evidence.CountAbove(h, evidence.Bucket(o.latencyThreshold(route)))}
}
