package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// removedTargetRetention is how long a target that was removed from the list stays
// excluded even if another feed still lists it. The lag between two feeds is less than
// this.
const removedTargetRetention = 5 * time.Second

// Decoder decodes declared configurations.
type Decoder interface {
	// DecodeConfiguration fails with kind PlanRejected.
	DecodeConfiguration(document []byte) (*declared.Configuration, error)
}

// routingState applies what the feeds report: the declaration, and the targets for
// calls and for streams. It implements feed.Sink.
type routingState struct {
	decoder      Decoder
	declared     *declared.Holder
	targets      *config.Holder
	engines      *placement.EngineTable
	quarantine   *quarantine.Table
	limits       *ratelimit.Table
	retryBudgets *retryBudgets
	logger       *logging.Logger
	// self is what other entry VMs know of this one, except whether it is cut off, which
	// isCutOff reports; nil means that it isn't. Both are set before the feeds are followed.
	self     feed.Peer
	isCutOff func() bool
	// otherVMs has the other entry VMs, targetAddresses the addresses of the listed targets.
	// They have no lock, because each connection between entry VMs looks addresses up.
	otherVMs        atomic.Pointer[otherVMs]
	targetAddresses atomic.Pointer[map[string]bool]
	// initialized is closed when a configuration and a target list are in force.
	initialized chan struct{}

	// sharedSuspects is the version up to which suspect parts were shared; only LocalState
	// uses it.
	sharedSuspects uint64

	mu              sync.Mutex // guards the fields below
	list            *chicoryv1.TargetList
	listConfirmedAt time.Time
	revision        uint64
	// leaving has the target starts that were listed as leaving. They stay excluded
	// even if an older list names them again as not leaving.
	leaving map[feed.TargetInstance]bool
	// listed has the starts in the latest list, removedAt the time at which starts were
	// removed from it.
	listed    map[feed.TargetInstance]bool
	removedAt map[feed.TargetInstance]time.Time
	// removedServices keeps the targets of removed services in use for the requests that were
	// admitted before.
	removedServices removedServices
}

func newRoutingState(decoder Decoder, engines *placement.EngineTable, suspects *quarantine.Table, limits *ratelimit.Table, budgets *retryBudgets, logger *logging.Logger) *routingState {
	return &routingState{
		decoder:      decoder,
		declared:     &declared.Holder{},
		targets:      &config.Holder{},
		engines:      engines,
		quarantine:   suspects,
		limits:       limits,
		retryBudgets: budgets,
		initialized:  make(chan struct{}),
		logger:       logger,
		leaving:      map[feed.TargetInstance]bool{},
		listed:       map[feed.TargetInstance]bool{},
		removedAt:    map[feed.TargetInstance]time.Time{},

		removedServices: removedServices{byName: map[string]removedService{}},
	}
}

// ApplyDeclaration implements feed.Sink.
func (r *routingState) ApplyDeclaration(d *chicoryv1.Declaration, from string) {
	if d.GetVersion() <= r.declared.Version() {
		return
	}
	c, err := r.decode(d)
	if err != nil {
		// Control VMs accept only valid declarations, so this VM runs another release.
		r.logger.Error(logging.DeclarationRefused, logging.Fields{"version": d.GetVersion(), "control": from, "reason": err})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.declared.Current()
	if !r.declared.Update(c) {
		return
	}
	r.logger.Info(logging.DeclarationApplied, logging.Fields{"version": c.Version, "control": from, "routes": len(c.Routes)})
	r.removedServices.update(previous, r.declared.Current(), time.Now())
	r.updateTargets()
}

func (r *routingState) decode(d *chicoryv1.Declaration) (*declared.Configuration, error) {
	document, err := declared.Decompress(d)
	if err != nil {
		return nil, err
	}
	return r.decoder.DecodeConfiguration(document)
}

// DeclaredVersion implements feed.Sink.
func (r *routingState) DeclaredVersion() uint64 { return r.declared.Version() }

// SetRemoteState implements feed.Sink.
func (r *routingState) SetRemoteState(o feed.RemoteState) {
	r.engines.SetRemoteLoads(o.Loads)
	r.retryBudgets.setRemoteUsage(o.Uses, o.EntryVMs)
	r.limits.SetRemoteState(o.Limits, o.EntryVMs, time.Now())
	r.setPeers(o.Peers, time.Now())
}

// AddPromptLocations implements feed.Sink.
func (r *routingState) AddPromptLocations(places []*chicoryv1.PromptPlace, _ bool) {
	r.engines.AddPromptLocations(places)
}

// MergeSuspects implements feed.Sink.
func (r *routingState) MergeSuspects(suspects []*chicoryv1.SuspectPart, _ bool) {
	r.quarantine.Merge(suspects, time.Now())
}

// LocalState implements feed.Sink. A single task calls it.
func (r *routingState) LocalState(full bool) *chicoryv1.ShareRequest {
	loads, places := r.engines.LocalState(full)
	share := &chicoryv1.ShareRequest{Loads: loads, Places: places, Uses: r.retryBudgets.localUsage(), EntryVm: r.localEntryVM()}
	share.Limits = r.limits.LocalState(full, time.Now())
	if full {
		share.Suspects, r.sharedSuspects = r.quarantine.All(time.Now())
	} else {
		share.Suspects, r.sharedSuspects = r.quarantine.LocalChanges(r.sharedSuspects, time.Now())
	}
	return share
}

// SetTargets implements feed.Sink.
func (r *routingState) SetTargets(list *chicoryv1.TargetList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := r.trackStarts(list, time.Now())
	if change != (listChange{}) {
		r.logger.Info(logging.TargetListChanged, logging.Fields{
			"targets": len(list.GetTargets()), "added": change.added, "removed": change.removed, "leaving": change.leaving,
		})
	}
	r.list = list
	r.updateTargets()
}

// listChange counts the target starts that a list adds, removes, or newly shows as leaving.
type listChange struct{ added, removed, leaving int }

// ConfirmTargets implements feed.Sink.
func (r *routingState) ConfirmTargets(time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listConfirmedAt = time.Now()
}

// isListStale reports whether no control VM has confirmed the target list within
// the time that observe.IsStale allows.
func (r *routingState) isListStale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return observe.IsStale(r.list, time.Since(r.listConfirmedAt))
}

// listAge returns the time since a control VM last confirmed that the list is the
// platform's; 0 before the first confirmation.
func (r *routingState) listAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listConfirmedAt.IsZero() {
		return 0
	}
	return time.Since(r.listConfirmedAt)
}

// ready reports whether requests can be served, and the reason if not.
func (r *routingState) ready() (bool, string) {
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

// trackStarts records which target starts are leaving and which were removed, and returns
// the changes since the previous list. The caller holds mu.
func (r *routingState) trackStarts(list *chicoryv1.TargetList, now time.Time) listChange {
	var change listChange
	present, addresses := map[feed.TargetInstance]bool{}, map[string]bool{}
	for _, t := range list.GetTargets() {
		start := feed.TargetInstanceOf(t)
		present[start], addresses[t.GetAddress()] = true, true
		if !r.listed[start] {
			change.added++
		}
		if t.GetLeaving() {
			if !r.leaving[start] {
				change.leaving++
			}
			r.leaving[start] = true
		}
	}
	for start := range r.listed {
		if !present[start] {
			r.removedAt[start] = now
			change.removed++
		}
	}
	for start, since := range r.removedAt {
		if now.Sub(since) > removedTargetRetention {
			delete(r.removedAt, start)
			delete(r.leaving, start)
		}
	}
	r.listed = present
	r.targetAddresses.Store(&addresses)
	return change
}

// updateTargets puts the list in force for the services of the configuration. The
// caller holds mu.
func (r *routingState) updateTargets() {
	view := r.declared.Current()
	if view == nil || r.list == nil {
		return
	}
	if r.revision == 0 {
		defer close(r.initialized)
	}
	r.revision++
	r.removedServices.expire(time.Now())
	next := &chicoryv1.Configuration{Revision: r.revision}
	for _, s := range view.Configuration().Services {
		next.Services = append(next.Services, &chicoryv1.Service{Name: s.Name})
	}
	service := func(name string) *declared.Service {
		if s := view.Service(name); s != nil {
			return s
		}
		return r.removedServices.service(name)
	}
	for name := range r.removedServices.byName {
		next.Services = append(next.Services, &chicoryv1.Service{Name: name})
	}
	var listed []*chicoryv1.ListedTarget
	for _, t := range r.list.GetTargets() {
		if service(t.GetService()) == nil || r.isExcluded(t) {
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
	r.engines.Update(listed, func(name string) int {
		if s := service(name); s != nil && s.Engine != nil {
			return s.Engine.KVCapacityTokens
		}
		return 0
	})
	r.limits.UpdateTargets(listed) // last, as it wakes the requests that wait for permits
}

// isExcluded reports whether a target gets no new requests. The caller holds mu.
func (r *routingState) isExcluded(t *chicoryv1.ListedTarget) bool {
	start := feed.TargetInstanceOf(t)
	_, removed := r.removedAt[start]
	return removed || r.leaving[start]
}

// readStaleList reads the platform's list directly while no control VM provides a fresh
// one.
func (r *routingState) readStaleList(ctx context.Context, list *observe.TargetListPoller) {
	go list.Run(ctx, r.isListStale)
	for ctx.Err() == nil {
		latest, _, changed := list.Targets()
		if latest != nil && r.isListStale() {
			r.SetTargets(latest)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
