// Package burn tells how fast routes spend their error budgets. It counts, from
// the evidence that routers report, the requests that missed an objective, over
// several windows, by route, version and team.
//
// A burn rate of 1 spends the budget exactly over the budget period, which is the
// longest window. Counts are kept in memory by the control leader: a new leader
// starts with empty windows.
package burn

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// Objective names one service-level objective of a route.
type Objective string

// The objectives.
const (
	Availability Objective = "availability"
	FirstToken   Objective = "first_token"
	TokenGap     Objective = "token_gap"
	CallLatency  Objective = "call_latency"
)

var objectives = []Objective{Availability, FirstToken, TokenGap, CallLatency}

// wholeMillipercent is all requests, in thousandths of a percent.
const wholeMillipercent = 100_000

// budget returns the share of requests that may miss the objective, and false
// when the route does not state it.
func (o Objective) budget(in *chicoryv1.Objectives) (float64, bool) {
	must := in.GetLatencyMillipercent()
	if o == Availability {
		must = in.GetAvailabilityMillipercent()
	} else if o.bound(in) == 0 {
		return 0, false
	}
	if must == 0 || must >= wholeMillipercent {
		return 0, false
	}
	return 1 - float64(must)/wholeMillipercent, true
}

// bound returns the latency of the objective; 0 when it has none.
func (o Objective) bound(in *chicoryv1.Objectives) time.Duration {
	var ms uint32
	switch o {
	case FirstToken:
		ms = in.GetFirstTokenMs()
	case TokenGap:
		ms = in.GetTokenGapMs()
	case CallLatency:
		ms = in.GetCallLatencyMs()
	}
	return time.Duration(ms) * time.Millisecond
}

// count is a number of requests and how many of them missed an objective.
type count struct{ requests, bad uint64 }

func (c count) plus(o count) count { return count{c.requests + o.requests, c.bad + o.bad} }

// judge counts e's requests by the objective. A latency is over its bound when its
// whole bucket is; buckets are about 19% wide.
func (o Objective) judge(e *chicoryv1.VersionEvidence, in *chicoryv1.Objectives) count {
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
	return count{evidence.Total(h), evidence.Above(h, evidence.Bucket(o.bound(in)))}
}
