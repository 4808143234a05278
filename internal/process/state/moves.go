package state

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// applyMoveStep takes a step of an open move if it was decided on the move's
// present state. A step that ends the move takes it out of the configuration,
// and moves the route to the new version when it is done.
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
		m.checkpoint(next)
	default:
		m.swap(m.withMove(next), nil)
	}
	return Result{Stepped: true}
}

// checkpoint keeps the sums of a move's evidence. It is no new revision: nothing
// changes for routers.
func (m *Machine) checkpoint(next *chicoryv1.Move) {
	m.view = m.withMove(next).WithRevision(m.view.Revision(), m.view.Raw().GetClusterId())
}

func (m *Machine) withMove(next *chicoryv1.Move) *config.View {
	return m.patched(&chicoryv1.ConfigurationDelta{
		Changed: &chicoryv1.Configuration{Moves: []*chicoryv1.Move{next}},
	})
}

func (m *Machine) endMove(next *chicoryv1.Move) {
	d := &chicoryv1.ConfigurationDelta{
		Changed:      &chicoryv1.Configuration{},
		RemovedMoves: []string{next.GetId()},
	}
	name := next.GetIntent().GetRoute()
	touched := []plan.Item{plan.MoveItem(name)}
	route := m.view.Route(name)
	if after := move.RouteAfter(route, next); after != route {
		d.Changed.Routes = []*chicoryv1.Route{after}
		touched = append(touched, plan.RouteItem(name))
	}
	m.swap(m.patched(d), touched)
	m.keepEnded([]*chicoryv1.Move{next})
}

func (m *Machine) patched(d *chicoryv1.ConfigurationDelta) *config.View {
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
