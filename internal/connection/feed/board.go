package feed

import (
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// loadLifetime is how long an entry VM's loads count after it shared them; it
	// shares them again well before.
	loadLifetime = 2 * time.Second
	// placesKept is the number of places that a follower that begins anew is told. It
	// covers some seconds of a busy deployment.
	placesKept = 512
	// versionsKept is how many versions an engine without loads is kept for: 64 entry VMs
	// make that many in some 15 s, and a follower asks each tenth of a second.
	versionsKept = 10_000
)

// Board keeps what entry VMs share, in memory, for those that follow this control
// VM. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex // guards the fields below
	byEntry map[string]sharedLoads
	sums    sums
	// sweptAt is when entry VMs that share no longer were looked for.
	sweptAt time.Time
	// places are the latest ones; the first of them has the number firstPlace.
	places     []*chicoryv1.PromptPlace
	firstPlace uint64
	// newest has the last of the places for each prompt.
	newest map[string]*chicoryv1.PromptPlace
	// version grows with each change of loads.
	version uint64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{byEntry: map[string]sharedLoads{}, sums: newSums(), newest: map[string]*chicoryv1.PromptPlace{}}
}

// Put takes in what one entry VM shares.
func (b *Board) Put(r *chicoryv1.ShareRequest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version++
	next := newSharedLoads(r, now)
	b.sums.replace(b.byEntry[r.GetEntryId()], next, b.version)
	b.byEntry[r.GetEntryId()] = next
	b.addPlaces(r.GetPlaces())
}

// AddPlaces takes in places that were not shared by an entry VM directly.
func (b *Board) AddPlaces(places []*chicoryv1.PromptPlace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPlaces(places)
}

// addPlaces adds the places that say something new, and drops the oldest when there
// are too many. The caller holds mu.
func (b *Board) addPlaces(places []*chicoryv1.PromptPlace) {
	for _, p := range places {
		known := b.newest[p.GetPrompt()]
		if known.GetAddress() == p.GetAddress() && known.GetInstance() == p.GetInstance() {
			continue
		}
		b.newest[p.GetPrompt()] = p
		b.places = append(b.places, p)
	}
	over := len(b.places) - placesKept
	if over <= 0 {
		return
	}
	for _, p := range b.places[:over] {
		if b.newest[p.GetPrompt()] == p {
			delete(b.newest, p.GetPrompt())
		}
	}
	b.places = append([]*chicoryv1.PromptPlace(nil), b.places[over:]...)
	b.firstPlace += uint64(over)
}

// Others is the sum of what all entry VMs but one share.
type Others struct {
	Loads []*chicoryv1.EngineLoad
	Uses  []*chicoryv1.ServiceUse
	// Entries counts the entry VMs, the one left out included.
	Entries int
}

// Others sums up what all entry VMs but one share: of the loads, those that changed
// after the version since, 0 for all of them; one that is 0 throughout is gone. It returns
// the version to ask with the next time.
func (b *Board) Others(except string, since uint64, now time.Time) (o Others, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	own := b.byEntry[except]
	for address, t := range b.sums.loads {
		if t.version <= since {
			continue
		}
		mine := own.loads[address]
		o.Loads = append(o.Loads, &chicoryv1.EngineLoad{
			Address: address, Tokens: t.tokens - mine.tokens, Unread: t.unread - mine.unread, Backups: t.backups - mine.backups,
		})
	}
	for service, sum := range b.sums.uses {
		mine := own.uses[service]
		o.Uses = append(o.Uses, &chicoryv1.ServiceUse{
			Service: service, Requests: sum.requests - mine.requests, FurtherAttempts: sum.further - mine.further,
		})
	}
	o.Entries = len(b.byEntry)
	return o, b.version
}

// sweep takes out entry VMs that share no longer. The caller holds mu.
func (b *Board) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < ShareInterval {
		return
	}
	b.sweptAt = now
	for entry, shared := range b.byEntry {
		if now.Sub(shared.at) > loadLifetime {
			b.version++
			b.sums.replace(shared, sharedLoads{}, b.version)
			delete(b.byEntry, entry)
		}
	}
	if b.version > versionsKept {
		b.sums.forget(b.version - versionsKept)
	}
}

// PlacesSince returns the places with the number next and later ones, and the number
// after them.
func (b *Board) PlacesSince(next uint64) (places []*chicoryv1.PromptPlace, after uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	after = b.firstPlace + uint64(len(b.places))
	next = max(next, b.firstPlace)
	if next >= after {
		return nil, after
	}
	return append([]*chicoryv1.PromptPlace(nil), b.places[next-b.firstPlace:]...), after
}
