package feed

import (
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

const (
	// loadLifetime is the time for which an entry VM's loads are valid after it shared
	// them. It shares them again well before they expire.
	loadLifetime = 2 * time.Second
	// maxLocations is the number of prompt locations that are kept, all of which are
	// sent to a new follower. They cover a few seconds of a busy deployment.
	maxLocations = 512
	// idleEngineVersions is the number of versions for which the total of an engine
	// without load is kept, so that it is sent to every follower. 64 entry VMs
	// produce this many versions in about 15 s, and a follower is updated every 100 ms.
	idleEngineVersions = 10_000
)

// SharedState holds in memory what entry VMs share, for the followers of this control VM.
// It is safe for concurrent use.
type SharedState struct {
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
	// suspects, limits, entryVMs, waiting and speeds have locks of their own.
	suspects *quarantine.Table
	limits   *ratelimit.Allocator
	entryVMs *entryVMList
	waiting  *waitingTable
	speeds   *speed.Board
}

// NewSharedState returns an empty SharedState.
func NewSharedState() *SharedState {
	return &SharedState{
		byEntry:  map[string]entryState{},
		totals:   newTotals(),
		byPrompt: map[string]*chicoryv1.PromptPlace{},
		limits:   ratelimit.NewAllocator(),
		entryVMs: newEntryVMList(),
		waiting:  newWaitingTable(),
		speeds:   speed.NewBoard(),
		suspects: quarantine.NewTable(quarantine.Options{Random: func() float64 { return 0 }}),
	}
}

// Update replaces the shared loads and usage of one entry VM and what other entry VMs know of
// it, and adds its prompt locations, suspect parts, limits and speed estimates.
func (s *SharedState) Update(r *chicoryv1.ShareRequest, now time.Time) {
	s.MergeSuspects(r.GetSuspects(), now)
	s.suspects.GrantTrials(r.GetEntryId(), r.GetSuspects(), now)
	s.limits.Update(r.GetEntryId(), r.GetLimits(), now)
	s.entryVMs.update(r.GetEntryVm(), now)
	s.waiting.update(r.GetEntryId(), r.GetWaiting(), now)
	s.speeds.Merge(r.GetSpeeds(), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	next := newEntryState(r, now)
	s.totals.replace(s.byEntry[r.GetEntryId()], next, s.version)
	s.byEntry[r.GetEntryId()] = next
	s.addLocations(r.GetPlaces())
}

// AddPromptLocations adds prompt locations that did not come directly from an entry VM.
func (s *SharedState) AddPromptLocations(locations []*chicoryv1.PromptPlace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocations(locations)
}

// MergeSuspects adds what entry VMs know about parts of prompts that may crash engines.
func (s *SharedState) MergeSuspects(suspects []*chicoryv1.SuspectPart, now time.Time) {
	s.suspects.Merge(suspects, now)
}

// Quarantined returns the keys of requests that may crash targets and are refused, and a version
// that changes with them.
func (s *SharedState) Quarantined(now time.Time) ([]*chicoryv1.SuspectPart, quarantine.Version) {
	return s.suspects.Quarantined(now)
}

// SuspectsSince returns the suspect parts that changed after version and that several VMs
// may meet, and the version to pass to the next call.
func (s *SharedState) SuspectsSince(version uint64, now time.Time) ([]*chicoryv1.SuspectPart, uint64) {
	return s.suspects.RecurrentChanges(version, now)
}

// addLocations adds the locations that differ from the known ones, and removes the oldest
// beyond maxLocations. The caller holds mu.
func (s *SharedState) addLocations(locations []*chicoryv1.PromptPlace) {
	for _, p := range locations {
		known := s.byPrompt[p.GetPrompt()]
		if known.GetAddress() == p.GetAddress() && known.GetInstance() == p.GetInstance() {
			continue
		}
		s.byPrompt[p.GetPrompt()] = p
		s.locations = append(s.locations, p)
	}
	excess := len(s.locations) - maxLocations
	if excess <= 0 {
		return
	}
	for _, p := range s.locations[:excess] {
		if s.byPrompt[p.GetPrompt()] == p {
			delete(s.byPrompt, p.GetPrompt())
		}
	}
	s.locations = append([]*chicoryv1.PromptPlace(nil), s.locations[excess:]...)
	s.firstLocation += uint64(excess)
}

// RemoteState is the sum of what all entry VMs except one share.
type RemoteState struct {
	Loads []*chicoryv1.EngineLoad
	Uses  []*chicoryv1.ServiceUse
	// Waiting has the streams that wait for engines; only Sink.SetRemoteState gets them.
	Waiting []*chicoryv1.WaitingDemand
	// Limits are the limits of targets that changed, and the permits for the excluded VM.
	Limits []*chicoryv1.TargetLimit
	// Speeds are the speed estimates that changed; only Sink.SetRemoteState gets them.
	Speeds []*chicoryv1.TargetSpeed
	// EntryVMs is the number of entry VMs, including the excluded one.
	EntryVMs int
	// Peers are the other entry VMs by ID; only Sink.SetRemoteState gets them. They don't
	// include VMs of earlier releases.
	Peers []Peer
}

// RemoteState returns the sum of what all entry VMs except one share. It contains the
// loads that changed after version since, or all loads if since is 0; a load of all zeros
// means that the engine has no load anymore. The returned version is the since of the
// next call.
func (s *SharedState) RemoteState(except string, since uint64, now time.Time) (o RemoteState, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	excluded := s.byEntry[except]
	s.totals.changedSince(since, func(t *total) {
		l := excluded.loads[t.address]
		o.Loads = append(o.Loads, &chicoryv1.EngineLoad{
			Address: t.address, Tokens: t.tokens - l.tokens, Unread: t.unread - l.unread, Backups: t.backups - l.backups,
		})
	})
	for service, sum := range s.totals.uses {
		u := excluded.uses[service]
		o.Uses = append(o.Uses, &chicoryv1.ServiceUse{
			Service: service, Requests: sum.requests - u.requests, FurtherAttempts: sum.furtherAttempts - u.furtherAttempts,
		})
	}
	o.EntryVMs = len(s.byEntry)
	return o, s.version
}

// removeExpired removes the entry VMs that stopped sharing. The caller holds mu.
func (s *SharedState) removeExpired(now time.Time) {
	if now.Sub(s.expiryCheckedAt) < ShareInterval {
		return
	}
	s.expiryCheckedAt = now
	for entry, shared := range s.byEntry {
		if now.Sub(shared.sharedAt) > loadLifetime {
			s.version++
			s.totals.replace(shared, entryState{}, s.version)
			delete(s.byEntry, entry)
		}
	}
	if s.version > idleEngineVersions {
		s.totals.removeIdle(s.version - idleEngineVersions)
	}
}

// PromptLocationsSince returns the prompt locations from number next on, and the number
// that follows the last one.
func (s *SharedState) PromptLocationsSince(next uint64) (locations []*chicoryv1.PromptPlace, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after = s.firstLocation + uint64(len(s.locations))
	next = max(next, s.firstLocation)
	if next >= after {
		return nil, after
	}
	return append([]*chicoryv1.PromptPlace(nil), s.locations[next-s.firstLocation:]...), after
}
