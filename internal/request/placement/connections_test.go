package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestScarceConnectionsAreReused guards against a new connection for nearly every stream of a deployment
// with many entry VMs, which place a few streams each on many engines. Each of 69 entry VMs places 300
// streams, one at a time, on 224 engines that accept 530 connections.
func TestScarceConnectionsAreReused(t *testing.T) {
	for _, test := range []struct {
		name                 string
		entryVMs, perEngine  int
		minReused, maxReused int
	}{
		{"scarce", 69, 530, 200, 300},
		{"not scarce", 9, 370, 0, 60},
		{"not configured", 69, 0, 0, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := listedTargets(75, "a", "b", "c")
			idle := map[string]bool{}
			e := newEngines("a", list)
			e.UseConnections(func(address string) bool { return idle[address] }, func(string) int { return test.perEngine })
			e.SetEntryVMs(test.entryVMs)
			e.Update(list, engineCapacity)
			reused := 0
			for i := range 300 {
				r := mustPlace(t, e, fmt.Sprint("prompt ", i))
				if idle[r.Target.GetAddress()] {
					reused++
				}
				r.Release()
				if len(idle) == 4 { // a target closes an idle connection after some seconds
					clear(idle)
				}
				idle[r.Target.GetAddress()] = true
			}
			assert.Assert(t, reused >= test.minReused && reused <= test.maxReused, "%d of 300 streams reuse a connection", reused)
		})
	}
}

// TestLoadedEngineIsNotPreferredForItsConnection guards against an entry VM that sends all of its streams to
// the engine of its only idle connection.
func TestLoadedEngineIsNotPreferredForItsConnection(t *testing.T) {
	list := listedTargets(4, "a")
	e := newEngines("a", list)
	e.UseConnections(func(address string) bool { return address == "a0" }, func(string) int { return 30 })
	e.SetEntryVMs(69)
	e.Update(list, engineCapacity)
	for range 8 {
		mustPlace(t, e, "")
	}
	assert.Assert(t, e.byAddress["a0"].runs <= 3, "%d of 8 runs are at one of 4 engines", e.byAddress["a0"].runs)
}
