package entry

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// goneMemory is how long a target that left the list stays out though another feed
// still names it: feeds lag behind each other by less.
const goneMemory = 5 * time.Second

// Decoder reads declared configurations.
type Decoder interface {
	// DecodeConfiguration fails with the kind PlanRejected.
	DecodeConfiguration(document []byte) (*declared.Configuration, error)
}

// roster puts what feeds tell in force: the declaration, and the targets for calls
// and for streams. It implements feed.Sink.
type roster struct {
	decoder  Decoder
	declared *declared.Holder
	targets  *config.Holder
	engines  *placement.Engines
	budgets  *budgets
	logger   *logging.Logger
	// started is closed when a configuration and a list are in force.
	started chan struct{}

	mu       sync.Mutex // guards the fields below
	list     *chicoryv1.TargetList
	freshAt  time.Time
	revision uint64
	// leaving are starts that were once seen to leave; they never come back.
	leaving map[feed.Start]bool
	// present are the starts of the list before, gone those that left it.
	present map[feed.Start]bool
	gone    map[feed.Start]time.Time
}

func newRoster(decoder Decoder, engines *placement.Engines, budgets *budgets, logger *logging.Logger) *roster {
	return &roster{
		decoder:  decoder,
		declared: &declared.Holder{},
		targets:  &config.Holder{},
		engines:  engines,
		budgets:  budgets,
		started:  make(chan struct{}),
		logger:   logger,
		leaving:  map[feed.Start]bool{},
		present:  map[feed.Start]bool{},
		gone:     map[feed.Start]time.Time{},
	}
}

// Declaration implements feed.Sink.
func (r *roster) Declaration(d *chicoryv1.Declaration, from string) {
	if d.GetVersion() <= r.declared.Version() {
		return
	}
	c, err := r.decode(d)
	if err != nil {
		// Control VMs take valid ones only: this VM runs another release.
		r.logger.Error(logging.DeclarationRefused, logging.Fields{"version": d.GetVersion(), "control": from, "reason": err})
		return
	}
	if !r.declared.Put(c) {
		return
	}
	r.logger.Info(logging.DeclarationApplied, logging.Fields{"version": c.Version, "control": from, "routes": len(c.Routes)})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply()
}

func (r *roster) decode(d *chicoryv1.Declaration) (*declared.Configuration, error) {
	document, err := declared.Unpack(d)
	if err != nil {
		return nil, err
	}
	return r.decoder.DecodeConfiguration(document)
}

// Version implements feed.Sink.
func (r *roster) Version() uint64 { return r.declared.Version() }

// Shared implements feed.Sink.
func (r *roster) Shared(o feed.Others) {
	r.engines.SetOthers(o.Loads)
	r.budgets.setOthers(o.Uses, o.Entries)
}

// Places implements feed.Sink.
func (r *roster) Places(places []*chicoryv1.PromptPlace, _ bool) { r.engines.AddPlaces(places) }

// Share implements feed.Sink.
func (r *roster) Share(anew bool) *chicoryv1.ShareRequest {
	loads, places := r.engines.Own(anew)
	return &chicoryv1.ShareRequest{Loads: loads, Places: places, Uses: r.budgets.uses()}
}

// Targets implements feed.Sink.
func (r *roster) Targets(list *chicoryv1.TargetList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(list, time.Now())
	r.list = list
	r.apply()
}

// Fresh implements feed.Sink.
func (r *roster) Fresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshAt = time.Now()
}

// isStale reports whether no control VM has read the list lately.
func (r *roster) isStale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.freshAt) > observe.ListLifetime
}

// listAge is the time since a control VM last said that the list is the platform's; 0
// before the first list.
func (r *roster) listAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freshAt.IsZero() {
		return 0
	}
	return time.Since(r.freshAt)
}

// ready reports whether requests can be served, and why not.
func (r *roster) ready() (bool, string) {
	if r.declared.Current() == nil {
		return false, "there is no configuration yet"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil {
		return false, "there is no list of targets yet"
	}
	return true, ""
}

// remember notes which starts leave and which are gone. The caller holds mu.
func (r *roster) remember(list *chicoryv1.TargetList, now time.Time) {
	present := map[feed.Start]bool{}
	for _, t := range list.GetTargets() {
		at := feed.StartOf(t)
		present[at] = true
		if t.GetLeaving() {
			r.leaving[at] = true
		}
	}
	for at := range r.present {
		if !present[at] {
			r.gone[at] = now
		}
	}
	for at, since := range r.gone {
		if now.Sub(since) > goneMemory {
			delete(r.gone, at)
			delete(r.leaving, at)
		}
	}
	r.present = present
}

// apply puts the list in force for the services of the configuration. The caller
// holds mu.
func (r *roster) apply() {
	view := r.declared.Current()
	if view == nil || r.list == nil {
		return
	}
	if r.revision == 0 {
		defer close(r.started)
	}
	r.revision++
	next := &chicoryv1.Configuration{Revision: r.revision}
	for _, s := range view.Configuration().Services {
		next.Services = append(next.Services, &chicoryv1.Service{Name: s.Name})
	}
	var listed []*chicoryv1.ListedTarget
	for _, t := range r.list.GetTargets() {
		if view.Service(t.GetService()) == nil || r.isOut(t) {
			continue
		}
		listed = append(listed, t)
		next.Targets = append(next.Targets, &chicoryv1.Target{
			Address:          t.GetAddress(),
			Instance:         t.GetInstance(),
			Service:          t.GetService(),
			AvailabilityZone: t.GetAvailabilityZone(),
			Capacity:         t.GetSlots(),
		})
	}
	if _, err := r.targets.ApplyFull(next); err != nil {
		r.logger.Error(logging.TargetListLost, logging.Fields{"reason": err})
		return
	}
	r.engines.Update(listed, func(service string) int {
		if s := view.Service(service); s != nil && s.Engine != nil {
			return s.Engine.MemoryTokens
		}
		return 0
	})
}

// isOut reports whether a target gets nothing new. The caller holds mu.
func (r *roster) isOut(t *chicoryv1.ListedTarget) bool {
	at := feed.StartOf(t)
	_, gone := r.gone[at]
	return gone || r.leaving[at]
}

// watchList reads the platform's list by itself while no control VM has it.
func (r *roster) watchList(ctx context.Context, list *observe.TargetList) {
	go list.Run(ctx, r.isStale)
	for ctx.Err() == nil {
		newest, _, changed := list.Targets()
		if newest != nil && r.isStale() {
			r.Targets(newest)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
