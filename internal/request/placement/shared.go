package placement

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// AddPromptLocations records prompt locations reported by other entry VMs.
func (e *EngineTable) AddPromptLocations(locations []*chicoryv1.PromptPlace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, p := range locations {
		e.locations.add(p, now)
	}
}

// SetRemoteLoads replaces the loads that the other entry VMs have placed on engines.
func (e *EngineTable) SetRemoteLoads(loads []*chicoryv1.EngineLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	loadsByAddress := make(map[string]*chicoryv1.EngineLoad, len(loads))
	for _, l := range loads {
		loadsByAddress[l.GetAddress()] = l
	}
	placed, freed := 0, false
	for address, x := range e.byAddress {
		if loadsByAddress[address].GetUnread() > x.remoteLoad.GetUnread() {
			placed++
		}
		freed = freed || isLess(loadsByAddress[address], x.remoteLoad)
		x.remoteLoad = loadsByAddress[address]
	}
	if freed {
		e.freedElsewhere()
	}
	e.remoteRate.add(placed, now.Sub(e.remoteLoadsAt))
	e.remoteLoadsAt = now
}

// isLess reports whether some part of a load is less than before.
func isLess(l, before *chicoryv1.EngineLoad) bool {
	return l.GetTokens() < before.GetTokens() || l.GetUnread() < before.GetUnread() || l.GetBackups() < before.GetBackups()
}

const (
	// rateWindow is the approximate window of the moving average of the placement rate.
	rateWindow = 2 * time.Second
	// propagationDelay is the time until a placement is known to the other entry VMs:
	// loads are sent and forwarded every tenth of a second.
	propagationDelay = 150 * time.Millisecond
)

// rate is a moving average of events per second.
type rate float64

// add records the number of events since the previous call.
func (r *rate) add(events int, elapsed time.Duration) {
	weight := min(float64(elapsed)/float64(rateWindow), 1)
	if weight > 0 {
		*r += rate(weight * (float64(events)/elapsed.Seconds() - float64(*r)))
	}
}

// unreportedRuns estimates the number of runs that other entry VMs have placed and that
// are not known here yet. The caller holds mu.
func (e *EngineTable) unreportedRuns() float64 {
	return float64(e.remoteRate) * propagationDelay.Seconds()
}

// LocalState returns the load that this entry VM has placed on engines, and the prompt
// locations added since the previous call, or all of the latest ones if all is set.
func (e *EngineTable) LocalState(all bool) (loads []*chicoryv1.EngineLoad, locations []*chicoryv1.PromptPlace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, x := range e.byAddress {
		if x.runTokens+x.backupTokens+x.unreadTokens > 0 {
			loads = append(loads, &chicoryv1.EngineLoad{
				Address: address, Tokens: uint32(x.runTokens), Unread: uint32(max(x.unreadTokens, 0)), Backups: uint32(x.backupTokens),
			})
		}
	}
	return loads, e.locations.takeUnsent(all)
}
