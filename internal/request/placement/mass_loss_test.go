package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFormerInstancesOfALostZoneComeLast guards against attempts that the engines of a zone refuse after all
// of them were lost and have restarted, while the list still has their former instances: each attempt costs a
// part of the retry budget at the time at which most streams wait for it.
func TestFormerInstancesOfALostZoneComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listedTargets(6, "a", "b")
		e := newEngines("a", list)
		time.Sleep(time.Second)
		for i := range massLossEngines {
			e.markLost(e.byAddress[list[i].GetAddress()]) // of zone a
		}
		time.Sleep(3 * time.Second) // cooldowns and the window of single losses have ended
		for range 12 {
			assert.Equal(t, mustPlace(t, e, "").Target.GetAvailabilityZone(), "b")
		}
		restarted := listedTargets(6, "a", "b")
		for i := range 6 {
			restarted[i].Instance = "second"
		}
		e.Update(restarted, engineCapacity)
		assert.Equal(t, mustPlace(t, e, "").Target.GetInstance(), "second", "the list has the new instances")
	})
}

// TestFewLossesDoNotEmptyAZone guards against a zone without requests after engines of it have restarted one
// after the other.
func TestFewLossesDoNotEmptyAZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listedTargets(6, "a", "b")
		e := newEngines("a", list)
		for i := range 4 {
			time.Sleep(2 * massLossTime)
			e.markLost(e.byAddress[list[i].GetAddress()])
		}
		time.Sleep(3 * time.Second)
		for range 12 {
			if mustPlace(t, e, "").Target.GetAvailabilityZone() == "a" {
				return
			}
		}
		t.Fatal("no run is placed in the zone")
	})
}
