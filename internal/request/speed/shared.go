package speed

import (
	"container/list"
	"math"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// maxPerMessage limits the estimates in one message, about 50 bytes each. The rest follows
	// in the next ones.
	maxPerMessage = 64
	// sharedDifference is the logarithm of the change from which an estimate is shared again.
	sharedDifference = 0.0953 // a tenth
	// minSharedWeight is the weight from which an estimate is shared.
	minSharedWeight = 4
	// trustedCount is the number of observations of a service from which its estimates are shared
	// with their full weight. The first ones are those of a few streams on as many targets, and
	// what they are compared with is not yet what is usual.
	trustedCount = 64
	// minSharedInterval is the time between two messages with the same target.
	minSharedInterval = time.Second
	// repeatInterval is the time after which an estimate that has new observations is shared again
	// without a change: receivers reduce its weight with its age.
	repeatInterval = lifetime / 2
	// sharedLifetime is the age from which a shared estimate is ignored: e^-5 of its weight is
	// left.
	sharedLifetime = 5 * lifetime
	// maxReceivedWeight limits the weight of one entry VM's estimate beside those of others.
	maxReceivedWeight = 8
	// maxBoardEntries limits the estimates that a Board holds, above the number of targets of the
	// largest deployments.
	maxBoardEntries = 16384
)

// Local returns the estimates of this process that differ by more than a tenth from what it shared,
// and those that differ that much from the usual and have many more observations than when they
// were shared, or new ones after repeatInterval, up to a limit. If all is set, the receiver has
// none of them yet.
func (t *Table) Local(all bool, now time.Time) []*chicoryv1.TargetSpeed {
	if t == nil || !t.stated.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.center(now)
	if all {
		for _, e := range t.byAddress {
			e.shared = sharedState{}
			if e.measured.weight+e.stated.weight > 0 {
				t.changed[e] = struct{}{}
			}
		}
	}
	var speeds []*chicoryv1.TargetSpeed
	for e := range t.changed {
		if len(speeds) == maxPerMessage {
			break
		}
		local := e.local(now)
		log, weight := local.log-e.service.center, local.weight*e.service.trust()
		switch {
		case now.Sub(e.shared.at) < minSharedInterval:
			continue
		case weight >= minSharedWeight && e.service.isStated(now) && e.shared.isDue(log, weight, now):
			e.shared = sharedState{log: log, weight: weight, at: now}
			speeds = append(speeds, newTargetSpeed(e.address, e.instance, e.shared, local.at))
		}
		delete(t.changed, e)
	}
	return speeds
}

// trust returns the share of the weight with which estimates of the service are shared.
func (s *service) trust() float64 {
	count := max(s.gaps.count, s.calls.count, s.perToken.count, s.stated.count)
	return min(float64(count)/trustedCount, 1)
}

// sharedState is what was shared last of an estimate. The zero value means that nothing was: the
// receiver takes the target for one that is as fast as usual.
type sharedState struct {
	log, weight float64
	at          time.Time
}

// isDue reports whether an estimate must be shared that has now the given logarithm and weight.
func (s sharedState) isDue(log, weight float64, now time.Time) bool {
	switch {
	case math.Abs(log-s.log) > sharedDifference:
		return true
	case math.Abs(log) <= sharedDifference:
		return false
	}
	return weight >= 2*s.weight || now.Sub(s.at) >= repeatInterval
}

func newTargetSpeed(address, instance string, s sharedState, observedAt time.Time) *chicoryv1.TargetSpeed {
	return &chicoryv1.TargetSpeed{
		Address: address, Instance: instance, Percent: percentOf(s.log), Weight: float32(s.weight),
		AgeMs: uint32(max(s.at.Sub(observedAt), 0).Milliseconds()),
	}
}

// MergeRemote replaces the estimates that other processes share for listed incarnations.
func (t *Table) MergeRemote(speeds []*chicoryv1.TargetSpeed, now time.Time) {
	if t == nil || len(speeds) == 0 {
		return
	}
	t.stated.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range speeds {
		e, received := t.byAddress[s.GetAddress()], decode(s, now)
		if e == nil || e.instance != s.GetInstance() || received.weightAt(now) < minWeight {
			continue
		}
		if received.at.After(e.service.statedAt) {
			e.service.statedAt = received.at
		}
		e.remote, e.refreshedAt = received, time.Time{}
	}
}

// decode returns the estimate of a message, or one without weight if it is malformed.
func decode(s *chicoryv1.TargetSpeed, now time.Time) estimate {
	age, weight := time.Duration(s.GetAgeMs())*time.Millisecond, float64(s.GetWeight())
	if s.GetPercent() == 0 || !(weight > 0) || age > sharedLifetime {
		return estimate{}
	}
	log := min(max(math.Log(float64(s.GetPercent())/100), -maxLog), maxLog)
	// The variance is not shared; that of an estimate of some observations is small.
	return estimate{log: log, weight: min(weight, maxWeight), at: now.Add(-age)}
}

func percentOf(log float64) uint32 {
	return uint32(math.Round(100 * math.Exp(min(max(log, -maxLog), maxLog))))
}

// Board holds the estimates that entry VMs share, merged into one for each incarnation, for the
// control VM that leads. It is safe for concurrent use.
type Board struct {
	mu     sync.Mutex // guards the fields below
	speeds map[incarnation]*boardEntry
	// byChange holds the entries, the last changed one first.
	byChange *list.List
	// version increases with every change of an entry.
	version         uint64
	expiryCheckedAt time.Time
}

type incarnation struct{ address, instance string }

// boardEntry is one entry of a Board.
type boardEntry struct {
	incarnation
	estimate estimate
	// sent is the estimate at the last change of version.
	sent    sharedState
	version uint64
	// place is the place in Board.byChange.
	place *list.Element
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{speeds: map[incarnation]*boardEntry{}, byChange: list.New()}
}

// Merge adds the estimates of one entry VM. Beside earlier ones each counts as a few observations,
// so that those of several VMs are averaged.
func (b *Board) Merge(speeds []*chicoryv1.TargetSpeed, now time.Time) {
	if len(speeds) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range speeds {
		received := decode(s, now)
		weight := received.weightAt(now)
		if weight < minWeight {
			continue
		}
		e := b.entry(incarnation{s.GetAddress(), s.GetInstance()})
		if e == nil {
			continue
		}
		if e.estimate.weightAt(now) >= minWeight {
			weight = min(weight, maxReceivedWeight)
		}
		e.estimate.add(received.log, weight, maxWeight, now)
		if e.sent.isDue(e.estimate.log, e.estimate.weight, now) {
			b.version++
			e.version, e.sent = b.version, sharedState{log: e.estimate.log, weight: e.estimate.weight, at: now}
			b.byChange.MoveToFront(e.place)
		}
	}
}

// entry returns the entry of an incarnation, or nil if there is no room for a new one. The caller
// holds mu.
func (b *Board) entry(i incarnation) *boardEntry {
	e := b.speeds[i]
	if e == nil && len(b.speeds) < maxBoardEntries {
		e = &boardEntry{incarnation: i}
		e.place = b.byChange.PushBack(e) // not changed yet
		b.speeds[i] = e
	}
	return e
}

// ChangesSince returns the estimates that changed after a version, the oldest change first and up
// to a limit, and the version to pass to the next call.
func (b *Board) ChangesSince(version uint64, now time.Time) ([]*chicoryv1.TargetSpeed, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	var oldest *list.Element
	for p := b.byChange.Front(); p != nil && p.Value.(*boardEntry).version > version; p = p.Next() {
		oldest = p
	}
	var speeds []*chicoryv1.TargetSpeed
	for p := oldest; p != nil && len(speeds) < maxPerMessage; p = p.Prev() {
		e := p.Value.(*boardEntry)
		version = e.version
		current := sharedState{log: e.estimate.log, weight: e.estimate.weight, at: now}
		speeds = append(speeds, newTargetSpeed(e.address, e.instance, current, e.estimate.at))
	}
	return speeds, version
}

// removeExpired removes the estimates that were not shared again within sharedLifetime, such as
// those of incarnations that are gone. The caller holds mu.
func (b *Board) removeExpired(now time.Time) {
	if now.Sub(b.expiryCheckedAt) < refreshInterval {
		return
	}
	b.expiryCheckedAt = now
	for i, e := range b.speeds {
		if now.Sub(e.estimate.at) > sharedLifetime {
			b.byChange.Remove(e.place)
			delete(b.speeds, i)
		}
	}
}
