package feed

import (
	"container/list"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// load is the load that entry VMs cause on one engine, in tokens. chicoryv1.EngineLoad
// describes the fields.
type load struct {
	tokens, unread, backups uint32
}

func newLoad(l *chicoryv1.EngineLoad) load { return load{l.GetTokens(), l.GetUnread(), l.GetBackups()} }

// total is the total load of one engine.
type total struct {
	load
	address string
	// version is the version of the shared state at the last change.
	version uint64
	// place is the place of the total in totals.byChange.
	place *list.Element
}

// entryState holds the loads and usage that one entry VM shared last.
type entryState struct {
	loads    map[string]load  // by engine
	uses     map[string]usage // by service
	sharedAt time.Time
}

// usage counts the requests and further attempts sent to one service.
type usage struct {
	requests, furtherAttempts uint32
}

func newEntryState(r *chicoryv1.ShareRequest, now time.Time) entryState {
	s := entryState{loads: map[string]load{}, uses: map[string]usage{}, sharedAt: now}
	for _, l := range r.GetLoads() {
		s.loads[l.GetAddress()] = newLoad(l)
	}
	for _, u := range r.GetUses() {
		s.uses[u.GetService()] = usage{u.GetRequests(), u.GetFurtherAttempts()}
	}
	return s
}

// totals holds the sums over all entry VMs. They are updated incrementally, so that the
// cost of one message does not grow with the number of entry VMs.
type totals struct {
	loads map[string]*total // by engine
	// byChange holds the totals in the order of their last change, the latest first, so that
	// a message costs what has changed and not the number of engines.
	byChange *list.List
	uses     map[string]usage // by service
}

func newTotals() totals {
	return totals{loads: map[string]*total{}, byChange: list.New(), uses: map[string]usage{}}
}

// replace subtracts the previous state of an entry VM and adds its current one. Load
// totals that change get the given version.
func (s *totals) replace(old, current entryState, version uint64) {
	for address, l := range old.loads {
		if next := current.loads[address]; next != l {
			s.adjust(address, l, next, version)
		}
	}
	for address, l := range current.loads {
		if _, known := old.loads[address]; !known {
			s.adjust(address, load{}, l, version)
		}
	}
	for service, u := range old.uses {
		sum := s.uses[service]
		s.uses[service] = usage{sum.requests - u.requests, sum.furtherAttempts - u.furtherAttempts}
	}
	for service, u := range current.uses {
		sum := s.uses[service]
		s.uses[service] = usage{sum.requests + u.requests, sum.furtherAttempts + u.furtherAttempts}
	}
}

func (s *totals) adjust(address string, old, current load, version uint64) {
	t := s.loads[address]
	if t == nil {
		t = &total{address: address}
		t.place = s.byChange.PushFront(t)
		s.loads[address] = t
	}
	t.tokens += current.tokens - old.tokens
	t.unread += current.unread - old.unread
	t.backups += current.backups - old.backups
	t.version = version
	s.byChange.MoveToFront(t.place)
}

// changedSince calls f for each total that changed after a version.
func (s *totals) changedSince(version uint64, f func(*total)) {
	for e := s.byChange.Front(); e != nil; e = e.Next() {
		t := e.Value.(*total)
		if t.version <= version {
			return
		}
		f(t)
	}
}

// removeIdle removes the engines that have had no load since before the given version.
// Followers that were updated since then have received that.
func (s *totals) removeIdle(version uint64) {
	for address, t := range s.loads {
		if t.load == (load{}) && t.version < version {
			s.byChange.Remove(t.place)
			delete(s.loads, address)
		}
	}
}
