package state

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// applyMoveStep applies a step to an open move if the step was decided on the move's
// current state. A step that ends the move removes it from the configuration and, if
// the move is done, switches the route to the new version.
func (m *Machine) applyMoveStep(step *chicoryv1.MoveStep) Result {
	current := m.openMove(step.GetMove().GetId())
	if current == nil {
		return Result{}
	}
	next, ok := move.ApplyStep(current, step)
	if !ok {
		return Result{}
	}
	switch {
	case move.Ended(next):
		m.endMove(next)
	case len(next.GetEvents()) == len(current.GetEvents()):
		m.checkpointMove(next)
	default:
		m.publish(m.viewWithMove(next), nil)
	}
	return Result{MoveStepApplied: true}
}

// checkpointMove stores the sums of a move's evidence. It creates no new revision,
// because nothing changes for routers.
func (m *Machine) checkpointMove(next *chicoryv1.Move) {
	m.view = m.viewWithMove(next).WithRevision(m.view.Revision(), m.view.Raw().GetClusterId())
}

func (m *Machine) viewWithMove(next *chicoryv1.Move) *config.View {
	return m.viewWithDelta(&chicoryv1.ConfigurationDelta{
		Changed: &chicoryv1.Configuration{Moves: []*chicoryv1.Move{next}},
	})
}

func (m *Machine) endMove(next *chicoryv1.Move) {
	d := &chicoryv1.ConfigurationDelta{
		Changed:      &chicoryv1.Configuration{},
		RemovedMoves: []string{next.GetId()},
	}
	name := next.GetIntent().GetRoute()
	changedItems := []plan.Item{plan.MoveItem(name)}
	route := m.view.Route(name)
	if after := move.RouteAfter(route, next); after != route {
		d.Changed.Routes = []*chicoryv1.Route{after}
		changedItems = append(changedItems, plan.RouteItem(name))
	}
	m.publish(m.viewWithDelta(d), changedItems)
	m.appendEndedMoves([]*chicoryv1.Move{next})
}

func (m *Machine) viewWithDelta(d *chicoryv1.ConfigurationDelta) *config.View {
	return config.NewView(config.Patch(m.view.Raw(), d))
}

func (m *Machine) openMove(id string) *chicoryv1.Move {
	for _, o := range m.view.Raw().GetMoves() {
		if o.GetId() == id {
			return o
		}
	}
	return nil
}
