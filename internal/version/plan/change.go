// Package plan computes what an operator's changes do to a configuration: the
// items that they read and touch, their effects, and the next configuration.
// The same code runs when a plan is made and when a confirmed plan is applied.
package plan

import (
	"fmt"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Item names one part of the configuration, as "kind/name". A plan's reads and
// the revisions that changed an item are kept by this name.
type Item string

// ServiceItem names a service.
func ServiceItem(name string) Item { return Item("service/" + name) }

// RouteItem names a route. A move that opens, steps or ends does not change it,
// but a move that is done does.
func RouteItem(name string) Item { return Item("route/" + name) }

// TargetItem names a target by its address.
func TargetItem(address string) Item { return Item("target/" + address) }

// TeamItem names a team.
func TeamItem(name string) Item { return Item("team/" + name) }

// MoveItem names the place of the open move on a route. It changes when a move
// opens or ends or an operator acts on it, not with every step.
func MoveItem(route string) Item { return Item("move/" + route) }

// Context is what changes are applied in. Everything in it comes from the
// configuration and the log entry, so that each replica computes the same.
type Context struct {
	Base *config.View
	Now  time.Time
	// MoveID names moves that the changes open; the change's position is appended.
	MoveID   string
	Operator string
	Why      string
}

// Outcome is the result of a list of changes.
type Outcome struct {
	// Next has the revision of the base.
	Next    *config.View
	Reads   []Item
	Touched []Item
	Effects []string
	// Warnings say what may go wrong.
	Warnings []string
	MoveIDs  []string
	// Ended are moves that an action has ended.
	Ended []*chicoryv1.Move
	// Settled are ledger entries to close; they don't belong to the configuration.
	Settled []*chicoryv1.SettleClaim
}

// builder collects the outcome while changes are applied in their order.
type builder struct {
	ctx Context
	out Outcome
	// delta holds the changes so far; view is the configuration with them applied.
	view *config.View
}

// Apply applies the changes in their order and validates the result. Errors are
// of the kinds PlanRejected, InvalidArgument and NotFound.
func Apply(ctx Context, changes []*chicoryv1.Change) (*Outcome, error) {
	if len(changes) == 0 {
		return nil, fault.New(fault.InvalidArgument, "the plan has no changes")
	}
	b := &builder{ctx: ctx, view: ctx.Base}
	for i, c := range changes {
		if err := b.apply(i, c); err != nil {
			return nil, err
		}
	}
	b.warnOfEmptyRoutes()
	b.out.Next = b.view
	if err := config.Validate(b.out.Next); err != nil {
		return nil, err
	}
	return &b.out, nil
}

func (b *builder) apply(i int, c *chicoryv1.Change) error {
	switch x := c.GetChange().(type) {
	case *chicoryv1.Change_PutService:
		return b.putService(x.PutService)
	case *chicoryv1.Change_PutRoute:
		return b.putRoute(x.PutRoute)
	case *chicoryv1.Change_PutTarget:
		return b.putTarget(x.PutTarget)
	case *chicoryv1.Change_PutTeam:
		return b.putTeam(x.PutTeam)
	case *chicoryv1.Change_RemoveService:
		return b.removeService(x.RemoveService)
	case *chicoryv1.Change_RemoveRoute:
		return b.removeRoute(x.RemoveRoute)
	case *chicoryv1.Change_RemoveTarget:
		return b.removeTarget(x.RemoveTarget)
	case *chicoryv1.Change_RemoveTeam:
		return b.removeTeam(x.RemoveTeam)
	case *chicoryv1.Change_StartMove:
		return b.startMove(fmt.Sprintf("%s-%d", b.ctx.MoveID, i), x.StartMove)
	case *chicoryv1.Change_MoveAction:
		return b.actOnMove(x.MoveAction)
	case *chicoryv1.Change_SettleClaim:
		return b.settleClaim(x.SettleClaim)
	}
	return fault.New(fault.InvalidArgument, "change %d is empty", i)
}

// patch applies one delta to the view.
func (b *builder) patch(d *chicoryv1.ConfigurationDelta) {
	if d.Changed == nil {
		d.Changed = &chicoryv1.Configuration{}
	}
	d.Changed.Revision = b.ctx.Base.Revision()
	b.view = config.NewView(config.Patch(b.view.Raw(), d))
}

func (b *builder) read(items ...Item) {
	b.out.Reads = append(b.out.Reads, items...)
}

// touch records items that change; what is changed is also read.
func (b *builder) touch(items ...Item) {
	b.read(items...)
	b.out.Touched = append(b.out.Touched, items...)
}

func (b *builder) effect(format string, args ...any) {
	b.out.Effects = append(b.out.Effects, fmt.Sprintf(format, args...))
}

func (b *builder) warn(format string, args ...any) {
	b.out.Warnings = append(b.out.Warnings, fmt.Sprintf(format, args...))
}
