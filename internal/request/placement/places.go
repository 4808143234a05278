package placement

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// placeLifetime is how long an engine is taken to keep a prompt; unused ones yield
	// to others after some seconds.
	placeLifetime = 20 * time.Second
	// maxPlaces bounds the places that are remembered.
	maxPlaces = 4096
	// maxOwnPlaces bounds what is told to a new leader.
	maxOwnPlaces = 64
)

// place is an engine that has read a prompt.
type place struct {
	address, instance string
	at                time.Time
}

// places remembers where prompts were read last, by any entry VM. It is guarded by
// Engines.mu.
type places struct {
	byPrompt map[string]place
	// own are this VM's latest; the last untold of them were not shared yet.
	own    []*chicoryv1.PromptPlace
	untold int
}

func newPlaces() places {
	return places{byPrompt: map[string]place{}}
}

func (p *places) add(m *chicoryv1.PromptPlace, now time.Time) {
	if len(p.byPrompt) >= maxPlaces {
		p.forget(now)
	}
	p.byPrompt[m.GetPrompt()] = place{address: m.GetAddress(), instance: m.GetInstance(), at: now}
}

// forget drops old places, or all if none is old.
func (p *places) forget(now time.Time) {
	for prompt, x := range p.byPrompt {
		if now.Sub(x.at) > placeLifetime {
			delete(p.byPrompt, prompt)
		}
	}
	if len(p.byPrompt) >= maxPlaces {
		clear(p.byPrompt)
	}
}

func (p *places) addOwn(prompt string, t *chicoryv1.ListedTarget, now time.Time) {
	m := &chicoryv1.PromptPlace{Prompt: prompt, Address: t.GetAddress(), Instance: t.GetInstance()}
	p.add(m, now)
	p.own = append(p.own, m)
	p.untold++
	if len(p.own) > maxOwnPlaces {
		p.own = append([]*chicoryv1.PromptPlace(nil), p.own[len(p.own)-maxOwnPlaces:]...)
		p.untold = min(p.untold, maxOwnPlaces)
	}
}

// takeOwn returns the places that were not told yet, or all.
func (p *places) takeOwn(all bool) []*chicoryv1.PromptPlace {
	n := p.untold
	if all {
		n = len(p.own)
	}
	p.untold = 0
	return append([]*chicoryv1.PromptPlace(nil), p.own[len(p.own)-n:]...)
}

// has reports whether this start of an engine has read the prompt lately.
func (p *places) has(prompt string, t *chicoryv1.ListedTarget, now time.Time) bool {
	x, ok := p.byPrompt[prompt]
	return ok && prompt != "" && x.address == t.GetAddress() && x.instance == t.GetInstance() && now.Sub(x.at) < placeLifetime
}
