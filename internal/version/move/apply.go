package move

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// ApplyStep returns the move that the replicated state holds after a step, and
// whether the step was applied. A step is refused when the move has ended, when
// another event came in between, or when it would change what is fixed: identity,
// intent and past events. The messages given are not modified.
func ApplyStep(current *chicoryv1.Move, step *chicoryv1.MoveStep) (*chicoryv1.Move, bool) {
	next := step.GetMove()
	if current == nil || next == nil || Ended(current) {
		return current, false
	}
	if len(current.GetEvents()) != int(step.GetExpectedEvents()) || !continues(current, next) {
		return current, false
	}
	return next, true
}

// continues reports whether next is a later state of the same move.
func continues(current, next *chicoryv1.Move) bool {
	if current.GetId() != next.GetId() || !proto.Equal(current.GetIntent(), next.GetIntent()) {
		return false
	}
	before, after := current.GetEvents(), next.GetEvents()
	if len(after) < len(before) {
		return false
	}
	for i, e := range before {
		if !proto.Equal(e, after[i]) {
			return false
		}
	}
	sameStage := next.GetState() == current.GetState() && next.GetSharePermille() == current.GetSharePermille()
	return len(after) > len(before) || sameStage
}
