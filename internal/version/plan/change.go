// Package plan computes the result of an operator's changes to a configuration: the items
// that they read and change, their effects, and the next configuration. The same code
// runs when a plan is computed and when a confirmed plan is applied.
package plan

import (
	"fmt"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Item identifies one part of the configuration as "kind/name". It is the key of a plan's
// reads and of the revisions that last changed an item.
type Item string

// ServiceItem identifies a service.
func ServiceItem(name string) Item { return Item("service/" + name) }

// RouteItem identifies a route. A move changes its route only when it is done, not when it
// starts, takes a step or is taken back.
func RouteItem(name string) Item { return Item("route/" + name) }

// TargetItem identifies a target by its address.
func TargetItem(address string) Item { return Item("target/" + address) }

// TeamItem identifies a team.
func TeamItem(name string) Item { return Item("team/" + name) }

// MoveItem identifies the open move of a route. It changes when a move starts or ends or
// an operator acts on it, not with every step.
func MoveItem(route string) Item { return Item("move/" + route) }

// Input is the input of Apply besides the changes. All of it comes from the
// configuration and the log entry, so that every replica computes the same result.
type Input struct {
	Base *config.View
	Now  time.Time
	// MoveID is the prefix of the IDs of started moves; the index of the change is
	// appended.
	MoveID   string
	Operator string
	Why      string
}

// Outcome is the result of a list of changes.
type Outcome struct {
	// Next still has the revision of the base.
	Next    *config.View
	Reads   []Item
	Touched []Item
	Effects []string
	// Warnings describe risks of the changes.
	Warnings []string
	MoveIDs  []string
	// EndedMoves are the moves that an action ended.
	EndedMoves []*chicoryv1.Move
	// SettledClaims are the claims to settle in the call ledger, which isn't part of the
	// configuration.
	SettledClaims []*chicoryv1.SettleClaim
}

// builder accumulates the outcome while changes are applied in order.
type builder struct {
	input Input
	out   Outcome
	// view is the configuration with the changes so far applied.
	view *config.View
}

// Apply applies the changes in order and validates the result. Errors have the kind
// PlanRejected, InvalidArgument or NotFound.
func Apply(input Input, changes []*chicoryv1.Change) (*Outcome, error) {
	if len(changes) == 0 {
		return nil, fault.New(fault.InvalidArgument, "the plan has no changes")
	}
	b := &builder{input: input, view: input.Base}
	for i, c := range changes {
		if err := b.apply(i, c); err != nil {
			return nil, err
		}
	}
	b.warnAboutRoutesWithoutTargets()
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
		return b.startMove(fmt.Sprintf("%s-%d", b.input.MoveID, i), x.StartMove)
	case *chicoryv1.Change_MoveAction:
		return b.applyMoveAction(x.MoveAction)
	case *chicoryv1.Change_SettleClaim:
		return b.settleClaim(x.SettleClaim)
	}
	return fault.New(fault.InvalidArgument, "change %d is empty", i)
}

// patch applies a delta to the view.
func (b *builder) patch(d *chicoryv1.ConfigurationDelta) {
	if d.Changed == nil {
		d.Changed = &chicoryv1.Configuration{}
	}
	d.Changed.Revision = b.input.Base.Revision()
	b.view = config.NewView(config.Patch(b.view.Raw(), d))
}

func (b *builder) addReads(items ...Item) {
	b.out.Reads = append(b.out.Reads, items...)
}

// addTouched records items that are changed and therefore also read.
func (b *builder) addTouched(items ...Item) {
	b.addReads(items...)
	b.out.Touched = append(b.out.Touched, items...)
}

func (b *builder) addEffect(format string, args ...any) {
	b.out.Effects = append(b.out.Effects, fmt.Sprintf(format, args...))
}

func (b *builder) addWarning(format string, args ...any) {
	b.out.Warnings = append(b.out.Warnings, fmt.Sprintf(format, args...))
}
