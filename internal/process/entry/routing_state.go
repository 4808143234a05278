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
	"github.com/chicoryswitch/chicoryswitch/internal/request/dispatchqueue"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// Decoder decodes declared configurations.
type Decoder interface {
	// DecodeConfiguration fails with kind PlanRejected.
	DecodeConfiguration(document []byte) (*declared.Configuration, error)
}

// routingState applies what the feeds report: the declaration, and the targets for
// calls and for streams. It implements feed.Sink.
type routingState struct {
	decoder    Decoder
	declared   *declared.Holder
	targets    *config.Holder
	engines    *placement.EngineTable
	quarantine *quarantine.Table
	limits     *ratelimit.Table
	// speeds may be nil.
	speeds       *speed.Table
	retryBudgets *retryBudgets
	logger       *logging.Logger
	// queue has the streams that wait for engines; nil means that none do. It is set before the feeds are followed.
	queue streamQueue
	// drainTime is how long a target that announces that it leaves serves further requests.
	drainTime time.Duration
	// self is what other entry VMs know of this one, except whether it is cut off, which
	// isCutOff reports; nil means that it isn't. Both are set before the feeds are followed.
	self     feed.Peer
	isCutOff func() bool
	// otherVMs has the other entry VMs, targetAddresses the addresses of the listed targets.
	// They and usedAddresses have no lock, because connections between entry VMs look addresses up.
	otherVMs        atomic.Pointer[otherVMs]
	targetAddresses atomic.Pointer[map[string]bool]
	// usedAddresses has the addresses of the targets that get new requests.
	usedAddresses atomic.Pointer[map[string]bool]
	// initialized is closed when a configuration and a target list are in force.
	initialized chan struct{}

	// sharedSuspects is the version up to which suspect parts were shared; only LocalState
	// uses it.
	sharedSuspects uint64

	mu   sync.Mutex // guards the fields below
	list *chicoryv1.TargetList
	// reading is when list was read from the platform.
	reading         observe.Reading
	listConfirmedAt time.Time
	revision        uint64
	starts          targetStarts
	// removedServices keeps the targets of removed services in use for the requests that were
	// admitted before.
	removedServices removedServices
}

// streamQueue has the streams that wait for engines at this VM.
type streamQueue interface {
	// Demand returns the number of streams that wait here.
	Demand() []dispatchqueue.Demand
	// SetRemoteDemand replaces the sum of what waits at all other VMs.
	SetRemoteDemand(demand []dispatchqueue.Demand)
}

func newRoutingState(decoder Decoder, engines *placement.EngineTable, suspects *quarantine.Table, limits *ratelimit.Table, budgets *retryBudgets, drainTime time.Duration, logger *logging.Logger) *routingState {
	return &routingState{
		decoder:      decoder,
		declared:     &declared.Holder{},
		targets:      &config.Holder{},
		engines:      engines,
		quarantine:   suspects,
		limits:       limits,
		retryBudgets: budgets,
		drainTime:    drainTime,
		initialized:  make(chan struct{}),
		logger:       logger,
		starts:       newTargetStarts(),

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
	r.setRemoteDemand(o.Waiting)
	r.speeds.MergeRemote(o.Speeds, time.Now())
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
	share.Waiting = r.localDemand()
	share.Speeds = r.speeds.Local(full, time.Now())
	if full {
		share.Suspects, r.sharedSuspects = r.quarantine.All(time.Now())
	} else {
		share.Suspects, r.sharedSuspects = r.quarantine.LocalChanges(r.sharedSuspects, time.Now())
	}
	return share
}

// localDemand returns the streams that wait at this VM.
func (r *routingState) localDemand() []*chicoryv1.WaitingDemand {
	if r.queue == nil {
		return nil
	}
	var out []*chicoryv1.WaitingDemand
	for _, d := range r.queue.Demand() {
		out = append(out, &chicoryv1.WaitingDemand{
			Service: d.Service, Priority: uint32(d.Priority), Requests: uint32(d.Requests), PromptTokens: uint64(d.PromptTokens),
		})
	}
	return out
}

func (r *routingState) setRemoteDemand(waiting []*chicoryv1.WaitingDemand) {
	if r.queue == nil {
		return
	}
	var demand []dispatchqueue.Demand
	for _, w := range waiting {
		demand = append(demand, dispatchqueue.Demand{
			Service: w.GetService(), Priority: int(w.GetPriority()), Requests: int(w.GetRequests()), PromptTokens: int(w.GetPromptTokens()),
		})
	}
	r.queue.SetRemoteDemand(demand)
}

// SetTargets implements feed.Sink. It ignores a list that was read before the one in force.
func (r *routingState) SetTargets(list *chicoryv1.TargetList, reading observe.Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list != nil && reading.Began.Before(r.reading.Began) {
		return
	}
	now := time.Now()
	change, begun := r.starts.update(list, reading, now)
	for _, start := range begun {
		r.limits.ForgetStart(start.Address, start.Instance, now)
	}
	first := r.list == nil
	r.list, r.reading = list, reading
	if change != (listChange{}) {
		r.logger.Info(logging.TargetListChanged, logging.Fields{
			"targets": len(list.GetTargets()), "added": change.added, "removed": change.removed, "leaving": change.leaving,
			"returned": change.returned, "excluded": r.starts.excludedCount(),
		})
	}
	if first || change != (listChange{}) || r.removedServices.hasExpired(now) {
		r.storeAddresses()
		r.updateTargets()
	}
}

// storeAddresses stores the addresses of the list. The caller holds mu.
func (r *routingState) storeAddresses() {
	addresses := make(map[string]bool, len(r.list.GetTargets()))
	for _, t := range r.list.GetTargets() {
		addresses[t.GetAddress()] = true
	}
	r.targetAddresses.Store(&addresses)
}

// excludedTargets returns the number of listed targets that get no new requests.
func (r *routingState) excludedTargets() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(r.starts.excludedCount())
}

// ConfirmTargets implements feed.Sink.
func (r *routingState) ConfirmTargets() {
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

// highestPriority returns the highest priority of the streams of a service.
func (r *routingState) highestPriority(service string) int {
	if view := r.declared.Current(); view != nil {
		return view.HighestPriority(service)
	}
	return 0
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
	used := map[string]bool{}
	for _, t := range r.targetsInUse(time.Now()) {
		used[t.GetAddress()] = true
		if service(t.GetService()) == nil {
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
	r.usedAddresses.Store(&used)
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
	r.speeds.Update(listed)
	r.limits.UpdateTargets(listed) // last, as it wakes the requests that wait for permits
}

// readStaleList reads the platform's list directly while no control VM provides a fresh
// one.
func (r *routingState) readStaleList(ctx context.Context, list *observe.TargetListPoller) {
	go list.Run(ctx, r.isListStale)
	for ctx.Err() == nil {
		latest, reading, changed := list.Targets()
		if latest != nil && r.isListStale() {
			r.SetTargets(latest, reading)
		}
		select {
		case <-changed:
		case <-time.After(observe.ListReadInterval): // the list may be unchanged, but read again
		case <-ctx.Done():
		}
	}
}
