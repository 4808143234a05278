// Package placement selects the engine that executes a generation and the engine that
// keeps a backup of its memory. The limiting resources of an engine are its memory,
// counted in tokens, and the prompt tokens that it has yet to process, which delay all
// other runs on it; the number of requests is not.
//
// Each entry VM knows only its own runs immediately. Other entry VMs share their load
// with a short delay; without recent shared load it is estimated from the load that
// engines report in their responses.
package placement

import (
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// EngineTable holds this entry VM's view of the engines and their load. It is safe for
// concurrent use.
type EngineTable struct {
	settings Settings
	zone     string
	limits   request.RateLimits
	speeds   *speed.Table

	mu        sync.Mutex // guards the fields below and all engines
	byAddress map[string]*engineState
	byService map[string][]*engineState
	// zoneLosses is the time of the last loss of an engine, by availability zone.
	zoneLosses map[string]time.Time
	// recentLosses has the engines lost lately, massLosses the time of the last loss of many, by availability
	// zone.
	recentLosses map[string]recentLosses
	massLosses   map[string]time.Time
	// meanRunTokens and meanPromptTokens are moving averages of the size of runs and of their prompts.
	meanRunTokens, meanPromptTokens float64
	// remoteLoadsAt is when the loads of the other entry VMs were last received.
	remoteLoadsAt time.Time
	// remoteRate is the rate at which the other entry VMs place runs.
	remoteRate rate
	locations  locationTable
	// room receives a value when an engine may have become free; it is never closed.
	room  chan struct{}
	freed Freed
}

// recentLosses are the engines of one zone that were lost within massLossTime after the first loss.
type recentLosses struct {
	at        time.Time
	addresses map[string]bool
}

// engineState is the state of one listed engine address. It is guarded by EngineTable.mu.
type engineState struct {
	target   *chicoryv1.ListedTarget
	capacity int
	// Load that this VM placed: the number of runs, the memory of runs in tokens, the
	// prompt tokens not yet processed, and the memory of backups in tokens.
	runs, runTokens, unreadTokens, backupTokens int
	// unreadPrompts counts the prompts of unreadTokens.
	unreadPrompts int
	// report is what the engine last stated of its load.
	report report
	// refusedUntil is until when the engine is believed to have no room because it has refused a run.
	refusedUntil time.Time
	// remoteRuns is the number of runs of other entry VMs at remoteRunsAt.
	remoteRuns   int
	remoteRunsAt time.Time
	// remoteLoad is the load that the other entry VMs report for the engine.
	remoteLoad *chicoryv1.EngineLoad
	losses     int
	// avoidUntil is the end of the cooldown after a loss.
	avoidUntil time.Time
	// listedAt is when this instance of the engine was first listed.
	listedAt time.Time
	// lastSeen is when the engine last sent a response that states its load.
	lastSeen time.Time
	// lost is closed when a run finds this instance of the engine lost.
	lost chan struct{}
}

// NewEngineTable returns an empty table for an entry VM in zone that keeps to the limits of
// engines.
func NewEngineTable(s Settings, zone string, limits request.RateLimits) *EngineTable {
	return &EngineTable{
		settings:      s,
		zone:          zone,
		limits:        limits,
		byAddress:     map[string]*engineState{},
		byService:     map[string][]*engineState{},
		zoneLosses:    map[string]time.Time{},
		recentLosses:  map[string]recentLosses{},
		massLosses:    map[string]time.Time{},
		locations:     newLocationTable(),
		meanRunTokens: float64(s.DefaultMemory) / 16,
		room:          make(chan struct{}, 1),
	}
}

// Update replaces the list of engines. memory returns the memory in tokens of a service's
// engines, or 0 if it is not configured. The state of an address is kept only while its
// instance and service are unchanged: an engine that returns may have started again under its ID.
func (e *EngineTable) Update(targets []*chicoryv1.ListedTarget, memory func(service string) int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	byAddress := make(map[string]*engineState, len(targets))
	byService := map[string][]*engineState{}
	for _, t := range targets {
		x := e.byAddress[t.GetAddress()]
		if x == nil || x.target.GetInstance() != t.GetInstance() || x.target.GetService() != t.GetService() {
			x = &engineState{lost: make(chan struct{}), listedAt: time.Now()}
		}
		x.target = t
		x.capacity = memory(t.GetService())
		if x.capacity == 0 {
			x.capacity = e.settings.DefaultMemory
		}
		byAddress[t.GetAddress()] = x
		byService[t.GetService()] = append(byService[t.GetService()], x)
	}
	e.locations.retain(func(address, instance string) bool {
		x, next := e.byAddress[address], byAddress[address]
		return x == nil || x.target.GetInstance() != instance || next != nil && next.target.GetInstance() == instance
	})
	e.byAddress, e.byService = byAddress, byService
	e.freedElsewhere()
}

// PlaceRequest describes a run to place.
type PlaceRequest struct {
	Service string
	Size    Size
	// Prompt identifies the prompt; an engine that has already processed it need not
	// process it again.
	Prompt string
	// Exclude lists the addresses that were already tried.
	Exclude []string
	// Reserved is the address of the engine that the run has a permit for, or empty.
	Reserved string
	// PreferRoom: engines without room for the run are selected only if no other has any.
	PreferRoom bool
	// NeedsRoom: Place fails with ErrNoRoom if no engine has room for the run.
	NeedsRoom bool
	// MaxEventGap is the longest gap between events that the caller considers timely; 0 if it is
	// not known.
	MaxEventGap time.Duration
}

// Place selects an engine for a run. It fails with the kind NoTarget, or Overloaded if the
// engines that are left limit their requests and there is no permit for any of them, or with ErrNoRoom.
func (e *EngineTable) Place(w PlaceRequest) (*Run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if w.NeedsRoom && !e.hasRoomFor(w, now) {
		return nil, ErrNoRoom
	}
	x, err := e.selectPermitted(w, now)
	if err != nil {
		return nil, err
	}
	unread := w.Size.Prompt
	if e.locations.contains(w.Prompt, x.target, now) {
		unread = 0
	}
	r := e.startRun(x, w.Size, unread)
	r.prompt = w.Prompt
	return r, nil
}

// selectPermitted selects an engine that may get the run now. The caller holds mu.
func (e *EngineTable) selectPermitted(w PlaceRequest, now time.Time) (*engineState, error) {
	if w.Reserved != "" {
		if x := e.byAddress[w.Reserved]; x != nil && slices.Contains(e.eligible(w, "", now), x) {
			return x, nil
		}
		e.limits.Return(w.Reserved)
	}
	for limited := false; ; limited = true {
		x := e.selectEngine(w, "", now)
		switch {
		case x == nil && limited:
			return nil, fault.New(fault.Overloaded, "the engines of service %s take no more requests now", w.Service)
		case x == nil:
			return nil, fault.New(fault.NoTarget, "no engine of service %s is available", w.Service)
		case e.limits.Take(x.target.GetAddress()):
			return x, nil
		}
		w.Exclude = append(slices.Clip(w.Exclude), x.target.GetAddress())
	}
}

// HasOther reports whether a run can be placed on another engine of t's service.
func (e *EngineTable) HasOther(t *chicoryv1.ListedTarget) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := PlaceRequest{Service: t.GetService(), Exclude: []string{t.GetAddress()}}
	return slices.ContainsFunc(e.eligible(w, "", time.Now()), func(x *engineState) bool {
		return e.limits.HasRoom(x.target.GetAddress())
	})
}

// PlaceOnBackup places a run on the engine that keeps its backup. It returns nil if the
// engine is no longer listed, was restarted, is in cooldown or takes no more requests now.
func (e *EngineTable) PlaceOnBackup(backup *chicoryv1.ListedTarget, prompt string, size Size) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.byAddress[backup.GetAddress()]
	if x == nil || x.target.GetInstance() != backup.GetInstance() || time.Now().Before(x.avoidUntil) || !e.limits.Take(backup.GetAddress()) {
		return nil
	}
	r := e.startRun(x, size, 0)
	r.prompt = prompt
	return r
}

func (e *EngineTable) startRun(x *engineState, size Size, unread int) *Run {
	onlyPrompt := unread > 0 && x.unreadTokens == 0 && x.remoteLoad.GetUnread() == 0
	x.runs++
	x.runTokens += size.Total()
	x.unreadTokens += unread
	if unread > 0 {
		x.unreadPrompts++
		e.meanPromptTokens = meanOf(e.meanPromptTokens, float64(unread))
	}
	x.report.placedSince++
	e.meanRunTokens = meanOf(e.meanRunTokens, float64(size.Total()))
	return &Run{Target: x.target, EngineLost: x.lost, engines: e, engine: x, size: size, unreadTokens: unread, onlyPrompt: onlyPrompt}
}

// meanOf returns the moving average with a new value.
func meanOf(mean, value float64) float64 {
	const weight = 0.05 // of the new value
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// ReserveBackup selects an engine in another availability zone than r's to keep a backup
// of r, and counts the backup as load there until release is called. It returns nil if no
// engine is eligible.
func (e *EngineTable) ReserveBackup(r *Run, exclude []string) (backup *chicoryv1.ListedTarget, release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := PlaceRequest{Service: r.Target.GetService(), Size: r.size, Exclude: append(slices.Clone(exclude), r.Target.GetAddress())}
	x := e.selectEngine(w, r.Target.GetAvailabilityZone(), time.Now())
	if x == nil {
		return nil, func() {}
	}
	x.backupTokens += r.size.Total()
	return x.target, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		x.backupTokens -= r.size.Total()
		e.freedHere()
	}
}
