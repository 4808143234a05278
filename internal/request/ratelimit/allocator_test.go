package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// granted returns the number of permits that an entry VM, whose requests always wait, gets within
// a time from begin on.
func granted(a *Allocator, entry string, begin time.Time, within time.Duration) int {
	n := 0
	for now := begin; now.Before(begin.Add(within)); now = now.Add(messageInterval) {
		a.Update(entry, []*chicoryv1.TargetLimit{{Address: desk.address, Instance: desk.instance, Rate: 6, Waiting: 5}}, now)
		limits, _ := a.Grant(entry, 0, now)
		for _, l := range limits {
			n += int(l.GetPermits())
		}
	}
	return n
}

// The leader must not grant what entry VMs that are cut off may issue to themselves, nor keep it
// for VMs that are gone.
func TestPartOfSilentEntryVMsIsNotGranted(t *testing.T) {
	a := NewAllocator()
	for _, entry := range []string{"busy", "silent1", "silent2"} {
		a.Update(entry, nil, start)
	}
	const length = 20 * time.Second
	granted(a, "busy", start, silentAfter+messageInterval)
	whole := 6 * length.Seconds()
	got := float64(granted(a, "busy", start.Add(silentAfter+messageInterval), length))
	want := whole * (1 - ownShare*2/3)
	assert.Assert(t, got > 0.95*want && got < 1.05*want, "%v permits, %v expected", got, want)
	got = float64(granted(a, "busy", start.Add(reservedFor+messageInterval), length))
	assert.Assert(t, got > 0.95*whole, "%v permits, %v expected", got, whole)
}
