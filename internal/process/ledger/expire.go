package ledger

import (
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Expire removes entries whose key is older than the retention period and marks claims
// in doubt that have been open for MaxOpenAge. It returns the number of entries
// removed.
func (l *Ledger) Expire(now time.Time) int {
	before := len(l.entries)
	l.advanceFloor(now)
	limit := now.Add(-l.settings.MaxOpenAge).UnixMilli()
	for _, openClaims := range l.openByRouter {
		for _, e := range openClaims {
			if e.claim.GetClaimedUnixMs() <= limit {
				l.markInDoubt(e, now)
			}
		}
	}
	return before - len(l.entries)
}

// SetInitialFloor rejects keys from before now. It is called for a new ledger without
// history, because an earlier ledger that was lost may have dispatched the calls of
// those keys.
func (l *Ledger) SetInitialFloor(now time.Time) {
	l.floorMs = max(l.floorMs, now.UnixMilli())
}

// advanceFloor raises the floor to now minus the retention period and removes older
// keys. If the clock steps back, the floor stays as it is.
func (l *Ledger) advanceFloor(now time.Time) {
	l.floorMs = max(l.floorMs, now.Add(-l.settings.Retention).UnixMilli())
	l.removeBelowFloor()
}

func (l *Ledger) removeBelowFloor() {
	for len(l.byKeyTime) > 0 && l.byKeyTime[0].keyMs < l.floorMs {
		l.remove(l.byKeyTime[0])
	}
}

// evictOldest enforces MaxEntries and MaxBytes by raising the floor above the oldest
// keys and removing them.
func (l *Ledger) evictOldest() {
	for len(l.entries) > l.settings.MaxEntries || l.sizeBytes > l.settings.MaxBytes && len(l.entries) > 0 {
		l.floorMs = max(l.floorMs, l.byKeyTime[0].keyMs+1)
		l.removeBelowFloor()
	}
}

// InDoubt returns the claims in doubt, sorted by team and key.
func (l *Ledger) InDoubt() []*chicoryv1.Claim {
	return sortedClaims(l.inDoubt)
}

// InDoubtLen returns the number of claims in doubt.
func (l *Ledger) InDoubtLen() int { return len(l.inDoubt) }

// Export returns all claims, sorted by team and key, and the floor in Unix
// milliseconds.
func (l *Ledger) Export() (claims []*chicoryv1.Claim, floorUnixMs int64) {
	return sortedClaims(l.entries), l.floorMs
}

// Restore replaces the state with an exported one.
func (l *Ledger) Restore(claims []*chicoryv1.Claim, floorUnixMs int64) error {
	l.reset()
	l.floorMs = floorUnixMs
	for _, c := range claims {
		keyMs, err := ParseKey(c.GetKey())
		if err != nil {
			return errors.Annotatef(err, "claim of team %s", c.GetTeam())
		}
		l.add(c, keyMs)
	}
	return nil
}
