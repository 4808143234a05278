package feed

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// load is what entry VMs have at one engine, in tokens.
type load struct {
	tokens, unread, backups uint32
}

func loadOf(l *chicoryv1.EngineLoad) load { return load{l.GetTokens(), l.GetUnread(), l.GetBackups()} }

// total is the sum of one engine's loads.
type total struct {
	load
	// version is the board's version at the last change.
	version uint64
}

// sharedLoads is what one entry VM shared last.
type sharedLoads struct {
	loads map[string]load // by engine
	uses  map[string]use  // by service
	at    time.Time
}

// use is what was sent to one service.
type use struct {
	requests, further uint32
}

func newSharedLoads(r *chicoryv1.ShareRequest, now time.Time) sharedLoads {
	s := sharedLoads{loads: map[string]load{}, uses: map[string]use{}, at: now}
	for _, l := range r.GetLoads() {
		s.loads[l.GetAddress()] = loadOf(l)
	}
	for _, u := range r.GetUses() {
		s.uses[u.GetService()] = use{u.GetRequests(), u.GetFurtherAttempts()}
	}
	return s
}

// sums are the totals over all entry VMs. They are kept up to date share by share, so
// that the work of one message doesn't grow with the number of entry VMs.
type sums struct {
	loads map[string]*total // by engine
	uses  map[string]use    // by service
}

func newSums() sums {
	return sums{loads: map[string]*total{}, uses: map[string]use{}}
}

// replace takes out what an entry VM shared before and adds what it shares now. Totals
// that change get the version.
func (s *sums) replace(old, now sharedLoads, version uint64) {
	for address, l := range old.loads {
		if next := now.loads[address]; next != l {
			s.change(address, l, next, version)
		}
	}
	for address, l := range now.loads {
		if _, known := old.loads[address]; !known {
			s.change(address, load{}, l, version)
		}
	}
	for service, u := range old.uses {
		sum := s.uses[service]
		s.uses[service] = use{sum.requests - u.requests, sum.further - u.further}
	}
	for service, u := range now.uses {
		sum := s.uses[service]
		s.uses[service] = use{sum.requests + u.requests, sum.further + u.further}
	}
}

func (s *sums) change(address string, old, now load, version uint64) {
	t := s.loads[address]
	if t == nil {
		t = &total{}
		s.loads[address] = t
	}
	t.tokens += now.tokens - old.tokens
	t.unread += now.unread - old.unread
	t.backups += now.backups - old.backups
	t.version = version
}

// forget drops engines that nobody has had anything at since the version. Followers
// that were told later know that.
func (s *sums) forget(version uint64) {
	for address, t := range s.loads {
		if t.load == (load{}) && t.version < version {
			delete(s.loads, address)
		}
	}
}
