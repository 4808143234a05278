package feed

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Start is one start of one target.
type Start struct{ Address, Instance string }

// StartOf returns the start that an entry of the list names.
func StartOf(t *chicoryv1.ListedTarget) Start { return Start{t.GetAddress(), t.GetInstance()} }

// targetChange returns what makes one reading of the list of another.
func targetChange(from, to *chicoryv1.TargetList) *chicoryv1.TargetListChange {
	change := &chicoryv1.TargetListChange{}
	left := map[Start]*chicoryv1.ListedTarget{}
	for _, t := range from.GetTargets() {
		left[StartOf(t)] = t
	}
	for _, t := range to.GetTargets() {
		if before, ok := left[StartOf(t)]; !ok || !proto.Equal(before, t) {
			change.Set = append(change.Set, t)
		}
		delete(left, StartOf(t))
	}
	for at := range left {
		change.Gone = append(change.Gone, &chicoryv1.TargetStart{Address: at.Address, Instance: at.Instance})
	}
	return change
}

// applyTargetChange returns the list that a change makes of another one, which stays
// as it is.
func applyTargetChange(list *chicoryv1.TargetList, change *chicoryv1.TargetListChange) *chicoryv1.TargetList {
	replaced := map[Start]*chicoryv1.ListedTarget{}
	for _, t := range change.GetSet() {
		replaced[StartOf(t)] = t
	}
	gone := map[Start]bool{}
	for _, g := range change.GetGone() {
		gone[Start{g.GetAddress(), g.GetInstance()}] = true
	}
	next := &chicoryv1.TargetList{}
	for _, t := range list.GetTargets() {
		at := StartOf(t)
		if r := replaced[at]; r != nil {
			t = r
			delete(replaced, at)
		}
		if !gone[at] {
			next.Targets = append(next.Targets, t)
		}
	}
	for _, t := range change.GetSet() {
		if replaced[StartOf(t)] != nil {
			next.Targets = append(next.Targets, t)
		}
	}
	return next
}

// accumulated is what the messages of one feed have told so far. It is used by one
// goroutine.
type accumulated struct {
	list  *chicoryv1.TargetList
	loads map[string]*chicoryv1.EngineLoad
}

// takeTargets takes in what a message says of the list, and reports whether it changed.
func (a *accumulated) takeTargets(m *chicoryv1.FollowResponse) bool {
	switch {
	case m.GetTargets() != nil:
		a.list = m.GetTargets()
	case m.GetTargetChange() != nil:
		a.list = applyTargetChange(a.list, m.GetTargetChange())
	default:
		return false
	}
	return true
}

// takeLoads takes in what a leader's message says of loads.
func (a *accumulated) takeLoads(m *chicoryv1.FollowResponse) {
	if m.GetLoadsAreWhole() || a.loads == nil {
		a.loads = map[string]*chicoryv1.EngineLoad{}
	}
	for _, l := range m.GetLoads() {
		if loadOf(l) == (load{}) {
			delete(a.loads, l.GetAddress())
			continue
		}
		a.loads[l.GetAddress()] = l
	}
}

func (a *accumulated) loadList() []*chicoryv1.EngineLoad {
	list := make([]*chicoryv1.EngineLoad, 0, len(a.loads))
	for _, l := range a.loads {
		list = append(list, l)
	}
	return list
}
