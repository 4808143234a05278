package ledger

import (
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Expire drops entries whose key is older than the retention period and puts
// claims that were open for the open limit in doubt. It returns the number of
// entries dropped.
func (l *Ledger) Expire(now time.Time) int {
	before := len(l.entries)
	l.raiseFloor(now)
	limit := now.Add(-l.settings.OpenLimit).UnixMilli()
	for _, run := range l.open {
		for _, e := range run {
			if e.claim.GetClaimedUnixMs() <= limit {
				l.doubt(e, now)
			}
		}
	}
	return before - len(l.entries)
}

// Found begins a ledger that has no history: keys from before now are too old,
// because a ledger that was lost may have run their calls.
func (l *Ledger) Found(now time.Time) {
	l.floorMs = max(l.floorMs, now.UnixMilli())
}

// raiseFloor moves the floor to the retention period before now and drops older
// keys. A clock that steps back leaves the floor where it is.
func (l *Ledger) raiseFloor(now time.Time) {
	l.floorMs = max(l.floorMs, now.Add(-l.settings.Retention).UnixMilli())
	l.dropBelowFloor()
}

func (l *Ledger) dropBelowFloor() {
	for len(l.oldest) > 0 && l.oldest[0].keyMs < l.floorMs {
		l.remove(l.oldest[0])
	}
}

// trim keeps the ledger within its bounds: it moves the floor above the oldest
// keys and drops them.
func (l *Ledger) trim() {
	for len(l.entries) > l.settings.MaxEntries || l.bytes > l.settings.MaxBytes && len(l.entries) > 0 {
		l.floorMs = max(l.floorMs, l.oldest[0].keyMs+1)
		l.dropBelowFloor()
	}
}

// InDoubt returns the claims in doubt, ordered by team and key.
func (l *Ledger) InDoubt() []*chicoryv1.Claim {
	return sortedClaims(l.inDoubt)
}

// InDoubtLen returns the number of claims in doubt.
func (l *Ledger) InDoubtLen() int { return len(l.inDoubt) }

// Export returns all claims, ordered by team and key, and the floor in
// milliseconds since the Unix epoch.
func (l *Ledger) Export() (claims []*chicoryv1.Claim, floorUnixMs int64) {
	return sortedClaims(l.entries), l.floorMs
}

// Restore replaces the state by an exported one.
func (l *Ledger) Restore(claims []*chicoryv1.Claim, floorUnixMs int64) error {
	l.clear()
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
