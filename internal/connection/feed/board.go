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
	// newest has the last of the places for each prompt.
	newest  map[string]*chicoryv1.PromptPlace
	version uint64
}

type sharedLoads struct {
	loads []*chicoryv1.EngineLoad
	uses  []*chicoryv1.ServiceUse
	at    time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{byEntry: map[string]sharedLoads{}, newest: map[string]*chicoryv1.PromptPlace{}}
}

// Put takes in what one entry VM shares.
func (b *Board) Put(r *chicoryv1.ShareRequest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version++
	b.byEntry[r.GetEntryId()] = sharedLoads{loads: r.GetLoads(), uses: r.GetUses(), at: now}
	b.addPlaces(r.GetPlaces())
}

// AddPlaces takes in places that were not shared by an entry VM directly.
func (b *Board) AddPlaces(places []*chicoryv1.PromptPlace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(places) > 0 {
		b.version++
		b.addPlaces(places)
	}
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

// Others sums up what all entry VMs but one share.
func (b *Board) Others(except string, now time.Time) Others {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := sums{loads: map[string]*chicoryv1.EngineLoad{}, uses: map[string]*chicoryv1.ServiceUse{}}
	for entry, shared := range b.byEntry {
		switch {
		case now.Sub(shared.at) > loadLifetime:
			delete(b.byEntry, entry)
		case entry != except:
			sum.add(shared)
		}
	}
	sum.out.Entries = len(b.byEntry)
	return sum.out
}

// sums adds up by engine and by service.
type sums struct {
	loads map[string]*chicoryv1.EngineLoad
	uses  map[string]*chicoryv1.ServiceUse
	out   Others
}

func (s *sums) add(shared sharedLoads) {
	for _, l := range shared.loads {
		total := s.loads[l.GetAddress()]
		if total == nil {
			total = &chicoryv1.EngineLoad{Address: l.GetAddress()}
			s.loads[l.GetAddress()] = total
			s.out.Loads = append(s.out.Loads, total)
		}
		total.Tokens += l.GetTokens()
		total.Unread += l.GetUnread()
	}
	for _, u := range shared.uses {
		total := s.uses[u.GetService()]
		if total == nil {
			total = &chicoryv1.ServiceUse{Service: u.GetService()}
			s.uses[u.GetService()] = total
			s.out.Uses = append(s.out.Uses, total)
		}
		total.Requests += u.GetRequests()
		total.FurtherAttempts += u.GetFurtherAttempts()
	}
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
