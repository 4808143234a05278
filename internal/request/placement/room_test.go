package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// roomRequest is a request that waits for room.
var roomRequest = PlaceRequest{Service: service, Size: typicalSize, PreferRoom: true, NeedsRoom: true}

// withSlots sets the slots of listed engines.
func withSlots(n uint32, list []*chicoryv1.ListedTarget) []*chicoryv1.ListedTarget {
	for _, t := range list {
		t.Slots = n
	}
	return list
}

// fill places runs whose prompts are processed at once until no engine has room.
func fill(t *testing.T, e *EngineTable) []*Run {
	t.Helper()
	var runs []*Run
	for e.HasRoom(roomRequest) {
		r, err := e.Place(roomRequest)
		assert.NilError(t, err)
		r.MarkPromptRead()
		runs = append(runs, r)
		assert.Assert(t, len(runs) < 1000)
	}
	return runs
}

// TestRoomIsSlotsMemoryAndPrompts guards against runs that wait in an engine's own queue or evict others.
func TestRoomIsSlotsMemoryAndPrompts(t *testing.T) {
	for name, c := range map[string]struct {
		slots uint32
		size  Size
		read  bool // prompts are processed at once
		want  int
	}{
		"memory":                       {12, typicalSize, true, 8},
		"slots":                        {4, typicalSize, true, 4},
		"unknown slots":                {0, typicalSize, true, 8},
		"prompts":                      {12, typicalSize, false, 2},
		"short prompts":                {12, Size{Prompt: 300, Output: 100}, false, 7},
		"more than the engine's whole": {12, Size{Prompt: 90_000}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngines("a", withSlots(c.slots, listedTargets(1, "a")))
			w := roomRequest
			w.Size = c.size
			n := 0
			for ; e.HasRoom(w); n++ {
				r, err := e.Place(w)
				assert.NilError(t, err)
				if c.read {
					r.MarkPromptRead()
				}
				assert.Assert(t, n < 20)
			}
			assert.Equal(t, n, c.want)
			_, err := e.Place(w)
			assert.Equal(t, err, ErrNoRoom)
			w.NeedsRoom = false
			_, err = e.Place(w)
			assert.NilError(t, err)
		})
	}
}

// TestBackupsTakeRoom guards against engines whose memory is full of backups.
func TestBackupsTakeRoom(t *testing.T) {
	e := newEngines("a", listedTargets(1, "a", "b"))
	var releases []func()
	for range 4 {
		r, err := e.Place(roomRequest)
		assert.NilError(t, err)
		r.MarkPromptRead()
		_, release := e.ReserveBackup(r, nil)
		releases = append(releases, release)
	}
	more := len(fill(t, e))
	assert.Equal(t, more, 8, "16 runs fit into both engines")
	releases[0]()
	assert.Assert(t, e.HasRoom(roomRequest))
}

// TestEnginesWithRoomAreSelected guards against a run that is sent to a full engine, which has its prompt cached,
// while others have room, and against another choice than before while all have room.
func TestEnginesWithRoomAreSelected(t *testing.T) {
	e := newEngines("a", withSlots(4, listedTargets(1, "a", "b")))
	w := roomRequest
	w.Prompt, w.NeedsRoom = "p", false
	first, err := e.Place(w)
	assert.NilError(t, err)
	first.MarkPromptRead()
	for range 3 {
		r, err := e.Place(w)
		assert.NilError(t, err)
		assert.Equal(t, r.Target, first.Target, "the engine that has the prompt has room")
		r.MarkPromptRead()
	}
	other, err := e.Place(w)
	assert.NilError(t, err)
	assert.Assert(t, other.Target != first.Target)
	w.PreferRoom = false
	r, err := e.Place(w)
	assert.NilError(t, err)
	_ = r
}

// TestRoomOfOtherServicesAndUnusableEngines guards against streams that wait for room although no wait can help: they
// are placed, or refused, as without a queue.
func TestRoomOfOtherServicesAndUnusableEngines(t *testing.T) {
	e := newEngines("a", withSlots(1, listedTargets(1, "a")))
	unknown := roomRequest
	unknown.Service = "unknown"
	assert.Assert(t, e.HasRoom(unknown))
	excluded := roomRequest
	excluded.Exclude = []string{"a0"}
	r, err := e.Place(roomRequest)
	assert.NilError(t, err)
	assert.Assert(t, !e.HasRoom(roomRequest))
	assert.Assert(t, !e.HasRoom(excluded), "a stream that has tried all engines returns to one of them")
	r.MarkLost()
	assert.Assert(t, e.HasRoom(excluded))
	assert.Assert(t, e.HasRoom(roomRequest), "all engines are in cooldown")
}

// TestOtherVMsLoadTakesRoom guards against runs that several VMs send to the same engine, and against room that
// stays taken after the other VMs are no longer heard of.
func TestOtherVMsLoadTakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, load := range map[string]*chicoryv1.EngineLoad{
			"memory":  {Address: "a0", Tokens: 48_000},
			"backups": {Address: "a0", Tokens: 24_000, Backups: 24_000},
			"prompts": {Address: "a0", Tokens: 12_000, Unread: 10_000},
		} {
			e := newEngines("a", withSlots(12, listedTargets(1, "a")))
			mustPlace(t, e, "").Release() // the usual size is known
			e.SetRemoteLoads([]*chicoryv1.EngineLoad{load})
			assert.Assert(t, !e.HasRoom(roomRequest), name)
			freed := e.Freed()
			e.SetRemoteLoads(nil)
			assert.Assert(t, e.HasRoom(roomRequest), name)
			assert.Assert(t, e.Freed().Elsewhere > freed.Elsewhere, name)
			assert.Equal(t, e.Freed().Here, freed.Here, name)
			e.SetRemoteLoads([]*chicoryv1.EngineLoad{load})
			time.Sleep(Defaults().MaxLoadAge)
			assert.Assert(t, e.HasRoom(roomRequest), name)
		}
	})
}

// TestReportedRoomCounts guards against streams that wait although engines are idle: load that other VMs are wrongly
// believed to cause takes no room at an engine that states free slots.
func TestReportedRoomCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", withSlots(12, listedTargets(1, "a")))
		r := mustPlace(t, e, "")
		e.SetRemoteLoads([]*chicoryv1.EngineLoad{{Address: "a0", Tokens: 48_000, Unread: 20_000}})
		assert.Assert(t, !e.HasRoom(roomRequest))
		r.SetReportedRuns(1, 0, 12)
		assert.Assert(t, e.HasRoom(roomRequest))
		time.Sleep(maxReportAge)
		assert.Assert(t, !e.HasRoom(roomRequest), "the report is old")
		r.SetProbedRuns(1, 0)
		assert.Assert(t, e.HasRoom(roomRequest))
		for name, load := range map[string][2]int{"requests wait": {4, 1}, "no slot is free": {12, 0}, "no memory": {9, 0}} {
			r.SetReportedRuns(load[0], load[1], 12)
			assert.Assert(t, !e.HasRoom(roomRequest), name)
		}
	})
}

// TestEngineThatRefusesHasNoRoom guards against streams that are sent again and again to an engine that refuses them, because
// runs of other VMs there are not known yet, and against an engine that is passed over for good.
func TestEngineThatRefusesHasNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", withSlots(12, listedTargets(1, "a")))
		running := mustPlace(t, e, "")
		running.MarkPromptRead()
		refuse := func() {
			r, err := e.Place(roomRequest)
			assert.NilError(t, err)
			r.MarkRefused()
			r.Release()
			assert.Assert(t, !e.HasRoom(roomRequest))
		}
		refuse()
		time.Sleep(refusalLifetime)
		assert.Assert(t, e.HasRoom(roomRequest))
		refuse()
		running.SetReportedRuns(1, 0, 12)
		assert.Assert(t, e.HasRoom(roomRequest), "the engine states room")
		refuse()
		running.Release()
		assert.Assert(t, e.HasRoom(roomRequest), "a run has ended")
	})
}

// TestReportOfFullSlotsTakesRoom guards against runs sent to an engine that is known to have no free slot, whatever the
// loads state.
func TestReportOfFullSlotsTakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", listedTargets(1, "a"))
		first, second := mustPlace(t, e, ""), mustPlace(t, e, "")
		first.MarkPromptRead()
		second.MarkPromptRead()
		assert.Assert(t, e.HasRoom(roomRequest))
		first.SetReportedRuns(2, 0, 2)
		assert.Assert(t, !e.HasRoom(roomRequest))
		second.Release()
		assert.Assert(t, e.HasRoom(roomRequest), "a run ended after the report")
	})
}

// TestRoomIsNotified guards against streams that wait although an engine has become free.
func TestRoomIsNotified(t *testing.T) {
	e := newEngines("a", withSlots(2, listedTargets(1, "a", "b")))
	r := mustPlace(t, e, "")
	_, release := e.ReserveBackup(r, nil)
	notified := func() bool {
		select {
		case <-e.Room():
			return true
		default:
			return false
		}
	}
	notified()
	for name, event := range map[string]func(){
		"prompt processed": r.MarkPromptRead,
		"run ended":        r.Release,
		"backup ended":     release,
		"report":           func() { r.SetReportedRuns(0, 0, 2) },
		"list":             func() { e.Update(listedTargets(1, "a", "b"), engineCapacity) },
	} {
		assert.Assert(t, !notified(), name)
		event()
		assert.Assert(t, notified(), name)
	}
}

// TestRoomCountsReturnToZero guards against counts that leak over any history of runs and lists, and take room for good.
func TestRoomCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngines("a", listedTargets(2, "a", "b"))
		var runs []*Run
		var releases []func()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"place", "place", "read", "release", "lost", "list", "backup"}).Draw(t, "event") {
			case "place":
				w := roomRequest
				w.NeedsRoom, w.Size.Prompt = false, rapid.IntRange(0, 9000).Draw(t, "prompt")
				w.Prompt = rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "id")
				r, err := e.Place(w)
				assert.NilError(t, err)
				runs = append(runs, r)
			case "backup":
				if len(runs) > 0 {
					_, release := e.ReserveBackup(runs[len(runs)-1], nil)
					releases = append(releases, release)
				}
			case "list":
				e.Update(listedTargets(rapid.IntRange(1, 2).Draw(t, "engines"), "a", "b"), engineCapacity)
			default:
				if len(runs) == 0 {
					continue
				}
				r := rapid.SampledFrom(runs).Draw(t, "run")
				rapid.SampledFrom([]func(){r.MarkPromptRead, r.Release, r.MarkLost, func() { r.SetReportedRuns(3, 1, 4) }}).Draw(t, "change")()
			}
		}
		for _, r := range runs {
			r.Release()
		}
		for _, release := range releases {
			release()
		}
		for address, x := range e.byAddress {
			assert.Equal(t, x.runs+x.runTokens+x.unreadTokens+x.unreadPrompts+x.backupTokens, 0, address)
		}
	})
}
