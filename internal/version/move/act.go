package move

import (
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// maxEvents is the number of events from which operators can only roll a move back.
const maxEvents = 500

// ApplyAction returns the move after an operator's action. It does not modify m. It fails
// with the kind PlanRejected if the move has ended, has maxEvents events or would not
// change.
func ApplyAction(m *chicoryv1.Move, action chicoryv1.MoveActionKind, operator string, now time.Time) (*chicoryv1.Move, error) {
	if Ended(m) {
		return nil, fault.New(fault.PlanRejected, "move %s has ended: %s", m.GetId(), m.GetReason())
	}
	next := proto.Clone(m).(*chicoryv1.Move)
	switch action {
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_TAKE_BACK:
		finish(next, takenBack, now, "taken back by "+operator+"; "+evidenceSummary(next))
		return next, nil
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE:
		next.Paused = true
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_CONTINUE:
		next.Paused = false
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_HASTEN:
		next.Hastened = true
	default:
		return nil, fault.New(fault.InvalidArgument, "unknown action on move %s", m.GetId())
	}
	if next.Paused == m.Paused && next.Hastened == m.Hastened {
		return nil, fault.New(fault.PlanRejected, "move %s is so already", m.GetId())
	}
	if len(next.GetEvents()) >= maxEvents {
		return nil, fault.New(fault.PlanRejected, "move %s had %d events; it can only be taken back", m.GetId(), maxEvents)
	}
	appendEvent(next, now, actionLabels[action]+" by "+operator)
	return next, nil
}

var actionLabels = map[chicoryv1.MoveActionKind]string{
	chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE:    "paused",
	chicoryv1.MoveActionKind_MOVE_ACTION_KIND_CONTINUE: "continued",
	chicoryv1.MoveActionKind_MOVE_ACTION_KIND_HASTEN:   "hastened",
}
