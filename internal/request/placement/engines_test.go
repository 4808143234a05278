package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

const service = "model"

var typicalSize = Size{Prompt: 5000, Output: 1000}

// listedTargets returns n engines per zone, named by zone and number.
func listedTargets(n int, zones ...string) []*chicoryv1.ListedTarget {
	var out []*chicoryv1.ListedTarget
	for _, zone := range zones {
		for i := range n {
			name := fmt.Sprintf("%s%d", zone, i)
			out = append(out, &chicoryv1.ListedTarget{
				Address: name, Instance: "first-" + name, Service: service, AvailabilityZone: zone,
			})
		}
	}
	return out
}

func engineCapacity(string) int { return 55_000 }

func newEngines(zone string, list []*chicoryv1.ListedTarget) *EngineTable {
	e := NewEngineTable(Defaults(), zone, request.Unlimited{})
	e.Update(list, engineCapacity)
	return e
}

func mustPlace(t testing.TB, e *EngineTable, prompt string) *Run {
	t.Helper()
	r, err := e.Place(PlaceRequest{Service: service, Size: typicalSize, Prompt: prompt})
	assert.NilError(t, err)
	return r
}

func TestRunsSpreadByMemoryAndUnreadPrompts(t *testing.T) {
	e := newEngines("a", listedTargets(6, "a", "b", "c"))
	runsAt := map[string]int{}
	for i := range 18 {
		runsAt[mustPlace(t, e, fmt.Sprint("p", i)).Target.GetAddress()]++
	}
	for address, n := range runsAt {
		assert.Assert(t, n <= 2, "%s has %d of 18 runs", address, n)
	}
}

func TestBackupIsInAnotherZone(t *testing.T) {
	e := newEngines("a", listedTargets(2, "a", "b"))
	r := mustPlace(t, e, "p")
	backup, release := e.ReserveBackup(r, nil)
	assert.Assert(t, backup.GetAvailabilityZone() != r.Target.GetAvailabilityZone())
	release()
	r.Release()
	loads, _ := e.LocalState(false)
	assert.Equal(t, len(loads), 0, "ended runs and released backups must not count as load: %v", loads)
}

// TestZoneLossDuringABurst guards against placing runs on dead engines when all engines
// of an availability zone fail during a burst of new streams. After the first losses, new
// streams go to the other zones, although the list still contains the dead engines.
func TestZoneLossDuringABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", listedTargets(6, "a", "b", "c"))
		dead := 0
		for i := range 40 {
			r := mustPlace(t, e, fmt.Sprint("p", i))
			if r.Target.GetAvailabilityZone() == "a" {
				dead++
				r.MarkLost()
				r.Release()
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, dead <= 6, "%d of 40 streams went to the 6 dead engines, at most one each is allowed", dead)
		time.Sleep(10 * time.Second)
		for i := range 40 {
			if mustPlace(t, e, fmt.Sprint("q", i)).Target.GetAvailabilityZone() == "a" {
				return
			}
		}
		t.Fatal("the zone is never used again")
	})
}

// TestReturnThroughAnotherEntryVM guards against reprocessing prompts when an entry VM
// fails or leaves: its callers return through other entry VMs, which must select the
// engines that have processed their prompts.
func TestReturnThroughAnotherEntryVM(t *testing.T) {
	list := listedTargets(6, "a", "b", "c")
	first, second := newEngines("a", list), newEngines("b", list)
	for i := range 10 {
		prompt := fmt.Sprint("p", i)
		r := mustPlace(t, first, prompt)
		r.MarkPromptRead()
		loads, locations := first.LocalState(false)
		second.SetRemoteLoads(loads)
		second.AddPromptLocations(locations)
		returned := mustPlace(t, second, prompt)
		assert.Equal(t, returned.Target.GetAddress(), r.Target.GetAddress())
		returned.Release()
	}
}

// TestReturnAfterEverythingRestarted covers a power loss of the whole system except the
// engines, after which no recorded prompt locations are left. Several times as many
// returning callers as by chance must still reach the engine with their prompt.
func TestReturnAfterEverythingRestarted(t *testing.T) {
	list := listedTargets(6, "a", "b", "c")
	before := map[string]string{}
	first := newEngines("a", list)
	for i := range 30 {
		prompt := fmt.Sprint("p", i)
		r := mustPlace(t, first, prompt)
		r.MarkPromptRead()
		before[prompt] = r.Target.GetAddress()
	}
	second, found := newEngines("b", list), 0
	for prompt, address := range before {
		if mustPlace(t, second, prompt).Target.GetAddress() == address {
			found++
		}
	}
	byChance := len(before) / len(list)
	assert.Assert(t, found >= 3*max(byChance, 1), "%d of 30 callers reached the engine with their prompt", found)
}

// TestReturningStreamsSpreadAcrossEngines guards against a thundering herd: many streams
// return at once through several entry VMs, whose shared loads must keep them from
// selecting the same engines.
func TestReturningStreamsSpreadAcrossEngines(t *testing.T) {
	list := listedTargets(6, "a", "b", "c")
	var entries []*EngineTable
	for _, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		entries = append(entries, newEngines(zone, list))
	}
	runsAt := map[string]int{}
	for i := range 36 {
		e := entries[i%len(entries)]
		e.SetRemoteLoads(sumLoadsExcept(entries, e))
		runsAt[mustPlace(t, e, "").Target.GetAddress()]++
	}
	for address, n := range runsAt {
		assert.Assert(t, n <= 3, "%s has %d of 36 streams", address, n)
	}
}

// sumLoadsExcept returns the sum of the loads of all entry VMs but one.
func sumLoadsExcept(entries []*EngineTable, except *EngineTable) []*chicoryv1.EngineLoad {
	sum := map[string]*chicoryv1.EngineLoad{}
	var out []*chicoryv1.EngineLoad
	for _, e := range entries {
		if e == except {
			continue
		}
		loads, _ := e.LocalState(false)
		for _, l := range loads {
			if sum[l.GetAddress()] == nil {
				sum[l.GetAddress()] = &chicoryv1.EngineLoad{Address: l.GetAddress()}
				out = append(out, sum[l.GetAddress()])
			}
			sum[l.GetAddress()].Tokens += l.GetTokens()
			sum[l.GetAddress()].Unread += l.GetUnread()
		}
	}
	return out
}

func TestLossOfAnEngineNotifiesItsRuns(t *testing.T) {
	e := newEngines("a", listedTargets(1, "a"))
	first, second := mustPlace(t, e, ""), mustPlace(t, e, "")
	first.MarkLost()
	select {
	case <-second.EngineLost:
	default:
		t.Fatal("the other run on the engine was not notified")
	}
}

// TestStaleEngineWaitsForANewerList: after another instance answered at an address, the
// engine gets no work until a list contains the new instance.
func TestStaleEngineWaitsForANewerList(t *testing.T) {
	e := newEngines("a", listedTargets(1, "a", "b"))
	stale := e.byAddress["a0"]
	r := e.startRun(stale, typicalSize, 0)
	r.MarkStale()
	r.Release()
	for range 5 {
		r := mustPlace(t, e, "")
		assert.Equal(t, r.Target.GetAddress(), "b0")
		r.Release()
	}
	list := listedTargets(1, "a", "b")
	list[0].Instance = "second"
	e.Update(list, engineCapacity)
	e.zoneLosses = map[string]time.Time{}
	r = mustPlace(t, e, "")
	assert.Equal(t, r.Target.GetInstance(), "second")
}

func TestNoEligibleEngineIsAnError(t *testing.T) {
	e := newEngines("a", nil)
	_, err := e.Place(PlaceRequest{Service: service, Size: typicalSize})
	assert.Assert(t, fault.Is(err, fault.NoTarget))
	list := listedTargets(1, "a")
	list[0].Leaving = true
	e.Update(list, engineCapacity)
	_, err = e.Place(PlaceRequest{Service: service, Size: typicalSize})
	assert.Assert(t, fault.Is(err, fault.NoTarget), "a leaving engine must get no new work")
}

// TestCountsReturnToZero generates random sequences of runs, backups, losses and list
// updates. After all runs have ended, all load counters must be 0.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := listedTargets(2, "a", "b")
		e := newEngines("a", list)
		var ends []func()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r, err := e.Place(PlaceRequest{Service: service, Size: typicalSize, Prompt: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prompt")})
				if err != nil {
					continue
				}
				_, release := e.ReserveBackup(r, nil)
				ends = append(ends, r.Release, r.Release, release)
				if rapid.Bool().Draw(t, "read") {
					r.MarkPromptRead()
				}
				if rapid.Bool().Draw(t, "lost") {
					r.MarkLost()
				}
			case 2:
				if len(ends) > 0 {
					ends[0]()
					ends = ends[1:]
				}
			case 3:
				e.Update(list, engineCapacity)
			}
		}
		for _, end := range ends {
			end()
		}
		for address, x := range e.byAddress {
			if x.runs != 0 || x.runTokens != 0 || x.unreadTokens != 0 || x.backupTokens != 0 {
				t.Fatalf("%s still has %d runs, %d run tokens, %d unread tokens, %d backup tokens", address, x.runs, x.runTokens, x.unreadTokens, x.backupTokens)
			}
		}
	})
}
