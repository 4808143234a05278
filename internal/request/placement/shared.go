package placement

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// AddPlaces takes in where prompts were read.
func (e *Engines) AddPlaces(places []*chicoryv1.PromptPlace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, p := range places {
		e.places.add(p, now)
	}
}

// SetOthers takes in what the other entry VMs have at engines.
func (e *Engines) SetOthers(loads []*chicoryv1.EngineLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharedAt = time.Now()
	for _, x := range e.byAddress {
		x.shared = nil
	}
	for _, l := range loads {
		if x := e.byAddress[l.GetAddress()]; x != nil {
			x.shared = l
		}
	}
}

// Own returns what this entry VM has at engines, and the places since the last call,
// or all of its latest ones.
func (e *Engines) Own(all bool) (loads []*chicoryv1.EngineLoad, places []*chicoryv1.PromptPlace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, x := range e.byAddress {
		if x.tokens+x.backups+x.prompts > 0 {
			loads = append(loads, &chicoryv1.EngineLoad{
				Address: address, Tokens: uint32(x.tokens + x.backups), Unread: uint32(max(x.prompts, 0)),
			})
		}
	}
	return loads, e.places.takeOwn(all)
}
