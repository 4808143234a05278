package evidence

import (
	"math"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// retention is how long the store keeps a report. The driver of the moves reads
	// far more often.
	retention = 2 * time.Minute
	// minRateSpan is the shortest period over which a request rate is computed.
	minRateSpan = 10 * time.Second
	// maxStoredEntries bounds the memory of the store. The oldest reports are evicted
	// first.
	maxStoredEntries = 100_000
	// maxRecentIDs is the number of report IDs kept for each router to detect duplicates.
	maxRecentIDs = 64
)

// Cursor is a position in the sequence of reports. The zero cursor is before the
// first report.
type Cursor uint64

// Stratum holds the evidence of two versions over the same period, for one
// availability zone, team and load level. Old and New are never nil.
type Stratum struct {
	AvailabilityZone string
	Team             string
	LoadLevel        uint32
	Old, New         *chicoryv1.VersionEvidence
}

// Store keeps the evidence that routers reported to the control leader. Each term
// of leadership has its own store, which starts empty.
type Store struct {
	mu         sync.Mutex
	next       Cursor
	reports    []report
	entryCount int
	recentIDs  map[string][]string // report IDs by router, the newest last
}

type report struct {
	cursor   Cursor
	at       time.Time
	evidence []*chicoryv1.VersionEvidence
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{next: 1, recentIDs: make(map[string][]string)}
}

// Add stores a router's report; the caller must not modify list afterwards. Add
// ignores a report with an ID that the router has used before, and returns false.
// An empty reportID is never a duplicate.
func (s *Store) Add(now time.Time, routerID, reportID string, list []*chicoryv1.VersionEvidence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reportID != "" && s.checkDuplicate(routerID, reportID) {
		return false
	}
	s.evict(now)
	if len(list) == 0 {
		return true
	}
	s.reports = append(s.reports, report{cursor: s.next, at: now, evidence: list})
	s.next++
	s.entryCount += len(list)
	return true
}

// checkDuplicate reports whether reportID is one of the router's recent ones, and
// records it if not.
func (s *Store) checkDuplicate(routerID, reportID string) bool {
	known := s.recentIDs[routerID]
	for _, id := range known {
		if id == reportID {
			return true
		}
	}
	known = append(known, reportID)
	if len(known) > maxRecentIDs {
		known = append([]string(nil), known[len(known)-maxRecentIDs:]...)
	}
	s.recentIDs[routerID] = known
	return false
}

// evict removes reports older than retention, and the oldest ones while the store
// holds more than maxStoredEntries.
func (s *Store) evict(now time.Time) {
	n := 0
	for n < len(s.reports) && (now.Sub(s.reports[n].at) > retention || s.entryCount > maxStoredEntries) {
		s.entryCount -= len(s.reports[n].evidence)
		n++
	}
	if n > 0 {
		s.reports = append([]report(nil), s.reports[n:]...)
	}
}

// StrataSince returns the evidence of two versions of a route in the reports after
// the cursor, and the cursor to continue from.
func (s *Store) StrataSince(after Cursor, route, from, to string) ([]Stratum, Cursor) {
	return s.StrataBetween(after, math.MaxUint64, route, from, to)
}

// StrataBetween is StrataSince limited to reports up to and including until.
func (s *Store) StrataBetween(after, until Cursor, route, from, to string) ([]Stratum, Cursor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := after
	b := strataBuilder{index: make(map[key]int)}
	for _, r := range s.reports {
		if r.cursor <= after || r.cursor > until {
			continue
		}
		last = r.cursor
		for _, e := range r.evidence {
			if e.GetRoute() == route && (e.GetVersion() == from || e.GetVersion() == to) {
				b.add(e, e.GetVersion() == to)
			}
		}
	}
	return b.strata, last
}

// RequestRate returns the requests per second of a route over the stored reports,
// or 0 if they cover less than minRateSpan.
func (s *Store) RequestRate(now time.Time, route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now)
	if len(s.reports) == 0 {
		return 0
	}
	span := now.Sub(s.reports[0].at)
	if span < minRateSpan {
		return 0
	}
	var n uint64
	for _, r := range s.reports {
		for _, e := range r.evidence {
			if e.GetRoute() == route {
				n += e.GetRequests()
			}
		}
	}
	return float64(n) / span.Seconds()
}

// strataBuilder merges evidence of both versions into strata. The strata are in the
// order in which their labels first appear.
type strataBuilder struct {
	index  map[key]int
	strata []Stratum
}

func (b *strataBuilder) add(e *chicoryv1.VersionEvidence, isNew bool) {
	k := keyOf(e)
	k.version = ""
	i, ok := b.index[k]
	if !ok {
		i = len(b.strata)
		b.index[k] = i
		b.strata = append(b.strata, Stratum{
			AvailabilityZone: k.zone, Team: k.team, LoadLevel: k.loadLevel,
			Old: &chicoryv1.VersionEvidence{}, New: &chicoryv1.VersionEvidence{},
		})
	}
	if isNew {
		Merge(b.strata[i].New, e)
	} else {
		Merge(b.strata[i].Old, e)
	}
}
