// Package move decides the life of a move between two versions of a route: a
// small capped share until the new version is proved, growing shares planned
// backwards from the deadline, a watch at full share, and one end, done or taken
// back, with its reason. All state is in the Move message, so that any control
// leader continues where the last one stopped.
package move

import (
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// Short names of the states.
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

// New returns a planned move. The intent's zero values are replaced by the
// defaults of the route, and a cap above the route's largest is lowered to it.
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

func withDefaults(in *chicoryv1.MoveIntent, route *chicoryv1.Route) *chicoryv1.MoveIntent {
	out := proto.Clone(in).(*chicoryv1.MoveIntent)
	largest, usual := uint32(MaxCapPermille), uint32(DefaultCapPermille)
	if route.GetNonIdempotent() {
		largest, usual = NonIdempotentMaxCapPermille, NonIdempotentDefaultCapPermille
	}
	if out.CapPermille == 0 {
		out.CapPermille = usual
	}
	out.CapPermille = min(out.CapPermille, largest)
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

// Ended reports whether m is done or taken back.
func Ended(m *chicoryv1.Move) bool {
	return m.GetState() == done || m.GetState() == takenBack
}

// RouteAfter returns the route as it is once m has its present state: with the
// new version if m is done, else unchanged. The given route is not modified.
func RouteAfter(route *chicoryv1.Route, m *chicoryv1.Move) *chicoryv1.Route {
	if m.GetState() != done {
		return route
	}
	out := proto.Clone(route).(*chicoryv1.Route)
	out.Version = m.GetIntent().GetTo()
	return out
}

// enter changes state and share, and records why.
func enter(m *chicoryv1.Move, state chicoryv1.MoveState, share uint32, now time.Time, reason string) {
	m.State, m.SharePermille = state, share
	m.StageSinceUnixMs, m.StageRequests = now.UnixMilli(), 0
	appendEvent(m, now, reason)
}

// end ends m once; the reason is kept with the move.
func end(m *chicoryv1.Move, state chicoryv1.MoveState, now time.Time, reason string) {
	share := uint32(0)
	if state == done {
		share = permille
	}
	m.Reason, m.EndedUnixMs, m.Paused = reason, now.UnixMilli(), false
	m.PolicyState = nil
	enter(m, state, share, now, reason)
}

func appendEvent(m *chicoryv1.Move, now time.Time, reason string) {
	m.Events = append(m.Events, &chicoryv1.MoveEvent{
		UnixMs: now.UnixMilli(), State: m.GetState(), SharePermille: m.GetSharePermille(), Reason: reason,
	})
}
