package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// newUnequalEngines returns the engines of a list and their speeds. Those in percents take that
// percentage of the usual time, and the others, if any, the usual one.
func newUnequalEngines(list []*chicoryv1.ListedTarget, percents map[string]uint32) (*EngineTable, *speed.Table) {
	e, speeds := newEngines("a", list), speed.NewTable()
	e.SetSpeeds(speeds)
	speeds.Update(list)
	var shared []*chicoryv1.TargetSpeed
	for _, t := range list {
		percent := percents[t.GetAddress()]
		if percent == 0 {
			percent = 100
		}
		// The largest weight leaves a part to the assumption that the engine is as fast as usual.
		shared = append(shared, &chicoryv1.TargetSpeed{Address: t.GetAddress(), Instance: t.GetInstance(), Percent: percent, Weight: 32})
	}
	speeds.MergeRemote(shared, time.Now())
	return e, speeds
}

// readPrompt places a run and processes its prompt.
func readPrompt(t *testing.T, e *EngineTable, prompt string) *Run {
	t.Helper()
	r := mustPlace(t, e, prompt)
	r.MarkPromptRead()
	return r
}

// TestSlowEngineIsUsedLast guards against a load pattern of B in which permanently slow engines get
// as many runs as others: an engine that takes 1.6 times as long gets its first run after usual
// ones have one each, and does get runs before the others are full.
func TestSlowEngineIsUsedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newUnequalEngines(listedTargets(4, "a"), map[string]uint32{"a3": 170})
		runs := map[string]int{}
		for i := range 3 {
			runs[readPrompt(t, e, fmt.Sprint("p", i)).Target.GetAddress()]++
		}
		assert.Equal(t, runs["a3"], 0, "%v", runs)
		for i := range 23 {
			runs[readPrompt(t, e, fmt.Sprint("q", i)).Target.GetAddress()]++
		}
		assert.Assert(t, runs["a3"] > 0, "the slow engine must be used when others are nearly full: %v", runs)
		for _, engine := range []string{"a0", "a1", "a2"} {
			assert.Assert(t, runs[engine] > runs["a3"], "%v", runs)
		}
	})
}

// TestSlowEngineIsUsedWhenOthersAreFull guards against runs that wait at a full engine while a slow
// one has free memory.
func TestSlowEngineIsUsedWhenOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newUnequalEngines(listedTargets(2, "a"), map[string]uint32{"a1": 400})
		runs := map[string]int{}
		for i := range 16 {
			runs[readPrompt(t, e, fmt.Sprint("p", i)).Target.GetAddress()]++
		}
		assert.Equal(t, runs["a0"], 8, "%v", runs)
		assert.Equal(t, runs["a1"], 8, "%v", runs)
	})
}

// TestBackupAvoidsSlowEngines guards against streams that continue on a slow engine after a loss.
func TestBackupAvoidsSlowEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newUnequalEngines(listedTargets(3, "a", "b"), map[string]uint32{"b0": 170, "b2": 170})
		for i := range 2 { // two backups at the usual engine cost more than one at a slow one
			backup, _ := e.ReserveBackup(mustPlace(t, e, fmt.Sprint("p", i)), nil)
			assert.Equal(t, backup.GetAddress(), "b1")
		}
	})
}

// TestNewEngineIsTriedAndNotFlooded guards against an engine without an estimate that gets no run or
// most of them.
func TestNewEngineIsTriedAndNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listedTargets(12, "a")
		percents := map[string]uint32{}
		for i, target := range list {
			percents[target.GetAddress()] = []uint32{65, 80, 100, 100, 125, 160}[i%6]
		}
		e, speeds := newUnequalEngines(list, percents)
		list[3].Instance = "second"
		e.Update(list, engineCapacity)
		speeds.Update(list)
		runs := map[string]int{}
		for i := range 36 {
			runs[readPrompt(t, e, fmt.Sprint("p", i)).Target.GetAddress()]++
		}
		assert.Assert(t, runs["a3"] >= 1 && runs["a3"] <= 6, "%v", runs)
	})
}

// TestLongGapsAreAvoided guards against streams whose mean gap is so long that callers receive many
// events late.
func TestLongGapsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, speeds := newUnequalEngines(listedTargets(2, "a"), map[string]uint32{"a1": 150})
		for range 20 {
			speeds.ObserveEvents("a0", "first-a0", 300*time.Millisecond, 1, time.Now())
		}
		w := PlaceRequest{Service: service, Size: typicalSize, MaxEventGap: 700 * time.Millisecond}
		for range 7 {
			r, err := e.Place(w)
			assert.NilError(t, err)
			r.MarkPromptRead()
			assert.Equal(t, r.Target.GetAddress(), "a0")
		}
	})
}

func TestOnlyPromptOfAnEngine(t *testing.T) {
	e := newEngines("a", listedTargets(1, "a"))
	first, second := mustPlace(t, e, "p"), mustPlace(t, e, "q")
	assert.Assert(t, first.IsOnlyPrompt())
	assert.Assert(t, !second.IsOnlyPrompt())
	assert.Equal(t, second.Running(), 2)
}
