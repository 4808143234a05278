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
)

const service = "model"

var usual = Size{Prompt: 5000, Output: 1000}

// listed returns n engines in each zone, named by zone and number.
func listed(n int, zones ...string) []*chicoryv1.ListedTarget {
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

func memory(string) int { return 55_000 }

func newEngines(zone string, list []*chicoryv1.ListedTarget) *Engines {
	e := NewEngines(Defaults(), zone)
	e.Update(list, memory)
	return e
}

func placed(t testing.TB, e *Engines, prompt string) *Run {
	t.Helper()
	r, err := e.Place(Want{Service: service, Size: usual, Prompt: prompt})
	assert.NilError(t, err)
	return r
}

func TestRunsSpreadByMemoryAndUnreadPrompts(t *testing.T) {
	e := newEngines("a", listed(6, "a", "b", "c"))
	at := map[string]int{}
	for i := range 18 {
		at[placed(t, e, fmt.Sprint("p", i)).Target.GetAddress()]++
	}
	for address, n := range at {
		assert.Assert(t, n <= 2, "%s has %d of 18 runs", address, n)
	}
}

func TestBackupIsInAnotherZone(t *testing.T) {
	e := newEngines("a", listed(2, "a", "b"))
	r := placed(t, e, "p")
	keeper, release := e.Backup(r, nil)
	assert.Assert(t, keeper.GetAvailabilityZone() != r.Target.GetAvailabilityZone())
	release()
	r.End()
	loads, _ := e.Own(false)
	assert.Equal(t, len(loads), 0, "what ended counts nowhere: %v", loads)
}

// TestZoneLossDuringABurst: the pattern is a burst of new streams just when the
// engines of one availability zone die. After the first losses, what comes goes to
// the other zones, though the list still names the dead ones.
func TestZoneLossDuringABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", listed(6, "a", "b", "c"))
		dead := 0
		for i := range 40 {
			r := placed(t, e, fmt.Sprint("p", i))
			if r.Target.GetAvailabilityZone() == "a" {
				dead++
				r.MarkLost()
				r.End()
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, dead <= 6, "%d of 40 streams went to the 6 dead engines: one try each is the most", dead)
		time.Sleep(10 * time.Second)
		for i := range 40 {
			if placed(t, e, fmt.Sprint("q", i)).Target.GetAvailabilityZone() == "a" {
				return
			}
		}
		t.Fatal("the zone is never used again")
	})
}

// TestReturnThroughAnotherEntryVM: the pattern is an entry VM that dies or leaves; its
// callers come back through others, which find the engines that read the prompts.
func TestReturnThroughAnotherEntryVM(t *testing.T) {
	list := listed(6, "a", "b", "c")
	first, second := newEngines("a", list), newEngines("b", list)
	for i := range 10 {
		prompt := fmt.Sprint("p", i)
		r := placed(t, first, prompt)
		r.PromptRead()
		loads, places := first.Own(false)
		second.SetOthers(loads)
		second.AddPlaces(places)
		back := placed(t, second, prompt)
		assert.Equal(t, back.Target.GetAddress(), r.Target.GetAddress())
		back.End()
	}
}

// TestReturnAfterEverythingRestarted: the pattern is a loss of power of the whole
// system but the engines. Nobody remembers where a prompt was read; several times as
// many callers as by chance must find it all the same.
func TestReturnAfterEverythingRestarted(t *testing.T) {
	list := listed(6, "a", "b", "c")
	before := map[string]string{}
	first := newEngines("a", list)
	for i := range 30 {
		prompt := fmt.Sprint("p", i)
		r := placed(t, first, prompt)
		r.PromptRead()
		before[prompt] = r.Target.GetAddress()
	}
	second, found := newEngines("b", list), 0
	for prompt, address := range before {
		if placed(t, second, prompt).Target.GetAddress() == address {
			found++
		}
	}
	byChance := len(before) / len(list)
	assert.Assert(t, found >= 3*max(byChance, 1), "%d of 30 found their prompt", found)
}

// TestHerdOfReturningStreams: the pattern is many streams that come back at once
// through several entry VMs. What these share keeps them from choosing alike.
func TestHerdOfReturningStreams(t *testing.T) {
	list := listed(6, "a", "b", "c")
	var entries []*Engines
	for _, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		entries = append(entries, newEngines(zone, list))
	}
	at := map[string]int{}
	for i := range 36 {
		e := entries[i%len(entries)]
		e.SetOthers(sumBut(entries, e))
		at[placed(t, e, "").Target.GetAddress()]++
	}
	for address, n := range at {
		assert.Assert(t, n <= 3, "%s has %d of 36 streams", address, n)
	}
}

// sumBut adds up the loads of all entry VMs but one.
func sumBut(entries []*Engines, except *Engines) []*chicoryv1.EngineLoad {
	sum := map[string]*chicoryv1.EngineLoad{}
	var out []*chicoryv1.EngineLoad
	for _, e := range entries {
		if e == except {
			continue
		}
		loads, _ := e.Own(false)
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

func TestLostEngineTellsItsRuns(t *testing.T) {
	e := newEngines("a", listed(1, "a"))
	first, second := placed(t, e, ""), placed(t, e, "")
	first.MarkLost()
	select {
	case <-second.Lost:
	default:
		t.Fatal("the other run at the engine was not told")
	}
}

// TestStaleEngineWaitsForANewerList: another start answered at the address.
func TestStaleEngineWaitsForANewerList(t *testing.T) {
	e := newEngines("a", listed(1, "a", "b"))
	stale := e.byAddress["a0"]
	r := e.begin(stale, usual, 0)
	r.MarkStale()
	r.End()
	for range 5 {
		r := placed(t, e, "")
		assert.Equal(t, r.Target.GetAddress(), "b0")
		r.End()
	}
	list := listed(1, "a", "b")
	list[0].Instance = "second"
	e.Update(list, memory)
	e.zoneLosses = map[string]time.Time{}
	r = placed(t, e, "")
	assert.Equal(t, r.Target.GetInstance(), "second")
}

func TestNoEngineIsARefusal(t *testing.T) {
	e := newEngines("a", nil)
	_, err := e.Place(Want{Service: service, Size: usual})
	assert.Assert(t, fault.Is(err, fault.NoTarget))
	list := listed(1, "a")
	list[0].Leaving = true
	e.Update(list, memory)
	_, err = e.Place(Want{Service: service, Size: usual})
	assert.Assert(t, fault.Is(err, fault.NoTarget), "a leaving engine gets nothing new")
}

// TestCountsReturnToZero draws runs, backups, losses and lists: when all has ended,
// nothing is counted any more.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := listed(2, "a", "b")
		e := newEngines("a", list)
		var ends []func()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r, err := e.Place(Want{Service: service, Size: usual, Prompt: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prompt")})
				if err != nil {
					continue
				}
				_, release := e.Backup(r, nil)
				ends = append(ends, r.End, r.End, release)
				if rapid.Bool().Draw(t, "read") {
					r.PromptRead()
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
				e.Update(list, memory)
			}
		}
		for _, end := range ends {
			end()
		}
		for address, x := range e.byAddress {
			if x.runs != 0 || x.tokens != 0 || x.prompts != 0 || x.backups != 0 {
				t.Fatalf("%s still has %d runs, %d tokens, %d unread, %d of backups", address, x.runs, x.tokens, x.prompts, x.backups)
			}
		}
	})
}
