package plan

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
)

func (b *builder) startMove(id string, in *chicoryv1.MoveIntent) error {
	route := b.view.Route(in.GetRoute())
	if route == nil {
		return fault.New(fault.NotFound, "there is no route %q", in.GetRoute())
	}
	b.addReads(RouteItem(route.GetName()), ServiceItem(route.GetService()))
	b.addTouched(MoveItem(route.GetName()))
	if !b.hasTarget(route.GetService(), in.GetTo()) {
		return fault.New(fault.PlanRejected, "service %s has no target of version %s", route.GetService(), in.GetTo())
	}
	if b.view.Move(route.GetName()) != nil {
		return fault.New(fault.PlanRejected, "route %s has an open move already", route.GetName())
	}
	effects, warnings, err := move.Plan(in, route, b.input.Now, in.GetExpectedRate())
	if err != nil {
		return err
	}
	b.out.Effects = append(b.out.Effects, effects...)
	b.out.Warnings = append(b.out.Warnings, warnings...)
	b.out.MoveIDs = append(b.out.MoveIDs, id)
	m := move.New(id, in, route, b.input.Operator, b.input.Why, b.input.Now)
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Moves: []*chicoryv1.Move{m}}})
	return nil
}

func (b *builder) applyMoveAction(a *chicoryv1.MoveAction) error {
	m := findMove(b.view.Raw().GetMoves(), a.GetMoveId())
	if m == nil {
		return fault.New(fault.NotFound, "there is no open move %q", a.GetMoveId())
	}
	b.addTouched(MoveItem(m.GetIntent().GetRoute()))
	next, err := move.ApplyAction(m, a.GetKind(), b.input.Operator, b.input.Now)
	if err != nil {
		return err
	}
	b.addEffect("move %s of route %s: %s", m.GetId(), m.GetIntent().GetRoute(), actionName(a.GetKind()))
	if move.Ended(next) {
		b.out.EndedMoves = append(b.out.EndedMoves, next)
		b.patch(&chicoryv1.ConfigurationDelta{RemovedMoves: []string{next.GetId()}})
		return nil
	}
	b.patch(&chicoryv1.ConfigurationDelta{Changed: &chicoryv1.Configuration{Moves: []*chicoryv1.Move{next}}})
	return nil
}

func findMove(moves []*chicoryv1.Move, id string) *chicoryv1.Move {
	for _, m := range moves {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func actionName(k chicoryv1.MoveActionKind) string {
	switch k {
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE:
		return "pause: the share stays as it is"
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_CONTINUE:
		return "continue"
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_HASTEN:
		return "hasten: grow as fast as the evidence allows"
	case chicoryv1.MoveActionKind_MOVE_ACTION_KIND_TAKE_BACK:
		return "take back: all new work goes to the old version"
	}
	return "unknown action"
}
