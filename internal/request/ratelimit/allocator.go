package ratelimit

import (
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// minPermitLifetime is the shortest time after which an unused permit expires.
	minPermitLifetime = time.Second
	// burstTime is the time for which the unused rate of a target is kept.
	burstTime = 500 * time.Millisecond
	// transitTime is the time from a grant to the first report of the entry VM that takes it
	// into account.
	transitTime = 250 * time.Millisecond
	// wantsLifetime is the age from which the wants of an entry VM are not relied on.
	wantsLifetime = time.Second
	// silentAfter is the time without a report after which an entry VM is silent. Until
	// reservedFor has passed, the leader leaves it the permits that it may issue to itself.
	silentAfter = 2 * time.Second
	reservedFor = time.Minute
	// informInterval is the time between two messages to an entry VM that wants permits.
	informInterval = 500 * time.Millisecond
	// publishInterval is the time after which an unchanged limit is sent to entry VMs again.
	publishInterval = time.Minute
)

// Allocator divides the rates of targets among the entry VMs. It belongs to the leading control
// VM and is safe for concurrent use.
type Allocator struct {
	mu       sync.Mutex             // guards the fields below
	targets  map[string]*allocation // by address
	reported map[string]time.Time   // by entry VM, the time of its last report
	// version increases with every change of a limit.
	version uint64
}

// allocation is the rate of one target and the entry VMs that want a part of it.
type allocation struct {
	limit
	// version is the allocator's version at the last change, publishedAt its time.
	version     uint64
	publishedAt time.Time
	// permits is the number that can be granted, at most burst, as of refilledAt.
	permits    float64
	refilledAt time.Time
	entries    map[string]*entryWants
}

// entryWants is what one entry VM wants from a target.
type entryWants struct {
	wants
	at time.Time
	// unsent is the number of permits that were granted and not yet sent.
	unsent uint32
	// informedAt is when the VM was last sent the number of contenders.
	informedAt time.Time
	// grants holds the times of the latest grants, the earliest first.
	grants []time.Time
}

// NewAllocator returns an allocator that knows no limits.
func NewAllocator() *Allocator {
	return &Allocator{targets: map[string]*allocation{}, reported: map[string]time.Time{}}
}

// Update applies the report of an entry VM. It replaces what that VM wants.
func (a *Allocator) Update(entry string, limits []*chicoryv1.TargetLimit, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported[entry] = now
	for _, x := range a.targets {
		if e := x.entries[entry]; e != nil {
			e.wants = wants{}
		}
	}
	for _, m := range limits {
		x := a.merge(m.GetAddress(), decode(m, now), now)
		w := wants{m.GetResuming(), m.GetWaiting(), m.GetSpare()}
		if x == nil || w == (wants{}) {
			continue
		}
		e := x.entries[entry]
		if e == nil {
			e = &entryWants{}
			x.entries[entry] = e
		}
		e.wants, e.at = w, now
	}
}

// merge replaces an earlier limit of the target at address. It returns nil if none is known.
func (a *Allocator) merge(address string, l limit, now time.Time) *allocation {
	x := a.targets[address]
	if x == nil {
		if now.Sub(l.namedAt) >= limitLifetime {
			return nil
		}
		x = &allocation{refilledAt: now, entries: map[string]*entryWants{}}
		a.targets[address] = x
	}
	if !l.isNewer(x.limit) {
		return x
	}
	if !l.isSame(x.limit) || now.Sub(x.publishedAt) >= publishInterval {
		a.version++
		x.version, x.publishedAt = a.version, now
	}
	if l.instance != x.instance {
		x.permits = 0
	}
	x.limit = l
	return x
}

// Grant returns the permits granted to an entry VM since the last call, and the limits that
// changed after version. next is the version of the next call.
func (a *Allocator) Grant(entry string, version uint64, now time.Time) (limits []*chicoryv1.TargetLimit, next uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	share := a.grantedShare(now)
	for address, x := range a.targets {
		if now.Sub(x.namedAt) >= limitLifetime {
			delete(a.targets, address)
			continue
		}
		x.divide(share, now)
		e := x.entries[entry]
		if x.version <= version && (e == nil || !e.mustInform(now)) {
			continue
		}
		m := x.encode(address, now)
		m.Contenders = x.contenders(now)
		if e != nil {
			m.Permits, e.unsent, e.informedAt = e.unsent, 0, now
		}
		limits = append(limits, m)
	}
	return limits, a.version
}

// grantedShare is the share of the rates that is granted. The rest is left to the entry VMs that
// may be cut off. The caller holds mu.
func (a *Allocator) grantedShare(now time.Time) float64 {
	silent := 0
	for entry, at := range a.reported {
		switch age := now.Sub(at); {
		case age > reservedFor:
			delete(a.reported, entry)
		case age > silentAfter:
			silent++
		}
	}
	return 1 - ownShare*float64(silent)/float64(max(len(a.reported), 1))
}

// contenders returns the number of entry VMs that have requests waiting for permits.
func (x *allocation) contenders(now time.Time) uint32 {
	n := uint32(0)
	for _, e := range x.entries {
		if e.resuming+e.waiting > 0 && now.Sub(e.at) <= wantsLifetime {
			n++
		}
	}
	return n
}

// mustInform reports whether a message to the entry VM is due.
func (e *entryWants) mustInform(now time.Time) bool {
	return e.unsent > 0 || e.wants != (wants{}) && now.Sub(e.informedAt) >= informInterval
}

// burst is the highest number of permits that can be granted at once.
func (x *allocation) burst() float64 { return 1 + x.rate*burstTime.Seconds() }

// divide grants the permits that have become available: to the resumption of streams first, then
// to the other requests that wait, and what would be lost to those that are expected. Among the
// entry VMs, the one whose last grant is the oldest comes first.
func (x *allocation) divide(share float64, now time.Time) {
	x.permits = min(x.permits+share*x.rate*now.Sub(x.refilledAt).Seconds(), x.burst())
	x.refilledAt = now
	if x.rate == 0 {
		return
	}
	full := x.permits == x.burst()
	for x.permits >= 1 {
		e := x.next(now, func(w wants) uint32 { return w.resuming })
		if e == nil {
			e = x.next(now, func(w wants) uint32 { return w.resuming + w.waiting })
		}
		if e == nil && full {
			e = x.next(now, func(w wants) uint32 { return w.resuming + w.waiting + w.spare })
			full = false
		}
		if e == nil {
			return
		}
		x.permits--
		e.unsent++
		e.grants = append(e.grants, now)
	}
}

// next returns the entry VM that wants more permits than it is getting and whose last grant is
// the oldest, or nil.
func (x *allocation) next(now time.Time, wanted func(wants) uint32) *entryWants {
	var first *entryWants
	for _, e := range x.entries {
		if now.Sub(e.at) > wantsLifetime {
			e.wants, e.unsent = wants{}, 0
			continue
		}
		if wanted(e.wants) > e.inTransit(now) && (first == nil || e.lastGrant().Before(first.lastGrant())) {
			first = e
		}
	}
	return first
}

// inTransit returns the number of permits that the wants don't take into account yet.
func (e *entryWants) inTransit(now time.Time) uint32 {
	for len(e.grants) > 1 && now.Sub(e.grants[0]) > transitTime {
		e.grants = e.grants[1:]
	}
	n := uint32(0)
	for _, at := range e.grants {
		if now.Sub(at) <= transitTime {
			n++
		}
	}
	return n
}

func (e *entryWants) lastGrant() time.Time {
	if n := len(e.grants); n > 0 {
		return e.grants[n-1]
	}
	return time.Time{}
}
