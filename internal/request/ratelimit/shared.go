package ratelimit

import (
	"math/rand/v2"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// LocalState returns what the leader must know: the limits that this VM has learned from
// responses, or all that it knows if all is set, and the permits that it wants. A call without
// all shows that the previous state was shared.
func (t *Table) LocalState(all bool, now time.Time) []*chicoryv1.TargetLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !all {
		t.sharedAt = now
	}
	wanted := t.wantedPermits(now)
	var out []*chicoryv1.TargetLimit
	for address, s := range t.targets {
		if s.instance == "" || now.Sub(s.namedAt) >= limitLifetime || !all && !s.unshared && wanted[address] == (wants{}) {
			continue
		}
		if s.unshared {
			s.unshared, s.reportedAt = false, now
		}
		m, w := s.encode(address, now), wanted[address]
		m.Resuming, m.Waiting, m.Spare = w.resuming, w.waiting, w.spare
		out = append(out, m)
	}
	return out
}

// wants is the number of permits that a VM wants from one target: for waiting requests, and for
// those that it expects soon.
type wants struct{ resuming, waiting, spare uint32 }

// wantedPermits returns the wanted permits by address. The caller holds mu.
func (t *Table) wantedPermits(now time.Time) map[string]wants {
	wanted := map[string]wants{}
	for address := range t.targets {
		s := t.limited(address, now)
		if s == nil {
			continue
		}
		s.hasPermit(now) // removes the expired ones
		expected := s.demand.value(now, demandLifetime) / demandLifetime.Seconds() * minPermitLifetime.Seconds()
		if spare := int(expected) - len(s.permits); spare > 0 {
			wanted[address] = wants{spare: uint32(spare)}
		}
	}
	for service, q := range t.queues {
		t.divideWaiting(q, t.limitedTargets(service, now), wanted)
	}
	return wanted
}

// divideWaiting divides the permits that the requests in a queue need among targets. The first
// target is random, so that those of other VMs and of the next call are others.
func (t *Table) divideWaiting(q *queue, targets []string, wanted map[string]wants) {
	if len(targets) == 0 {
		return
	}
	next := rand.IntN(len(targets))
	for _, w := range q.waiters {
		address := targets[next%len(targets)]
		next++
		x := wanted[address]
		if w.Class == ClassResume {
			x.resuming++
		} else {
			x.waiting++
		}
		wanted[address] = x
	}
}

// SetRemoteState applies a report of the leader: the limits that changed, the permits for this
// VM, and the number of entry VMs, this one included.
func (t *Table) SetRemoteState(limits []*chicoryv1.TargetLimit, entryVMs int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaderAt = now
	if entryVMs > 0 {
		t.entryVMs = entryVMs
	}
	for _, m := range limits {
		s := t.update(m.GetAddress(), decode(m, now), now)
		s.contenders, s.contendersAt = float64(m.GetContenders()), now
		for range m.GetPermits() {
			if t.limited(m.GetAddress(), now) != nil {
				s.granted.add(1, now, grantLifetime)
				t.deliver(m.GetAddress(), s, now)
			}
		}
	}
}
