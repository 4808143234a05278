package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// reportInterval is the time after which the same limit is shared again if the target
	// still names it.
	reportInterval = 10 * time.Second
	// contactTimeout is the time without an exchange with the leader from which an entry VM
	// issues permits to itself. An election takes up to one second.
	contactTimeout = 1500 * time.Millisecond
	// ownShare is the fraction of its equal share of a rate that an entry VM without contact to
	// the leader uses: the leader may not have noticed yet.
	ownShare = 0.5
	// contendersLifetime is the age from which the number of contenders is not relied on. The
	// leader reports it again earlier to a VM that wants permits.
	contendersLifetime = contactTimeout
)

// Options configures a Table. All fields are required.
type Options struct {
	// EntryVMs is the number of entry VMs that is assumed until the leader reports it.
	EntryVMs int
	Logger   *logging.Logger
	Registry metrics.Registry
}

// Table holds the limits that an entry VM knows, its permits, and the requests that wait for
// one. It is safe for concurrent use.
type Table struct {
	opts Options
	// waited and refused count requests.
	waited, refused metrics.Counter

	mu      sync.Mutex              // guards the fields below
	targets map[string]*targetState // by address
	listed  map[string]listedTarget // by address
	closed  map[string]closing      // by address
	queues  map[string]*queue       // by service
	// openings counts what a request that waits in no queue isn't told of: permits that were kept,
	// and changes that let all requests try again.
	openings uint64
	// entryVMs is the number of entry VMs, this one included.
	entryVMs int
	// leaderAt is when the leader last reported, sharedAt when a report to it last succeeded.
	leaderAt, sharedAt time.Time
}

// listedTarget is a target of the platform's list that may get requests.
type listedTarget struct{ service, instance string }

// targetState is the state of the target at one address.
type targetState struct {
	limit
	// wasListed: the start that named the limit has been on the list. If another one is listed
	// later, it begins without a limit.
	wasListed bool
	// unshared: the leader doesn't have the limit yet. reportedAt is when it was last shared.
	unshared   bool
	reportedAt time.Time
	// permits holds when the unused permits expire, the earliest first.
	permits []time.Time
	// nextOwn is when this VM issues itself the next permit; the zero time while it is in
	// contact with the leader.
	nextOwn time.Time
	// contenders is the number of entry VMs with requests that wait for permits, as of
	// contendersAt.
	contenders   float64
	contendersAt time.Time
	// demand counts the requests that were to be sent to the target, granted the permits.
	demand, granted decayed
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	t := &Table{
		opts:     opts,
		waited:   metrics.GetOrRegisterCounter("request.limit_waited", opts.Registry),
		refused:  metrics.GetOrRegisterCounter("request.limit_refused", opts.Registry),
		targets:  map[string]*targetState{},
		listed:   map[string]listedTarget{},
		closed:   map[string]closing{},
		queues:   map[string]*queue{},
		entryVMs: opts.EntryVMs,
	}
	metrics.NewRegisteredFunctionalGauge("targets.limited", opts.Registry, t.limitedCount)
	metrics.NewRegisteredFunctionalGauge("targets.closed", opts.Registry, t.closedCount)
	return t
}

// UpdateTargets replaces the list of targets.
func (t *Table) UpdateTargets(targets []*chicoryv1.ListedTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[string]listedTarget, len(targets))
	for _, x := range targets {
		t.listed[x.GetAddress()] = listedTarget{x.GetService(), x.GetInstance()}
		if s := t.targets[x.GetAddress()]; s != nil && s.instance == x.GetInstance() {
			s.wasListed = true
		}
	}
	now := time.Now()
	for address, s := range t.targets {
		if now.Sub(s.namedAt) >= limitLifetime {
			delete(t.targets, address)
		}
	}
	t.removeClosings(now)
	for service := range t.queues {
		t.wakeAll(service)
	}
}

// ForgetStart ends the limit that an earlier start of the target at address named under the same ID, and
// the time for which it wanted no requests.
func (t *Table) ForgetStart(address, instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed[address].instance == instance {
		delete(t.closed, address)
	}
	if s := t.targets[address]; s != nil && s.instance == instance && s.wasListed {
		t.update(address, limit{instance: instance, namedAt: now}, now).permits = nil
	}
}

// Observe records what a response of a start of the target at address names: a rate in requests
// per second, or 0 for no limit.
func (t *Table) Observe(address, instance string, rate float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := limit{instance: instance, rate: validRate(rate), namedAt: now}
	s := t.targets[address]
	if l.rate == 0 && s == nil {
		return
	}
	changed := s == nil || !l.isSame(s.limit)
	s = t.update(address, l, now)
	if changed || now.Sub(s.reportedAt) >= reportInterval {
		s.unshared = true
	}
}

// update replaces an earlier limit of the target at address. The caller holds mu.
func (t *Table) update(address string, l limit, now time.Time) *targetState {
	s := t.targets[address]
	if s == nil {
		s = &targetState{}
		t.targets[address] = s
	}
	if !l.isNewer(s.limit) {
		return s
	}
	wasInForce, changed := s.isInForce(now), !l.isSame(s.limit)
	if l.instance != s.instance {
		s.permits, s.wasListed = nil, false
	}
	s.limit = l
	s.wasListed = s.wasListed || t.listed[address].instance == l.instance
	switch {
	case changed && l.isInForce(now):
		t.opts.Logger.Warn(logging.TargetLimited, logging.Fields{"target": address, "instance": l.instance, "rate": l.rate})
	case changed && wasInForce:
		t.opts.Logger.Info(logging.TargetLimitEnded, logging.Fields{"target": address, "instance": l.instance})
		t.wakeAll(t.listed[address].service)
	}
	return s
}

// limited returns the state of the target at address if requests to it are limited, or nil.
// Requests to another start than the one that named the limit are limited too, unless that
// start is gone: an older list may name an earlier one. The caller holds mu.
func (t *Table) limited(address string, now time.Time) *targetState {
	s := t.targets[address]
	if s == nil || !s.isInForce(now) || s.wasListed && t.listed[address].instance != s.instance {
		return nil
	}
	return s
}

// IsLimited reports whether requests to the target at address need a permit, or it takes none now.
func (t *Table) IsLimited(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	return t.isClosed(address, now) || t.limited(address, now) != nil
}

// HasRoom reports whether Take would return true.
func (t *Table) HasRoom(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.isClosed(address, now) {
		return false
	}
	s := t.limited(address, now)
	if s == nil {
		return true
	}
	t.issueOwn(address, s, now)
	return s.hasPermit(now)
}

// Take reports whether a request may be sent to the target at address now, and uses a permit
// if one is needed.
func (t *Table) Take(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.isClosed(address, now) {
		return false
	}
	s := t.limited(address, now)
	if s == nil {
		return true
	}
	s.demand.add(1, now, demandLifetime)
	t.issueOwn(address, s, now)
	if !s.hasPermit(now) {
		return false
	}
	s.permits = s.permits[1:]
	return true
}

// Return gives back a permit that was not used.
func (t *Table) Return(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[address]; s != nil {
		t.deliver(address, s, time.Now())
	}
}

// deliver passes a permit to the first of the requests that wait for one, or keeps it. The
// caller holds mu.
func (t *Table) deliver(address string, s *targetState, now time.Time) {
	if q := t.queues[t.listed[address].service]; q != nil && !t.isClosed(address, now) {
		if w := q.takeFirst(address, now); w != nil {
			w.ready <- address
			return
		}
	}
	s.permits = append(s.permits, now.Add(s.permitLifetime()))
	t.openings++
}

// hasPermit removes the expired permits and reports whether one is left.
func (s *targetState) hasPermit(now time.Time) bool {
	for len(s.permits) > 0 && !now.Before(s.permits[0]) {
		s.permits = s.permits[1:]
	}
	return len(s.permits) > 0
}

// outOfContact reports whether the leader can't grant permits to this VM. The caller holds mu.
func (t *Table) outOfContact(now time.Time) bool {
	return now.Sub(t.leaderAt) > contactTimeout || now.Sub(t.sharedAt) > contactTimeout
}

// issueOwn issues the permits that are due to a VM without contact to the leader. They come
// singly and expire, so that the permits of many idle VMs don't add up. The caller holds mu.
func (t *Table) issueOwn(address string, s *targetState, now time.Time) {
	if !t.outOfContact(now) {
		s.nextOwn = time.Time{}
		return
	}
	interval := time.Duration(float64(time.Second) / (ownShare * t.equalShare(s)))
	if s.nextOwn.IsZero() {
		s.nextOwn = now.Add(time.Duration(rand.Float64() * float64(interval)))
	}
	if late := now.Sub(s.nextOwn) - s.permitLifetime(); late > 0 {
		s.nextOwn = s.nextOwn.Add((late/interval + 1) * interval)
	}
	for ; !now.Before(s.nextOwn); s.nextOwn = s.nextOwn.Add(interval) {
		s.granted.add(1, now, grantLifetime)
		t.deliver(address, s, now)
	}
}

// equalShare is this VM's part of the target's rate if all VMs use the same. The caller holds mu.
func (t *Table) equalShare(s *targetState) float64 { return s.rate / float64(t.entryVMs) }

// expectedRate is the rate at which this VM can expect permits for the target. A VM that has not
// wanted any lately may expect the whole rate, until it learns of contenders. The caller holds mu.
func (t *Table) expectedRate(s *targetState, now time.Time) float64 {
	if t.outOfContact(now) {
		return ownShare * t.equalShare(s)
	}
	if now.Sub(s.contendersAt) > contendersLifetime {
		return s.rate
	}
	return max(s.granted.value(now, grantLifetime)/grantLifetime.Seconds(), s.rate/max(s.contenders, 1))
}

// limitedCount returns the number of targets whose limits are in force.
func (t *Table) limitedCount() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := int64(0), time.Now()
	for address := range t.targets {
		if t.limited(address, now) != nil {
			n++
		}
	}
	return n
}
