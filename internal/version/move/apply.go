package move

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// ApplyStep returns the move in the replicated state after a step, and whether the step
// was applied. It rejects a step if the move has ended, if the step was computed before
// the latest event, or if it would change the ID, the intent or past events. It does not
// modify the given messages.
func ApplyStep(current *chicoryv1.Move, step *chicoryv1.MoveStep) (*chicoryv1.Move, bool) {
	next := step.GetMove()
	if current == nil || next == nil || Ended(current) {
		return current, false
	}
	if len(current.GetEvents()) != int(step.GetExpectedEvents()) || !isContinuation(current, next) {
		return current, false
	}
	return next, true
}

// isContinuation reports whether next can be a later state of the same move.
func isContinuation(current, next *chicoryv1.Move) bool {
	if current.GetId() != next.GetId() || !proto.Equal(current.GetIntent(), next.GetIntent()) {
		return false
	}
	oldEvents, newEvents := current.GetEvents(), next.GetEvents()
	if len(newEvents) < len(oldEvents) {
		return false
	}
	for i, e := range oldEvents {
		if !proto.Equal(e, newEvents[i]) {
			return false
		}
	}
	sameStage := next.GetState() == current.GetState() && next.GetSharePermille() == current.GetSharePermille()
	return len(newEvents) > len(oldEvents) || sameStage
}
