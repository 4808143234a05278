// Package placement chooses the engines of generations: where a run takes place
// and which other engine keeps a backup of its memory. What binds an engine is its
// memory, counted in tokens, and the prompts that it has yet to read, which delay
// every other run there; not the number of requests.
//
// Each entry VM sees only its own runs at once. Those of others are estimated from
// the load that engines state in their answers.
package placement

import (
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Engines is what this entry VM knows of the engines. It is safe for concurrent use.
type Engines struct {
	settings Settings
	zone     string

	mu        sync.Mutex // guards the fields below and all engines
	byAddress map[string]*engine
	byService map[string][]*engine
	// zoneLosses has the time of the last loss of an engine by availability zone.
	zoneLosses map[string]time.Time
	// meanTokens is a moving average of the size of runs.
	meanTokens float64
	// sharedAt is when the other entry VMs' loads were told last.
	sharedAt time.Time
	// othersRate is the rate at which others place runs.
	othersRate rate
	places     places
}

// engine is one address of the list. It is guarded by Engines.mu.
type engine struct {
	target *chicoryv1.ListedTarget
	memory int
	// runs, tokens and prompts are this VM's: runs, their memory, and prompt tokens
	// that were not read yet. backups is the memory of backups kept there.
	runs, tokens, prompts, backups int
	// others is the number of runs of other entry VMs as of statedAt.
	others   int
	statedAt time.Time
	// shared is what other entry VMs have there, as they tell.
	shared *chicoryv1.EngineLoad
	losses int
	// avoidUntil is the end of the pause after a loss.
	avoidUntil time.Time
	// aliveAt is when the engine last sent something.
	aliveAt time.Time
	// lost is closed when a run finds this start of the engine lost.
	lost chan struct{}
}

// NewEngines returns an empty table for an entry VM in zone.
func NewEngines(s Settings, zone string) *Engines {
	return &Engines{
		settings:   s,
		zone:       zone,
		byAddress:  map[string]*engine{},
		byService:  map[string][]*engine{},
		zoneLosses: map[string]time.Time{},
		places:     newPlaces(),
		meanTokens: float64(s.DefaultMemory) / 16,
	}
}

// Update takes the list over. memory gives an engine's memory by service, 0 where
// none is stated. Engines that start anew at an address begin without a past.
func (e *Engines) Update(targets []*chicoryv1.ListedTarget, memory func(service string) int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	byAddress := make(map[string]*engine, len(targets))
	byService := map[string][]*engine{}
	for _, t := range targets {
		x := e.byAddress[t.GetAddress()]
		if x == nil || x.target.GetInstance() != t.GetInstance() || x.target.GetService() != t.GetService() {
			x = &engine{lost: make(chan struct{})}
		}
		x.target = t
		x.memory = memory(t.GetService())
		if x.memory == 0 {
			x.memory = e.settings.DefaultMemory
		}
		byAddress[t.GetAddress()] = x
		byService[t.GetService()] = append(byService[t.GetService()], x)
	}
	e.byAddress, e.byService = byAddress, byService
}

// Want is what is asked for.
type Want struct {
	Service string
	Size    Size
	// Prompt names the prompt; an engine that has read it needn't read it again.
	Prompt string
	// Exclude names addresses that were tried.
	Exclude []string
}

// Place chooses the engine of a run. It fails with the kind NoTarget.
func (e *Engines) Place(w Want) (*Run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	x := e.choose(w, "", now)
	if x == nil {
		return nil, fault.New(fault.NoTarget, "service %s has no engine that can take the request", w.Service)
	}
	unread := w.Size.Prompt
	if e.places.has(w.Prompt, x.target, now) {
		unread = 0
	}
	r := e.begin(x, w.Size, unread)
	r.prompt = w.Prompt
	return r, nil
}

// Continue places a run at the engine that keeps a backup of it. It returns nil if the
// engine left or was lost.
func (e *Engines) Continue(backup *chicoryv1.ListedTarget, prompt string, size Size) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.byAddress[backup.GetAddress()]
	if x == nil || x.target.GetInstance() != backup.GetInstance() || time.Now().Before(x.avoidUntil) {
		return nil
	}
	r := e.begin(x, size, 0)
	r.prompt = prompt
	return r
}

func (e *Engines) begin(x *engine, size Size, unread int) *Run {
	x.runs++
	x.tokens += size.Total()
	x.prompts += unread
	const weight = 0.05 // of a new run in the average
	e.meanTokens += weight * (float64(size.Total()) - e.meanTokens)
	return &Run{Target: x.target, Lost: x.lost, engines: e, engine: x, size: size, unread: unread}
}

// Backup chooses the engine that keeps a backup of r, in another availability zone
// than r's engine, and counts it in until release is called. It returns nil if
// there is none.
func (e *Engines) Backup(r *Run, exclude []string) (keeper *chicoryv1.ListedTarget, release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := Want{Service: r.Target.GetService(), Size: r.size, Exclude: append(slices.Clone(exclude), r.Target.GetAddress())}
	x := e.choose(w, r.Target.GetAvailabilityZone(), time.Now())
	if x == nil {
		return nil, func() {}
	}
	x.backups += r.size.Total()
	return x.target, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		x.backups -= r.size.Total()
	}
}
