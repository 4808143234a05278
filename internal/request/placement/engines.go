// Package placement chooses the engines of generations: where a run takes place
// and which other engine keeps a backup of its memory. What binds an engine is its
// memory, counted in tokens, and the prompts that it has yet to read, which delay
// every other run there; not the number of requests.
//
// Each entry VM sees only its own runs at once. Those of others are estimated from
// the load that engines state in their answers.
package placement

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Size is what a generation takes, in tokens.
type Size struct {
	Prompt int
	// Output is the most that it generates.
	Output int
}

// Total returns the memory that the run takes at its end.
func (s Size) Total() int { return s.Prompt + s.Output }

// Settings weigh engines against each other.
type Settings struct {
	// PromptWeight is how much a prompt that is still to be read counts against the
	// same number of tokens in memory: prompts delay the tokens of all runs.
	PromptWeight float64
	// ZoneWeight is the share of memory by which an engine of another availability
	// zone must be freer to be preferred, for the bytes between zones.
	ZoneWeight float64
	// AffinityWeight is the share of memory by which other engines must be freer than
	// the one that a prompt belongs to. A caller that comes back, through whatever entry
	// VM, finds its prompt there.
	AffinityWeight float64
	// ReadWeight is the same for an engine that is known to have read the prompt.
	ReadWeight float64
	// LostPause is how long an engine that was lost gets no work; each further loss
	// in a row doubles it, up to MaxLostPause.
	LostPause    time.Duration
	MaxLostPause time.Duration
	// StalePause is how long an engine gets no work after it was found to be another
	// start than the list says. A newer list ends it.
	StalePause time.Duration
	// ZoneLossWeight is the share of memory by which other engines of a zone must be
	// freer for ZoneLossTime after one there was lost: losses of a zone come together.
	ZoneLossWeight float64
	ZoneLossTime   time.Duration
	// LoadLifetime is the age at which a stated load is no longer used.
	LoadLifetime time.Duration
	// DefaultMemory is the memory of an engine that states none, in tokens.
	DefaultMemory int
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		PromptWeight:   2,                      // reading takes about twice as long as the generation of as many bytes
		ZoneWeight:     0.05,                   // half of a usual run's share of an engine
		AffinityWeight: 0.15,                   // above one run, below one prompt that waits to be read
		ReadWeight:     0.6,                    // two prompts that wait to be read
		LostPause:      500 * time.Millisecond, // restarts of engines take about a second
		MaxLostPause:   2 * time.Second,        // the list names a dead engine for some seconds
		StalePause:     3 * time.Second,        // the list lags by a second or two
		ZoneLossWeight: 0.5,                    // some five runs
		ZoneLossTime:   2 * time.Second,        // restarts of engines take about a second, the list lags by another
		LoadLifetime:   2 * time.Second,        // runs last some seconds
		DefaultMemory:  32 << 10,
	}
}

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
	places   places
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

// Run is a place at an engine. End must be called once.
type Run struct {
	Target *chicoryv1.ListedTarget
	// Lost is closed when any run of this VM finds the engine lost.
	Lost <-chan struct{}

	engines *Engines
	engine  *engine
	size    Size
	unread  int
	prompt  string
	begun   bool
	ended   bool
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

// choose returns the engine with the lowest score, outside of the zone awayFrom if
// that is given. Engines that were lost lately come last. The caller holds mu.
func (e *Engines) choose(w Want, awayFrom string, now time.Time) *engine {
	var eligible []*engine
	for _, x := range e.byService[w.Service] {
		if x.target.GetLeaving() || slices.Contains(w.Exclude, x.target.GetAddress()) {
			continue
		}
		if awayFrom != "" && (x.target.GetAvailabilityZone() == awayFrom || now.Before(x.avoidUntil)) {
			continue
		}
		eligible = append(eligible, x)
	}
	home := e.homeOf(w.Prompt, eligible, now)
	var best *engine
	lowest := 0.0
	for _, x := range eligible {
		score := e.score(x, awayFrom == "", now) + rand.Float64()*tieSpread
		switch {
		case e.places.has(w.Prompt, x.target, now):
			score -= e.settings.ReadWeight
		case x == home:
			score -= e.settings.AffinityWeight
		}
		if best == nil || score < lowest {
			best, lowest = x, score
		}
	}
	return best
}

// homeOf returns the engine that a prompt belongs to: the one with the highest hash
// of both. Entry VMs that know the same engines agree on it without telling each
// other, and only the prompts of an engine that is lost move.
func (e *Engines) homeOf(prompt string, engines []*engine, now time.Time) *engine {
	if prompt == "" {
		return nil
	}
	var home *engine
	highest := uint64(0)
	for _, x := range engines {
		if now.Before(x.avoidUntil) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(prompt))                // never fails
		_, _ = h.Write([]byte(x.target.GetAddress())) // never fails
		if sum := h.Sum64(); home == nil || sum > highest {
			home, highest = x, sum
		}
	}
	return home
}

const (
	// tieSpread lets entry VMs that see the same choose differently between engines
	// that are about equal.
	tieSpread = 0.02
	// lostPenalty is above every score of an engine in use.
	lostPenalty = 100
)

// score is the share of the engine's memory that is taken, and what delays runs
// beside that.
func (e *Engines) score(x *engine, nearer bool, now time.Time) float64 {
	tokens := float64(x.tokens+x.backups) + e.settings.PromptWeight*float64(x.prompts)
	switch {
	case now.Sub(e.sharedAt) < e.settings.LoadLifetime:
		tokens += float64(x.shared.GetTokens()) + e.settings.PromptWeight*float64(x.shared.GetUnread())
	case now.Sub(x.statedAt) < e.settings.LoadLifetime:
		tokens += float64(x.others) * e.meanTokens
	}
	score := tokens / float64(x.memory)
	if nearer && x.target.GetAvailabilityZone() != e.zone {
		score += e.settings.ZoneWeight
	}
	if now.Before(x.avoidUntil) {
		score += lostPenalty
	}
	lostAt := e.zoneLosses[x.target.GetAvailabilityZone()]
	if now.Sub(lostAt) < e.settings.ZoneLossTime && x.aliveAt.Before(lostAt) {
		score += e.settings.ZoneLossWeight
	}
	return score
}

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

// Stated takes in the number of runs that the engine stated in an answer.
func (r *Run) Stated(running int) {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	now := time.Now()
	r.engine.others = max(running-r.engine.runs, 0)
	r.engine.statedAt = now
	r.engine.aliveAt = now
}

// HasBegun reports whether the engine has sent an event.
func (r *Run) HasBegun() bool {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return r.begun
}

// PromptRead notes that the engine has read the prompt: it sent an event.
func (r *Run) PromptRead() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	if !r.begun && r.prompt != "" {
		r.engines.places.addOwn(r.prompt, r.Target, time.Now())
	}
	r.begun = true
	r.engine.prompts -= r.unread
	r.unread = 0
	r.engine.losses = 0
}

// MarkLost notes that the engine was lost: other runs there are told, and it gets no
// new work for a while.
func (r *Run) MarkLost() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	r.engines.markLost(r.engine)
}

func (e *Engines) markLost(x *engine) {
	now := time.Now()
	if now.Before(x.avoidUntil) {
		return
	}
	pause := min(e.settings.LostPause<<min(x.losses, maxDoublings), e.settings.MaxLostPause)
	x.avoidUntil = now.Add(pause)
	x.losses++
	e.zoneLosses[x.target.GetAvailabilityZone()] = now
	close(x.lost)
	x.lost = make(chan struct{})
}

// MarkStale notes that the engine at the address is another start than the list says.
func (r *Run) MarkStale() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	now := time.Now()
	r.engine.avoidUntil = now.Add(r.engines.settings.StalePause)
	r.engines.zoneLosses[r.engine.target.GetAvailabilityZone()] = now
}

// maxDoublings keeps the pause from overflowing.
const maxDoublings = 10

// End frees the place.
func (r *Run) End() {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.engine.runs--
	r.engine.tokens -= r.size.Total()
	r.engine.prompts -= r.unread
	r.unread = 0
}
