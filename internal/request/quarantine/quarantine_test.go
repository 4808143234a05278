package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func newTestTable(id string) *Table {
	return NewTable(Options{ID: id, Random: func() float64 { return 0 }})
}

// crash is the loss of one engine with all requests on it whose answers had not begun.
func crash(tb *Table, n int, at time.Time, requests ...[]string) {
	for _, parts := range requests {
		tb.RecordLoss(parts, Engine{fmt.Sprintf("10.0.0.%d:80", n), fmt.Sprint("i-", n)}, at)
	}
}

var start = time.Unix(1_000_000, 0)

// second returns a time in seconds after the start.
func second(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// One request after another crashes an engine that begins to answer it.
func TestPartThatCrashesEnginesIsRefusedAfterThreeCrashes(t *testing.T) {
	tb := newTestTable("e1")
	deadly := func(i int) []string { return []string{fmt.Sprint("first-", i), "deadly"} }
	for i := range 3 {
		assert.Assert(t, !tb.Admit(deadly(i), second(float64(i))).Refused, "crash %d", i)
		crash(tb, i, second(float64(i)), deadly(i), []string{fmt.Sprint("bystander-", i)})
	}
	a := tb.Admit(deadly(9), second(3))
	assert.Assert(t, a.Refused)
	assert.DeepEqual(t, a.Parts, []string{"deadly"})
	assert.Equal(t, a.Wait, minPeriod-time.Second)
	assert.Assert(t, !tb.Admit([]string{"bystander-1"}, second(3)).Refused)
}

// A rule that blames every part of a lost request refuses the sound requests that share one.
func TestSoundRequestsWithTheSameFirstPartAreNotRefused(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 5 {
		crash(tb, i, second(float64(i)), []string{"first", "deadly"}, []string{"first"})
	}
	assert.Assert(t, tb.Admit([]string{"first", "deadly"}, second(5)).Refused)
	assert.Assert(t, !tb.Admit([]string{"first"}, second(5)).Refused)
	assert.Assert(t, !tb.Admit([]string{"first", "other"}, second(5)).Refused)

	tb.RecordBegun([]string{"first"}, second(5.5))
	assert.Assert(t, tb.Admit([]string{"first", "deadly"}, second(6)).Refused)
	assert.Assert(t, tb.Admit([]string{"other", "deadly"}, second(6)).Refused, "the first part is cleared")
}

// An engine that a sound request loses for another reason must not turn the suspicion to the
// part that it shares with the requests that crash engines.
func TestLossForAnotherReasonDoesNotRefuseASharedPart(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"first", "deadly"})
	}
	crash(tb, 3, second(3), []string{"first"})
	assert.Assert(t, !tb.Admit([]string{"first"}, second(4)).Refused)
	assert.Assert(t, tb.Admit([]string{"first", "deadly"}, second(4)).Refused)
}

// Two parts that were always together: a request with one of them shows which one it is.
func TestPartsThatWereAlwaysTogetherAreToldApart(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"first", "deadly"})
	}
	n := 3
	for ; !tb.Admit([]string{"other", "deadly"}, second(float64(n))).Refused; n++ {
		crash(tb, n, second(float64(n)), []string{"other", "deadly"})
	}
	assert.Assert(t, n <= 5, "%d crashes", n)
	assert.Assert(t, !tb.Admit([]string{"first"}, second(float64(n))).Refused)
}

// Engines of an availability zone that fail at one moment say nothing about the parts of
// their requests.
func TestEnginesThatFailTogetherCountAsOneLoss(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 30 {
		crash(tb, i, second(float64(i)/100), []string{"popular"})
	}
	assert.Assert(t, !tb.Admit([]string{"popular"}, second(1)).Refused)
}

// A zone's engines fail every few seconds while answers begin elsewhere.
func TestBegunAnswerClearsAPart(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 20 {
		at := float64(i) * 7
		crash(tb, i, second(at), []string{"popular"})
		crash(tb, 100+i, second(at+0.6), []string{"popular"})
		tb.RecordBegun([]string{"popular"}, second(at+1))
		assert.Assert(t, !tb.Admit([]string{"popular"}, second(at+1)).Refused)
	}
}

// A part that was refused for good would never be served again after its fault is mended.
func TestQuarantineEndsWithATrial(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"p"})
	}
	end := second(2).Add(minPeriod)
	assert.Assert(t, tb.Admit([]string{"p"}, end.Add(-time.Millisecond)).Refused)
	a := tb.Admit([]string{"p"}, end)
	assert.Assert(t, a.Trial && !a.Refused)
	assert.Assert(t, tb.Admit([]string{"p"}, end).Refused, "one trial at a time")

	tb.RecordBegun([]string{"p"}, end.Add(time.Second))
	a = tb.Admit([]string{"p"}, end.Add(time.Second))
	assert.Assert(t, !a.Trial && !a.Refused)
}

// A part that still crashes engines is tried less and less often.
func TestEachFailedTrialDoublesTheQuarantine(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"p"})
	}
	now, trials := second(2), 0
	for now.Before(second(3600)) {
		now = now.Add(time.Second)
		if tb.Admit([]string{"p"}, now).Trial {
			trials++
			crash(tb, 10+trials, now.Add(time.Second), []string{"p"})
		}
	}
	assert.Assert(t, trials <= 10 && trials > 3, "%d trials in an hour", trials)
}

// Requests with the part wait at several engines when the third crash is seen.
func TestWaitingRequestLearnsOfTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, other := newTestTable("e1"), newTestTable("e2")
		refused := make(chan bool, 1)
		go func() {
			_, ok := tb.AwaitRefusal(t.Context(), []string{"p"})
			refused <- ok
		}()
		for i := range 3 {
			time.Sleep(time.Second)
			crash(other, i, time.Now(), []string{"p"})
		}
		changes, _ := other.ChangesSince(0, true, time.Now())
		tb.Merge(changes, time.Now())
		assert.Assert(t, <-refused)

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, ok := tb.AwaitRefusal(ctx, []string{"sound"})
		assert.Assert(t, !ok)
	})
}

// A part that is used now and then is lost with an engine now and then.
func TestLossesFarApartDoNotAddUp(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 10 {
		at := start.Add(time.Duration(i) * (retention + time.Second))
		crash(tb, i, at, []string{"rare"})
		assert.Assert(t, !tb.Admit([]string{"rare"}, at.Add(time.Second)).Refused)
	}
}

// Five crashes are seen by five VMs, none of which sees enough.
func TestCrashesSeenByDifferentVMsAreCountedTogether(t *testing.T) {
	leader := newTestTable("c1")
	entries := make([]*Table, 5)
	for i := range entries {
		entries[i] = newTestTable(fmt.Sprint("e", i))
		crash(entries[i], i, second(float64(i)), []string{fmt.Sprint("first-", i), "deadly"})
		share(entries[i], leader, second(float64(i)+0.1))
	}
	late := newTestTable("late")
	for _, e := range append(entries, late) {
		changes, _ := leader.ChangesSince(0, true, second(6))
		assert.Equal(t, len(changes), 1, "parts lost once are kept to the leader")
		e.Merge(changes, second(6.1))
		assert.Assert(t, e.Admit([]string{"x", "deadly"}, second(6.2)).Refused)
	}
}

func share(from, to *Table, now time.Time) {
	changes, _ := from.ChangesSince(0, false, now)
	to.Merge(changes, now)
}

// Reports of one crash by several VMs, or sent again to a new leader, are one loss.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	leader := newTestTable("c1")
	for i := range 4 {
		e := newTestTable(fmt.Sprint("e", i))
		crash(e, 7, second(float64(i)/10), []string{"p"})
		share(e, leader, second(1))
		share(e, leader, second(2))
	}
	changes, version := leader.ChangesSince(0, false, second(2))
	assert.Equal(t, len(changes[0].GetLosses()), 1)
	changes, _ = leader.ChangesSince(version, false, second(2))
	assert.Equal(t, len(changes), 0)
}

// An engine may start again under the ID that it had.
func TestEngineThatStartsAgainUnderItsIDIsANewLoss(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 3 {
		crash(tb, 1, second(float64(2*i)), []string{"p"})
	}
	assert.Assert(t, tb.Admit([]string{"p"}, second(6)).Refused)
}

// A VM that learns late of a loss must not suspect a part that was cleared since.
func TestClearedPartIsClearedOnAllVMs(t *testing.T) {
	leader, a, b := newTestTable("c1"), newTestTable("a"), newTestTable("b")
	for i := range 3 {
		crash(a, i, second(float64(i)), []string{"p"})
	}
	share(a, leader, second(3))
	share(leader, b, second(3))
	assert.Assert(t, b.Admit([]string{"p"}, second(3)).Refused)

	b.RecordBegun([]string{"p"}, second(4))
	share(b, leader, second(4.1))
	share(leader, a, second(4.2))
	assert.Assert(t, !a.Admit([]string{"p"}, second(5)).Refused)
	share(a, leader, second(5))
	assert.Assert(t, !leader.Admit([]string{"p"}, second(5)).Refused)
}

// A suspect that several VMs know outlasts many parts that were lost once.
func TestRecurrentPartOutlastsPartsLostOnce(t *testing.T) {
	tb := newTestTable("e1")
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"deadly"})
	}
	for i := range 3 * maxParts {
		crash(tb, 10+i, second(10), []string{fmt.Sprint("p", i)})
	}
	assert.Assert(t, len(tb.parts) <= maxParts)
	assert.Assert(t, tb.Admit([]string{"deadly"}, second(11)).Refused)
}

func TestMergeIgnoresLossesBeyondRetention(t *testing.T) {
	tb := newTestTable("e1")
	s := &chicoryv1.SuspectPart{Part: "p"}
	for i := range 4 {
		s.Losses = append(s.Losses, &chicoryv1.EngineLoss{Address: fmt.Sprint(i), AgeMs: uint32(retention.Milliseconds()) + uint32(1000*(i+1))})
	}
	tb.Merge([]*chicoryv1.SuspectPart{s}, second(0))
	assert.Assert(t, !tb.Admit([]string{"p"}, second(0)).Refused)
}
