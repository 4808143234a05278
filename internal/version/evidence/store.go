package evidence

import (
	"math"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// retention is how long the store keeps a report; the driver reads far more often.
	retention = 2 * time.Minute
	// minRateSpan is the least time from which a rate is told.
	minRateSpan = 10 * time.Second
	// maxStoredCells bounds the store's memory; the oldest reports go first.
	maxStoredCells = 100_000
	// duplicateWindow is how many report identities are remembered for each router.
	duplicateWindow = 64
)

// Cursor is a place in the sequence of reports. The zero cursor is before all.
type Cursor uint64

// Stratum is what was seen of two versions in one availability zone, for one team
// and at one load level, over the same time. Old and New are never nil.
type Stratum struct {
	AvailabilityZone string
	Team             string
	LoadLevel        uint32
	Old, New         *chicoryv1.VersionEvidence
}

// Store keeps the evidence that was reported to one control leader. It belongs to
// one term of leadership: a new leader starts with an empty one.
type Store struct {
	mu      sync.Mutex
	next    Cursor
	reports []report
	cells   int
	seen    map[string][]string // report identities by router, the newest last
}

type report struct {
	cursor   Cursor
	at       time.Time
	evidence []*chicoryv1.VersionEvidence
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{next: 1, seen: make(map[string][]string)}
}

// Add keeps one router's evidence, which the caller must not change afterwards.
// reportID tells the router's reports apart; a report that was added before is
// ignored and Add returns false. An empty reportID is never a duplicate.
func (s *Store) Add(now time.Time, routerID, reportID string, list []*chicoryv1.VersionEvidence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reportID != "" && s.isDuplicate(routerID, reportID) {
		return false
	}
	s.drop(now)
	if len(list) == 0 {
		return true
	}
	s.reports = append(s.reports, report{cursor: s.next, at: now, evidence: list})
	s.next++
	s.cells += len(list)
	return true
}

// isDuplicate remembers reportID and reports whether it was known.
func (s *Store) isDuplicate(routerID, reportID string) bool {
	known := s.seen[routerID]
	for _, id := range known {
		if id == reportID {
			return true
		}
	}
	known = append(known, reportID)
	if len(known) > duplicateWindow {
		known = append([]string(nil), known[len(known)-duplicateWindow:]...)
	}
	s.seen[routerID] = known
	return false
}

// drop removes reports that are too old, and the oldest while there are too many.
func (s *Store) drop(now time.Time) {
	n := 0
	for n < len(s.reports) && (now.Sub(s.reports[n].at) > retention || s.cells > maxStoredCells) {
		s.cells -= len(s.reports[n].evidence)
		n++
	}
	if n > 0 {
		s.reports = append([]report(nil), s.reports[n:]...)
	}
}

// Since compares two versions of a route over the reports after the cursor. It
// returns the cursor to continue from.
func (s *Store) Since(after Cursor, route, from, to string) ([]Stratum, Cursor) {
	return s.Between(after, math.MaxUint64, route, from, to)
}

// Between is Since for the reports up to the cursor until only.
func (s *Store) Between(after, until Cursor, route, from, to string) ([]Stratum, Cursor) {
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

// Rate returns the requests per second of a route over the reports that are kept,
// or 0 when they cover less than minRateSpan.
func (s *Store) Rate(now time.Time, route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(now)
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

// strataBuilder merges evidence of both versions into strata in order of arrival.
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
