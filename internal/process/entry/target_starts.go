package entry

import (
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
)

// removedTargetRetention is how long a target that was removed from the list stays
// excluded even if another feed still lists it. The lag between two feeds is less than
// this.
const removedTargetRetention = 5 * time.Second

// targetStarts decides which starts of targets get new requests. A start that a list showed as
// leaving, or that is missing from one, gets none: another feed may still pass an older list. But a
// target may start again under its address and ID, so a reading that is certainly later than those
// ends the exclusion. A start that has announced in a response that it leaves gets none either, though
// lists show it as ready: those must have shown it otherwise since, or the target must say that it is
// healthy.
type targetStarts struct {
	// listed has the starts in the latest list.
	listed map[feed.TargetInstance]*chicoryv1.ListedTarget
	// excluded has the listed starts that are leaving and those that were removed, for
	// removedTargetRetention.
	excluded map[feed.TargetInstance]*exclusion
}

// exclusion is why a start gets no new requests.
type exclusion struct {
	// shownBy is the latest reading in which the start was leaving or missing; zero if there is none.
	shownBy observe.Reading
	// removedAt is when the start was removed from the list; zero if it is leaving.
	removedAt time.Time
	// announced is nil unless the start has announced that it leaves.
	announced *announcement
}

// endsWith reports whether a reading that shows the start as ready is of a later start.
func (x *exclusion) endsWith(reading observe.Reading) bool {
	return !x.shownBy.Ended.IsZero() && reading.IsAfter(x.shownBy) &&
		(x.announced == nil || reading.Began.Sub(x.announced.lastAt) > maxListLag)
}

func newTargetStarts() targetStarts {
	return targetStarts{listed: map[feed.TargetInstance]*chicoryv1.ListedTarget{}, excluded: map[feed.TargetInstance]*exclusion{}}
}

// listChange counts the target starts that a list adds, removes, newly shows as leaving, shows as
// leaving no longer, or changes otherwise, and the exclusions that end.
type listChange struct{ added, removed, leaving, returned, changed, ended int }

// update applies a list and returns the changes since the previous one. The starts in begun were not in
// use before: what is known of an earlier one under the same address and ID is outdated.
func (s *targetStarts) update(list *chicoryv1.TargetList, reading observe.Reading, now time.Time) (change listChange, begun []feed.TargetInstance) {
	listed := make(map[feed.TargetInstance]*chicoryv1.ListedTarget, len(list.GetTargets()))
	for _, t := range list.GetTargets() {
		start := feed.TargetInstanceOf(t)
		listed[start] = t
		switch previous := s.listed[start]; {
		case previous == nil:
			change.added++
			begun = append(begun, start)
		case previous.GetLeaving() && !t.GetLeaving():
			change.returned++
		case previous != t && !proto.Equal(previous, t):
			change.changed++
		}
		if s.updateListed(start, t.GetLeaving(), reading, &change) {
			begun = append(begun, start)
		}
	}
	for start := range s.listed {
		if listed[start] == nil {
			s.exclude(start, reading).removedAt = now
			change.removed++
		}
	}
	for start, x := range s.excluded {
		if !x.removedAt.IsZero() && now.Sub(x.removedAt) > removedTargetRetention {
			delete(s.excluded, start)
			change.ended++
		}
	}
	s.listed = listed
	return change, begun
}

// updateListed excludes a listed start if it is leaving. It ends the exclusion, and returns true, if it is
// another start than the one that was excluded.
func (s *targetStarts) updateListed(start feed.TargetInstance, leaving bool, reading observe.Reading, change *listChange) (restarted bool) {
	x := s.excluded[start]
	switch {
	case leaving:
		if x == nil {
			change.leaving++
		}
		s.exclude(start, reading).removedAt = time.Time{}
	case x != nil && x.endsWith(reading):
		delete(s.excluded, start)
		change.ended++
		return true
	}
	return false
}

// exclude records that reading shows a start as leaving or missing.
func (s *targetStarts) exclude(start feed.TargetInstance, reading observe.Reading) *exclusion {
	x := s.excluded[start]
	if x == nil {
		x = &exclusion{}
		s.excluded[start] = x
	}
	if reading.Ended.After(x.shownBy.Ended) {
		x.shownBy = reading
	}
	return x
}

// isExcluded reports whether a target gets no new requests while its service has other targets.
func (s *targetStarts) isExcluded(t *chicoryv1.ListedTarget) bool {
	return s.excluded[feed.TargetInstanceOf(t)] != nil
}

// excludedCount returns the number of starts in the latest list that get no new requests.
func (s *targetStarts) excludedCount() int {
	n := 0
	for start := range s.excluded {
		if s.listed[start] != nil {
			n++
		}
	}
	return n
}
