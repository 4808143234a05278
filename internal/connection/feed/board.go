package feed

import (
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// loadLifetime is the time for which an entry VM's loads are valid after it shared
	// them. It shares them again well before they expire.
	loadLifetime = 2 * time.Second
	// maxLocations is the number of prompt locations that are kept, all of which are
	// sent to a new follower. They cover a few seconds of a busy deployment.
	maxLocations = 512
	// idleEngineVersions is the number of versions for which the total of an engine
	// without load is kept, so that every follower is told about it. 64 entry VMs
	// produce this many versions in about 15 s, and a follower is updated every 100 ms.
	idleEngineVersions = 10_000
)

// SharedState holds in memory what entry VMs share, for the followers of this control VM.
// It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex            // guards the fields below
	byEntry map[string]entryState // by entry VM
	totals  totals
	// expiryCheckedAt is the time of the last removal of entry VMs that stopped sharing.
	expiryCheckedAt time.Time
	// locations holds the latest prompt locations; firstLocation is the number of the
	// first one.
	locations     []*chicoryv1.PromptPlace
	firstLocation uint64
	// byPrompt holds the latest location of each prompt.
	byPrompt map[string]*chicoryv1.PromptPlace
	// version increases with every change of the loads.
	version uint64
}

// NewSharedState returns an empty SharedState.
func NewBoard() *Board {
	return &Board{byEntry: map[string]entryState{}, totals: newTotals(), byPrompt: map[string]*chicoryv1.PromptPlace{}}
}

// Update replaces the shared loads and usage of one entry VM and adds its prompt
// locations.
func (b *Board) Put(r *chicoryv1.ShareRequest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version++
	next := newEntryState(r, now)
	b.totals.replace(b.byEntry[r.GetEntryId()], next, b.version)
	b.byEntry[r.GetEntryId()] = next
	b.addLocations(r.GetPlaces())
}

// AddPromptLocations adds prompt locations that did not come directly from an entry VM.
func (b *Board) AddPlaces(locations []*chicoryv1.PromptPlace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocations(locations)
}

// addLocations adds the locations that differ from the known ones, and removes the oldest
// beyond maxLocations. The caller holds mu.
func (b *Board) addLocations(locations []*chicoryv1.PromptPlace) {
	for _, p := range locations {
		known := b.byPrompt[p.GetPrompt()]
		if known.GetAddress() == p.GetAddress() && known.GetInstance() == p.GetInstance() {
			continue
		}
		b.byPrompt[p.GetPrompt()] = p
		b.locations = append(b.locations, p)
	}
	excess := len(b.locations) - maxLocations
	if excess <= 0 {
		return
	}
	for _, p := range b.locations[:excess] {
		if b.byPrompt[p.GetPrompt()] == p {
			delete(b.byPrompt, p.GetPrompt())
		}
	}
	b.locations = append([]*chicoryv1.PromptPlace(nil), b.locations[excess:]...)
	b.firstLocation += uint64(excess)
}

// RemoteState is the sum of what all entry VMs except one share.
type Others struct {
	Loads []*chicoryv1.EngineLoad
	Uses  []*chicoryv1.ServiceUse
	// EntryVMs is the number of entry VMs, including the excluded one.
	Entries int
}

// RemoteState returns the sum of what all entry VMs except one share. It contains the
// loads that changed after version since, or all loads if since is 0; a load of all zeros
// means that the engine has no load anymore. The returned version is the since of the
// next call.
func (b *Board) Others(except string, since uint64, now time.Time) (o Others, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	excluded := b.byEntry[except]
	for address, t := range b.totals.loads {
		if t.version <= since {
			continue
		}
		l := excluded.loads[address]
		o.Loads = append(o.Loads, &chicoryv1.EngineLoad{
			Address: address, Tokens: t.tokens - l.tokens, Unread: t.unread - l.unread, Backups: t.backups - l.backups,
		})
	}
	for service, sum := range b.totals.uses {
		u := excluded.uses[service]
		o.Uses = append(o.Uses, &chicoryv1.ServiceUse{
			Service: service, Requests: sum.requests - u.requests, FurtherAttempts: sum.furtherAttempts - u.furtherAttempts,
		})
	}
	o.Entries = len(b.byEntry)
	return o, b.version
}

// removeExpired removes the entry VMs that stopped sharing. The caller holds mu.
func (b *Board) removeExpired(now time.Time) {
	if now.Sub(b.expiryCheckedAt) < ShareInterval {
		return
	}
	b.expiryCheckedAt = now
	for entry, shared := range b.byEntry {
		if now.Sub(shared.sharedAt) > loadLifetime {
			b.version++
			b.totals.replace(shared, entryState{}, b.version)
			delete(b.byEntry, entry)
		}
	}
	if b.version > idleEngineVersions {
		b.totals.removeIdle(b.version - idleEngineVersions)
	}
}

// PromptLocationsSince returns the prompt locations from number next on, and the number
// that follows the last one.
func (b *Board) PlacesSince(next uint64) (locations []*chicoryv1.PromptPlace, after uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	after = b.firstLocation + uint64(len(b.locations))
	next = max(next, b.firstLocation)
	if next >= after {
		return nil, after
	}
	return append([]*chicoryv1.PromptPlace(nil), b.locations[next-b.firstLocation:]...), after
}
