package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// group is a leader's table and those of entry VMs that exchange changes with it.
type group struct {
	leader  *Table
	entries []*Table
	// toLeader and toEntry are the versions up to which changes were sent.
	toLeader, toEntry []uint64
	// isNew has the entry VMs that have not exchanged changes with the leader yet.
	isNew map[int]bool
}

func newGroup(entries int) *group {
	g := &group{leader: newTestTable(), toLeader: make([]uint64, entries), toEntry: make([]uint64, entries), isNew: map[int]bool{}}
	for i := range entries {
		g.entries = append(g.entries, NewTable(Options{ID: fmt.Sprint(i), Random: func() float64 { return 0 }}))
	}
	return g
}

// exchange sends the changes of all entry VMs to the leader, and those of the leader to them.
func (g *group) exchange(now time.Time) {
	for i := range g.entries {
		g.send(i, now)
	}
	for i := range g.entries {
		g.receive(i, now)
	}
}

// send sends what an entry VM has to tell to the leader.
func (g *group) send(entry int, now time.Time) {
	e := g.entries[entry]
	var changes []*chicoryv1.SuspectPart
	if g.isNew[entry] {
		changes, g.toLeader[entry] = e.All(now)
		delete(g.isNew, entry)
	} else {
		changes, g.toLeader[entry] = e.LocalChanges(g.toLeader[entry], now)
	}
	g.leader.Merge(changes, now)
	g.leader.GrantTrials(fmt.Sprint(entry), changes, now)
}

// receive sends the changes of the leader to an entry VM.
func (g *group) receive(entry int, now time.Time) {
	var changes []*chicoryv1.SuspectPart
	changes, g.toEntry[entry] = g.leader.RecurrentChanges(g.toEntry[entry], now)
	g.entries[entry].Merge(changes, now)
}

// loseTargets records losses of targets with the key, one a second from second 0 on, at entry VMs in turn.
func (g *group) loseTargets(key string, losses int) {
	for i := range losses {
		crash(g.entries[i%len(g.entries)], i, second(float64(i)), []string{key})
		g.exchange(second(float64(i) + 0.1))
	}
}

// awaitTrial lets requests with the key come to all entry VMs until one is admitted as a trial.
func (g *group) awaitTrial(t *testing.T, key string, now, limit time.Time) (entry int, at time.Time) {
	t.Helper()
	for ; now.Before(limit); now = now.Add(100 * time.Millisecond) {
		for i, e := range g.entries {
			switch a := e.Admit([]string{key}, now); {
			case a.Trial:
				return i, now
			case !a.Refused:
				t.Fatalf("admitted without a trial at %v", now.Sub(start))
			}
		}
		g.exchange(now)
	}
	return -1, now
}

// A key that was refused for good would never be served again after its fault is mended.
func TestQuarantineEndsWithATrial(t *testing.T) {
	g := newGroup(3)
	g.loseTargets("p", 3)
	entry, at := g.awaitTrial(t, "p", second(2.1), second(10))
	assert.Assert(t, entry >= 0)
	assert.Assert(t, at.Sub(second(2)) >= firstPeriod && at.Sub(second(2)) < 2*time.Second, "%v", at.Sub(second(2)))
	for i, e := range g.entries {
		assert.Assert(t, e.Admit([]string{"p"}, at).Refused, "one trial at a time, entry VM %d", i)
	}
	g.entries[entry].RecordTrial([]string{"p"}, at)
	g.entries[entry].RecordBegun([]string{"p"}, at.Add(time.Millisecond))
	g.exchange(at.Add(100 * time.Millisecond))
	for i, e := range g.entries {
		a := e.Admit([]string{"p"}, at.Add(time.Second))
		assert.Assert(t, !a.Trial && !a.Refused, "entry VM %d", i)
	}
}

// A key that still crashes targets is tried three times, over all VMs, and no more: the users
// allow three retries without an end in time.
func TestKeyThatStillCrashesTargetsIsTriedThreeTimes(t *testing.T) {
	g := newGroup(3)
	g.loseTargets("p", 3)
	now, trials := second(2.1), 0
	for now.Before(second(6 * 3600)) {
		entry, at := g.awaitTrial(t, "p", now, now.Add(time.Minute))
		now = at
		if entry < 0 {
			now = now.Add(5 * time.Minute)
			g.exchange(now)
			continue
		}
		trials++
		g.entries[entry].RecordTrial([]string{"p"}, at)
		engine := Target{Address: fmt.Sprint("10.0.1.", trials), Instance: "i"}
		g.entries[entry].RecordLoss([]string{"p"}, Loss{Target: engine, SentAt: at, At: at.Add(time.Second), TrialKeys: []string{"p"}})
	}
	assert.Equal(t, trials, maxTrials)
}

// A trial that reaches no target, since all are lost, must not use up the trials of a sound key.
func TestTrialThatIsNotSentIsRepeated(t *testing.T) {
	g := newGroup(3)
	g.loseTargets("p", 3)
	now := second(2.1)
	for range 2 * maxTrials {
		entry, at := g.awaitTrial(t, "p", now, now.Add(20*time.Second))
		assert.Assert(t, entry >= 0)
		g.entries[entry].CancelTrial([]string{"p"})
		now = at.Add(time.Second)
	}
}

// A trial whose target neither answers nor ends is followed by another one soon.
func TestTrialWithoutAResultIsRepeated(t *testing.T) {
	g := newGroup(3)
	g.loseTargets("p", 3)
	entry, at := g.awaitTrial(t, "p", second(2.1), second(10))
	g.entries[entry].RecordTrial([]string{"p"}, at)
	_, again := g.awaitTrial(t, "p", at.Add(100*time.Millisecond), at.Add(20*time.Second))
	assert.Assert(t, again.Sub(at) >= undecidedPeriod && again.Sub(at) < 5*time.Second, "%v", again.Sub(at))
}

// The next leader must not grant further trials than the lost one.
func TestTrialsAreCountedAcrossLeaders(t *testing.T) {
	g := newGroup(2)
	g.loseTargets("p", 3)
	now, trials := second(2.1), 0
	for range 4 {
		entry, at := g.awaitTrial(t, "p", now, now.Add(30*time.Minute))
		now = at.Add(time.Second)
		if entry >= 0 {
			trials++
			g.entries[entry].RecordTrial([]string{"p"}, at)
			g.entries[entry].RecordLoss([]string{"p"}, Loss{Target: Target{Address: fmt.Sprint(trials)}, SentAt: at, At: at, TrialKeys: []string{"p"}})
		}
		g.leader = newTestTable()
		for i, e := range g.entries {
			var all []*chicoryv1.SuspectPart
			all, g.toLeader[i] = e.All(now)
			g.leader.Merge(all, now)
			g.toEntry[i] = 0
		}
	}
	assert.Equal(t, trials, maxTrials)
}

// TestTrialThatIsLostBesideAnotherRequestCounts guards against further trials as soon as after the first loss, when
// another request with the key was lost with the same target and was reported first.
func TestTrialThatIsLostBesideAnotherRequestCounts(t *testing.T) {
	g := newGroup(1)
	g.loseTargets("p", 3)
	entry, at := g.awaitTrial(t, "p", second(2.1), second(10))
	e, target := g.entries[entry], Target{Address: "9"}
	e.RecordTrial([]string{"p"}, at)
	e.RecordLoss([]string{"p"}, Loss{Target: target, SentAt: second(1), At: at.Add(time.Millisecond)})
	e.RecordLoss([]string{"p"}, Loss{Target: target, SentAt: at, At: at.Add(time.Millisecond), TrialKeys: []string{"p"}})
	_, next := g.awaitTrial(t, "p", at.Add(100*time.Millisecond), at.Add(time.Minute))
	assert.Assert(t, next.Sub(at) >= periods[1], "the next trial follows after %v", next.Sub(at))
}

// TestGrantedTrialWaitsAfterAFurtherLoss guards against a trial right after a loss, by a VM that was granted it before.
func TestGrantedTrialWaitsAfterAFurtherLoss(t *testing.T) {
	g := newGroup(1)
	g.loseTargets("p", 3)
	_, at := g.awaitTrial(t, "p", second(2.1), second(10))
	e := g.entries[0]
	e.CancelTrial([]string{"p"}) // no target has received it
	crash(e, 9, at, []string{"p"})
	assert.Assert(t, !e.Admit([]string{"p"}, at.Add(100*time.Millisecond)).Trial)
	assert.Assert(t, e.Admit([]string{"p"}, at.Add(firstPeriod)).Trial)
}

// TestDeadlyRequestUsesNoTrialsOfSoundParts guards against sound parts that stay in quarantine because the requests
// that crash targets share them, and use up the trials: the sound requests are refused for minutes.
func TestDeadlyRequestUsesNoTrialsOfSoundParts(t *testing.T) {
	g := newGroup(1)
	entry, deadly, sound := g.entries[0], []string{"a", "deadly", "b"}, []string{"a", "b"}
	for i := range 3 {
		crash(entry, i, second(float64(i)), deadly)
		crash(entry, 10+i, second(float64(i)+0.5), sound) // for another reason
	}
	lost := 0
	for now := second(3); now.Before(second(60)); now = now.Add(100 * time.Millisecond) {
		if a := entry.Admit(deadly, now); a.Trial {
			lost++
			entry.RecordTrial(a.Keys, now)
			entry.RecordLoss(deadly, Loss{Target: Target{Address: fmt.Sprint(100 + lost)}, SentAt: now, At: now.Add(time.Millisecond), TrialKeys: a.Keys})
		}
		if a := entry.Admit(sound, now); !a.Refused {
			assert.Assert(t, now.Before(second(6)), "refused until %v after the last loss for another reason", now.Sub(second(2.5)))
			return
		}
		g.exchange(now)
	}
	t.Fatalf("sound requests are refused for a minute; %d deadly ones were trials", lost)
}

// A call that is sent again as soon as its target is lost crashes three within 200 ms.
func TestLossesInSequenceAreNoCoincidence(t *testing.T) {
	tb := newTestTable()
	lose := func(i int, sent, at float64, zone string) {
		tb.RecordLoss([]string{"call"}, Loss{Target: Target{Address: fmt.Sprint(i), AvailabilityZone: zone}, SentAt: second(sent), At: second(at)})
	}
	lose(0, 0, 0.05, "a")
	lose(1, 0.05, 0.1, "a")
	assert.Assert(t, !tb.Admit([]string{"call"}, second(0.1)).Refused)
	lose(2, 0.1, 0.15, "a")
	assert.Assert(t, tb.Admit([]string{"call"}, second(0.15)).Refused)
}

// A call that was never answered and is at several targets of one zone at once crashes them
// together. That a zone failed is no explanation: a popular sound call was answered before.
func TestTargetsThatFailTogetherCountForACallWithoutAnAnswer(t *testing.T) {
	tb := newTestTable()
	for i := range 3 {
		crash(tb, i, second(float64(i)/100), []string{"call"})
	}
	assert.Assert(t, tb.Admit([]string{"call"}, second(0.1)).Refused)
}

// The same call at once at three entry VMs crashes a target in each zone.
func TestLossesInSeveralZonesAreNoCoincidence(t *testing.T) {
	tb := newTestTable()
	for i, zone := range []string{"a", "b", "c"} {
		assert.Assert(t, !tb.Admit([]string{"call"}, second(0)).Refused)
		tb.RecordLoss([]string{"call"}, Loss{Target: Target{Address: fmt.Sprint(i), AvailabilityZone: zone}, SentAt: second(0), At: second(0.05)})
	}
	assert.Assert(t, tb.Admit([]string{"call"}, second(0.1)).Refused)
}

// A popular call is at every target that a deadly one crashes. It was answered before, and must
// not be refused with it, or instead of it.
func TestPopularCallIsServedBesideADeadlyOne(t *testing.T) {
	tb := newTestTable()
	tb.RecordBegun([]string{"popular"}, second(0))
	for i := range 3 {
		crash(tb, i, second(1+float64(i)), []string{"popular"}, []string{"deadly"})
	}
	assert.Assert(t, tb.Admit([]string{"deadly"}, second(4)).Refused)
	assert.Assert(t, !tb.Admit([]string{"popular"}, second(4)).Refused)
}

// A VM that has just started has seen no answer: it must not let the deadly call through.
func TestNewVMRefusesADeadlyCallBesideAPopularOne(t *testing.T) {
	tb, late := newTestTable(), newTestTable()
	tb.RecordBegun([]string{"popular"}, second(0))
	for i := range 3 {
		crash(tb, i, second(1+float64(i)), []string{"popular"}, []string{"deadly"})
	}
	share(tb, late, second(4))
	assert.Assert(t, late.Admit([]string{"deadly"}, second(4)).Refused)
}

// A call that was sound begins to crash targets, beside others that were answered before it.
func TestCallThatWasSoundIsFound(t *testing.T) {
	tb := newTestTable()
	tb.RecordBegun([]string{"other"}, second(0))
	tb.RecordBegun([]string{"popular"}, second(0.5))
	n := 0
	for ; n < 10 && !tb.Admit([]string{"popular"}, second(float64(n+1))).Refused; n++ {
		crash(tb, n, second(float64(n+1)), []string{"popular"}, []string{"other"})
	}
	assert.Assert(t, n <= maxExplained+1, "%d crashes", n)
}

// Requests are lost at a target that is gone until the list shows it, one after the other.
func TestLossesAtATargetThatIsGoneCountOnce(t *testing.T) {
	tb := newTestTable()
	gone := Target{Address: "10.0.0.1:80", Instance: "i"}
	for i := range 10 {
		at := second(float64(i) * 0.15)
		tb.RecordLoss([]string{"popular"}, Loss{Target: gone, SentAt: at, At: at.Add(time.Millisecond)})
	}
	assert.Assert(t, !tb.Admit([]string{"popular"}, second(2)).Refused)
	assert.Assert(t, tb.IsLost(gone, []string{"popular"}, second(2)), "a trial there would show nothing")
	assert.Assert(t, !tb.IsLost(Target{Address: "10.0.0.1:80", Instance: "next"}, []string{"popular"}, second(2)))
	assert.Assert(t, !tb.IsLost(gone, []string{"popular"}, second(2).Add(listDelay)), "it may have started again under its ID")
}

// A key that was in quarantine long ago begins a new count.
func TestQuarantineOfLongAgoIsForgotten(t *testing.T) {
	tb := newTestTable()
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"p"})
	}
	later := second(3).Add(retention)
	crash(tb, 9, later, []string{"p"})
	assert.Assert(t, !tb.Admit([]string{"p"}, later).Refused)
}

// A part that shares a request with a key on trial, and is lost with it, is not on trial itself: its
// own first trial comes as soon as that of any other key.
func TestLostTrialCountsForItsKeysOnly(t *testing.T) {
	tb := newTestTable()
	for i := range 3 {
		at := second(float64(i))
		tb.RecordLoss([]string{"p", "shared"}, Loss{Target: Target{Address: fmt.Sprint(i)}, SentAt: at, At: at, TrialKeys: []string{"p"}})
	}
	assert.Equal(t, tb.Check([]string{"shared"}, second(2)).Refused, false, "p explains it")
	assert.Equal(t, tb.keys["shared"].trialDue(), second(2).Add(firstPeriod))
	assert.Equal(t, tb.keys["p"].trialDue(), second(2).Add(retention))
}
