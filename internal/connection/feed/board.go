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
)

// Board keeps what entry VMs share, in memory, for those that follow this control
// VM. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex // guards the fields below
	byEntry map[string]sharedLoads
	// places are the latest ones; the first of them has the number firstPlace.
	places     []*chicoryv1.PromptPlace
	firstPlace uint64
	version    uint64
}

type sharedLoads struct {
	loads []*chicoryv1.EngineLoad
	at    time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{byEntry: map[string]sharedLoads{}}
}

// Put takes in what one entry VM shares.
func (b *Board) Put(r *chicoryv1.ShareRequest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version++
	b.byEntry[r.GetEntryId()] = sharedLoads{loads: r.GetLoads(), at: now}
	b.places = append(b.places, r.GetPlaces()...)
	if over := len(b.places) - placesKept; over > 0 {
		b.places = append([]*chicoryv1.PromptPlace(nil), b.places[over:]...)
		b.firstPlace += uint64(over)
	}
}

// Loads returns the sum of the loads of all entry VMs but one, by engine.
func (b *Board) Loads(except string, now time.Time) []*chicoryv1.EngineLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := map[string]*chicoryv1.EngineLoad{}
	var out []*chicoryv1.EngineLoad
	for entry, shared := range b.byEntry {
		if now.Sub(shared.at) > loadLifetime {
			delete(b.byEntry, entry)
			continue
		}
		if entry == except {
			continue
		}
		for _, l := range shared.loads {
			total := sum[l.GetAddress()]
			if total == nil {
				total = &chicoryv1.EngineLoad{Address: l.GetAddress()}
				sum[l.GetAddress()] = total
				out = append(out, total)
			}
			total.Tokens += l.GetTokens()
			total.Unread += l.GetUnread()
		}
	}
	return out
}

// Version returns a number that grows with each change.
func (b *Board) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
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
