// Package move implements moves: progressive rollouts of a new version on a route.
//
// The new version gets a small, capped share of the traffic until it is proved good
// enough. Its share then grows in steps, planned backwards from the deadline, up to the
// full share, at which it is watched for a while. A move ends exactly once, as done or
// taken back (rolled back to the old version), and records the reason. All its state is
// in the Move message, so that a new control leader continues where the last one stopped.
package move

import (
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// Short names for the states of a move.
const (
	planned   = chicoryv1.MoveState_MOVE_STATE_PLANNED
	proving   = chicoryv1.MoveState_MOVE_STATE_PROVING
	growing   = chicoryv1.MoveState_MOVE_STATE_GROWING
	watching  = chicoryv1.MoveState_MOVE_STATE_WATCHING
	done      = chicoryv1.MoveState_MOVE_STATE_DONE
	takenBack = chicoryv1.MoveState_MOVE_STATE_TAKEN_BACK
)

const (
	defaultErrorPermille  = 20
	defaultLatencyPercent = 150
)

// New returns a move in state planned. It replaces zero values in the intent by the
// defaults for the route, and lowers the cap to the route's maximum.
func New(id string, in *chicoryv1.MoveIntent, route *chicoryv1.Route, operator, why string, now time.Time) *chicoryv1.Move {
	m := &chicoryv1.Move{
		Id: id, Intent: withDefaults(in, route), State: planned, Operator: operator, Why: why,
		StageSinceUnixMs: now.UnixMilli(),
		OldEvidence:      &chicoryv1.VersionEvidence{Route: in.GetRoute(), Version: in.GetFrom()},
		NewEvidence:      &chicoryv1.VersionEvidence{Route: in.GetRoute(), Version: in.GetTo()},
	}
	appendEvent(m, now, "confirmed by "+operator)
	return m
}

// withDefaults returns a copy of the intent as New describes it.
func withDefaults(in *chicoryv1.MoveIntent, route *chicoryv1.Route) *chicoryv1.MoveIntent {
	out := proto.Clone(in).(*chicoryv1.MoveIntent)
	maxCap, defaultCap := uint32(MaxCapPermille), uint32(DefaultCapPermille)
	if route.GetNonIdempotent() {
		maxCap, defaultCap = NonIdempotentMaxCapPermille, NonIdempotentDefaultCapPermille
	}
	if out.CapPermille == 0 {
		out.CapPermille = defaultCap
	}
	out.CapPermille = min(out.CapPermille, maxCap)
	if out.BadErrorPermille == 0 {
		out.BadErrorPermille = defaultErrorPermille
	}
	if out.BadLatencyPercent == 0 {
		out.BadLatencyPercent = defaultLatencyPercent
	}
	return out
}

func limitsOf(in *chicoryv1.MoveIntent) policy.Limits {
	return policy.Limits{
		ErrorIncrease: float64(in.GetBadErrorPermille()) / permille,
		LatencyFactor: float64(in.GetBadLatencyPercent()) / percent,
	}
}

const percent = 100

// Ended reports whether m is done or rolled back.
func Ended(m *chicoryv1.Move) bool {
	return m.GetState() == done || m.GetState() == takenBack
}

// RouteAfter returns the route as the state of m requires it: a copy with the new
// version if m is done, else the route itself. It does not modify the given route.
func RouteAfter(route *chicoryv1.Route, m *chicoryv1.Move) *chicoryv1.Route {
	if m.GetState() != done {
		return route
	}
	out := proto.Clone(route).(*chicoryv1.Route)
	out.Version = m.GetIntent().GetTo()
	return out
}

// transition sets the state and the traffic share of m, and appends an event with the
// reason.
func transition(m *chicoryv1.Move, state chicoryv1.MoveState, share uint32, now time.Time, reason string) {
	m.State, m.SharePermille = state, share
	m.StageSinceUnixMs, m.StageRequests = now.UnixMilli(), 0
	appendEvent(m, now, reason)
}

// finish ends m in the state done or takenBack and records the reason.
func finish(m *chicoryv1.Move, state chicoryv1.MoveState, now time.Time, reason string) {
	share := uint32(0)
	if state == done {
		share = permille
	}
	m.Reason, m.EndedUnixMs, m.Paused = reason, now.UnixMilli(), false
	m.PolicyState = nil
	transition(m, state, share, now, reason)
}

// appendEvent appends an event with the current state and share of m.
func appendEvent(m *chicoryv1.Move, now time.Time, reason string) {
	m.Events = append(m.Events, &chicoryv1.MoveEvent{
		UnixMs: now.UnixMilli(), State: m.GetState(), SharePermille: m.GetSharePermille(), Reason: reason,
	})
}
