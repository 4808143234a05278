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
	now := time.Now()
	told := make(map[string]*chicoryv1.EngineLoad, len(loads))
	for _, l := range loads {
		told[l.GetAddress()] = l
	}
	placed := 0
	for address, x := range e.byAddress {
		if told[address].GetUnread() > x.shared.GetUnread() {
			placed++
		}
		x.shared = told[address]
	}
	e.othersRate.add(placed, now.Sub(e.sharedAt))
	e.sharedAt = now
}

const (
	// rateMemory is how far back the rate of placements is remembered, about.
	rateMemory = 2 * time.Second
	// tellingTime is how long it takes until a placement is known elsewhere: it is
	// shared and passed on each tenth of a second.
	tellingTime = 150 * time.Millisecond
)

// rate is a moving average of events a second.
type rate float64

// add takes in that events came in the time since the last call.
func (r *rate) add(events int, since time.Duration) {
	weight := min(float64(since)/float64(rateMemory), 1)
	if weight > 0 {
		*r += rate(weight * (float64(events)/since.Seconds() - float64(*r)))
	}
}

// unseen is the number of runs that other entry VMs have placed, about, and that are
// not known here yet. The caller holds mu.
func (e *Engines) unseen() float64 {
	return float64(e.othersRate) * tellingTime.Seconds()
}

// Own returns what this entry VM has at engines, and the places since the last call,
// or all of its latest ones.
func (e *Engines) Own(all bool) (loads []*chicoryv1.EngineLoad, places []*chicoryv1.PromptPlace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, x := range e.byAddress {
		if x.tokens+x.backups+x.prompts > 0 {
			loads = append(loads, &chicoryv1.EngineLoad{
				Address: address, Tokens: uint32(x.tokens), Unread: uint32(max(x.prompts, 0)), Backups: uint32(x.backups),
			})
		}
	}
	return loads, e.places.takeOwn(all)
}
