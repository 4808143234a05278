package feed

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
)

// TargetInstance identifies one run of a target, from one start to the next.
type TargetInstance struct{ Address, Instance string }

// TargetInstanceOf returns the target instance of a list entry.
func TargetInstanceOf(t *chicoryv1.ListedTarget) TargetInstance {
	return TargetInstance{t.GetAddress(), t.GetInstance()}
}

// diffTargetLists returns the change that turns one version of the list into another.
func diffTargetLists(from, to *chicoryv1.TargetList) *chicoryv1.TargetListChange {
	change := &chicoryv1.TargetListChange{}
	remaining := map[TargetInstance]*chicoryv1.ListedTarget{}
	for _, t := range from.GetTargets() {
		remaining[TargetInstanceOf(t)] = t
	}
	for _, t := range to.GetTargets() {
		if previous, ok := remaining[TargetInstanceOf(t)]; !ok || !proto.Equal(previous, t) {
			change.Set = append(change.Set, t)
		}
		delete(remaining, TargetInstanceOf(t))
	}
	for instance := range remaining {
		change.Gone = append(change.Gone, &chicoryv1.TargetStart{Address: instance.Address, Instance: instance.Instance})
	}
	return change
}

// listChanges holds the last change of the list, which is the same for all followers. Computed
// for each, the changes of a list of thousands of targets take a small VM longer than its
// followers wait for a message.
type listChanges struct {
	mu       sync.Mutex // guards the fields below
	from, to *chicoryv1.TargetList
	change   *chicoryv1.TargetListChange
}

// between returns the change from one version of the list to another. Neither may be modified
// afterwards.
func (c *listChanges) between(from, to *chicoryv1.TargetList) *chicoryv1.TargetListChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.from != from || c.to != to {
		c.from, c.to, c.change = from, to, diffTargetLists(from, to)
	}
	return c.change
}

// applyTargetChange returns the result of applying change to list, which is not modified.
func applyTargetChange(list *chicoryv1.TargetList, change *chicoryv1.TargetListChange) *chicoryv1.TargetList {
	updated := map[TargetInstance]*chicoryv1.ListedTarget{}
	for _, t := range change.GetSet() {
		updated[TargetInstanceOf(t)] = t
	}
	gone := map[TargetInstance]bool{}
	for _, g := range change.GetGone() {
		gone[TargetInstance{g.GetAddress(), g.GetInstance()}] = true
	}
	next := &chicoryv1.TargetList{}
	for _, t := range list.GetTargets() {
		instance := TargetInstanceOf(t)
		if u := updated[instance]; u != nil {
			t = u
			delete(updated, instance)
		}
		if !gone[instance] {
			next.Targets = append(next.Targets, t)
		}
	}
	for _, t := range change.GetSet() {
		if updated[TargetInstanceOf(t)] != nil {
			next.Targets = append(next.Targets, t)
		}
	}
	return next
}

// feedState is the state accumulated from the messages of one feed. It is used by a
// single goroutine.
type feedState struct {
	list *chicoryv1.TargetList
	// reading is when list was read, by clock.
	reading observe.Reading
	clock   feedClock
	loads   map[string]*chicoryv1.EngineLoad
	engines engineAddresses
	// leader is the leader according to the last message that named one.
	leader string
	// peers holds the entry VMs that a leader named, by ID; nil before it named any.
	peers map[string]Peer
	// peersCompleteAt is the time at which every entry VM must have shared with that leader.
	peersCompleteAt time.Time
}

// applyTargets updates the target list and its reading from a message that is received at now, and
// reports whether the list is complete and either of them has changed.
func (s *feedState) applyTargets(m *chicoryv1.FollowResponse, now time.Time) bool {
	changed := true
	switch {
	case m.GetTargets() != nil:
		s.list = m.GetTargets()
	case m.GetTargetChange() != nil:
		s.list = applyTargetChange(s.list, m.GetTargetChange())
	default:
		changed = false
	}
	if m.GetListContinues() || s.list == nil {
		return false
	}
	return s.applyReading(m, changed, now) || changed
}

// applyReading updates the reading of the list, and reports whether it is another one. Control VMs of
// earlier releases send the age of a recent reading only.
func (s *feedState) applyReading(m *chicoryv1.FollowResponse, listChanged bool, now time.Time) bool {
	if r := m.GetListReading(); r != nil {
		began := s.clock.received(r.GetSentMs(), now).Add(time.Duration(r.GetBeganMs()) * time.Millisecond)
		s.reading = observe.Reading{Began: began, Ended: began.Add(time.Duration(r.GetDurationMs()) * time.Millisecond)}
		return true
	}
	if !m.GetListIsFresh() || !s.clock.began.IsZero() {
		return false
	}
	began := now.Add(-time.Duration(m.GetListAgeMs()) * time.Millisecond)
	if !listChanged && began.Sub(s.reading.Began) < observe.ListReadInterval/2 {
		return false
	}
	s.reading = observe.Reading{Began: began, Ended: now}
	return true
}

// applyLoads updates the loads from a message of the leader. It fails if a load has a number
// that the feed has not defined.
func (s *feedState) applyLoads(m *chicoryv1.FollowResponse) error {
	if m.GetLoadsAreWhole() || s.loads == nil {
		s.loads, s.engines = map[string]*chicoryv1.EngineLoad{}, engineAddresses{}
	}
	for _, l := range m.GetLoads() {
		if err := s.engines.complete(l); err != nil {
			return err
		}
		if newLoad(l) == (load{}) {
			delete(s.loads, l.GetAddress())
			continue
		}
		s.loads[l.GetAddress()] = l
	}
	return nil
}

func (s *feedState) loadList() []*chicoryv1.EngineLoad {
	list := make([]*chicoryv1.EngineLoad, 0, len(s.loads))
	for _, l := range s.loads {
		list = append(list, l)
	}
	return list
}
