package placement

import (
	"maps"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// locationTTL is how long an engine is assumed to keep a prompt in its cache; engines
	// evict unused prompts after some seconds.
	locationTTL = 20 * time.Second
	// maxLocations limits the number of recorded locations.
	maxLocations = 4096
	// maxLocalLocations limits the locations that are sent to a new leader.
	maxLocalLocations = 64
)

// location is an engine instance that has processed a prompt.
type location struct {
	address, instance string
	readAt            time.Time
}

// locationTable records which engine last processed each prompt, for the requests of all
// entry VMs. It is guarded by EngineTable.mu.
type locationTable struct {
	byPrompt map[string]location
	// local holds the latest locations that this VM added; the last unsent ones of them
	// have not been shared yet.
	local  []*chicoryv1.PromptPlace
	unsent int
}

func newLocationTable() locationTable {
	return locationTable{byPrompt: map[string]location{}}
}

func (l *locationTable) add(m *chicoryv1.PromptPlace, now time.Time) {
	if len(l.byPrompt) >= maxLocations {
		l.evict(now)
	}
	l.byPrompt[m.GetPrompt()] = location{address: m.GetAddress(), instance: m.GetInstance(), readAt: now}
}

// evict removes expired locations, or all if the table is still full after that.
func (l *locationTable) evict(now time.Time) {
	for prompt, loc := range l.byPrompt {
		if now.Sub(loc.readAt) > locationTTL {
			delete(l.byPrompt, prompt)
		}
	}
	if len(l.byPrompt) >= maxLocations {
		clear(l.byPrompt)
	}
}

// retain removes the locations at the engine instances for which keep returns false.
func (l *locationTable) retain(keep func(address, instance string) bool) {
	maps.DeleteFunc(l.byPrompt, func(_ string, loc location) bool { return !keep(loc.address, loc.instance) })
}

func (l *locationTable) addLocal(prompt string, t *chicoryv1.ListedTarget, now time.Time) {
	m := &chicoryv1.PromptPlace{Prompt: prompt, Address: t.GetAddress(), Instance: t.GetInstance()}
	l.add(m, now)
	l.local = append(l.local, m)
	l.unsent++
	if len(l.local) > maxLocalLocations {
		l.local = append([]*chicoryv1.PromptPlace(nil), l.local[len(l.local)-maxLocalLocations:]...)
		l.unsent = min(l.unsent, maxLocalLocations)
	}
}

// takeUnsent returns the local locations that have not been shared yet, or all of them,
// and marks them as shared.
func (l *locationTable) takeUnsent(all bool) []*chicoryv1.PromptPlace {
	n := l.unsent
	if all {
		n = len(l.local)
	}
	l.unsent = 0
	return append([]*chicoryv1.PromptPlace(nil), l.local[len(l.local)-n:]...)
}

// isKnown reports whether some engine has processed the prompt within locationTTL.
func (l *locationTable) isKnown(prompt string, now time.Time) bool {
	loc, ok := l.byPrompt[prompt]
	return ok && prompt != "" && now.Sub(loc.readAt) < locationTTL
}

// contains reports whether this instance of the engine has processed the prompt within
// locationTTL.
func (l *locationTable) contains(prompt string, t *chicoryv1.ListedTarget, now time.Time) bool {
	loc, ok := l.byPrompt[prompt]
	return ok && prompt != "" && loc.address == t.GetAddress() && loc.instance == t.GetInstance() && now.Sub(loc.readAt) < locationTTL
}
