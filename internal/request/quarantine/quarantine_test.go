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

func newTestTable() *Table {
	return NewTable(Options{ID: "self", Random: func() float64 { return 0 }})
}

// crash is the loss of one engine with all requests on it whose answers had not begun.
func crash(tb *Table, n int, at time.Time, requests ...[]string) {
	for _, parts := range requests {
		tb.RecordLoss(parts, Loss{Target: Target{Address: fmt.Sprintf("10.0.0.%d:80", n), Instance: fmt.Sprint("i-", n)}, At: at})
	}
}

var start = time.Unix(1_000_000, 0)

// second returns a time in seconds after the start.
func second(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// One request after another crashes an engine that begins to answer it.
func TestPartThatCrashesEnginesIsRefusedAfterThreeCrashes(t *testing.T) {
	tb := newTestTable()
	deadly := func(i int) []string { return []string{fmt.Sprint("first-", i), "deadly"} }
	for i := range 3 {
		assert.Assert(t, !tb.Admit(deadly(i), second(float64(i))).Refused, "crash %d", i)
		crash(tb, i, second(float64(i)), deadly(i), []string{fmt.Sprint("bystander-", i)})
	}
	a := tb.Admit(deadly(9), second(2))
	assert.Assert(t, a.Refused)
	assert.DeepEqual(t, a.Keys, []string{"deadly"})
	assert.Equal(t, a.Wait, firstPeriod)
	assert.Assert(t, !tb.Admit([]string{"bystander-1"}, second(3)).Refused)
}

// A rule that blames every part of a lost request refuses the sound requests that share one.
func TestSoundRequestsWithTheSameFirstPartAreNotRefused(t *testing.T) {
	tb := newTestTable()
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
	tb := newTestTable()
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"first", "deadly"})
	}
	crash(tb, 3, second(3), []string{"first"})
	assert.Assert(t, !tb.Admit([]string{"first"}, second(4)).Refused)
	assert.Assert(t, tb.Admit([]string{"first", "deadly"}, second(4)).Refused)
}

// Two parts crash engines in turn, and neither explains all losses of the sound parts that
// their requests share: sound requests are refused for minutes.
func TestPartsSharedWithTwoCrashingPartsAreServed(t *testing.T) {
	tb := newTestTable()
	deadly := func(i int) []string { return []string{"first", fmt.Sprint("deadly-", i%2), "shared"} }
	for i := range 6 {
		crash(tb, i, second(float64(i)), deadly(i))
	}
	assert.Assert(t, tb.Check(deadly(0), second(6)).Refused)
	assert.Assert(t, tb.Check(deadly(1), second(6)).Refused)
	sound := tb.Check([]string{"first", "shared"}, second(6))
	assert.Assert(t, !sound.Refused, "refused for %v", sound.Wait)
}

// Two parts that were always together: a request with one of them shows which one it is.
func TestPartsThatWereAlwaysTogetherAreToldApart(t *testing.T) {
	tb := newTestTable()
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
// their requests, if these were answered before.
func TestEnginesThatFailTogetherCountAsOneLoss(t *testing.T) {
	tb := newTestTable()
	tb.RecordBegun([]string{"popular"}, second(-10))
	for i := range 30 {
		crash(tb, i, second(float64(i)/100), []string{"popular"})
	}
	assert.Assert(t, !tb.Admit([]string{"popular"}, second(1)).Refused)
}

// A zone's engines fail every few seconds while answers begin elsewhere.
func TestBegunAnswerClearsAPart(t *testing.T) {
	tb := newTestTable()
	for i := range 20 {
		at := float64(i) * 7
		crash(tb, i, second(at), []string{"popular"})
		crash(tb, 100+i, second(at+0.6), []string{"popular"})
		tb.RecordBegun([]string{"popular"}, second(at+1))
		assert.Assert(t, !tb.Admit([]string{"popular"}, second(at+1)).Refused)
	}
}

// Requests with the part wait at several engines when the third crash is seen.
func TestWaitingRequestLearnsOfTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb, other := newTestTable(), newTestTable()
		refused := make(chan bool, 1)
		go func() {
			_, ok := tb.AwaitRefusal(t.Context(), []string{"p"})
			refused <- ok
		}()
		for i := range 3 {
			time.Sleep(time.Second)
			crash(other, i, time.Now(), []string{"p"})
		}
		changes, _ := other.RecurrentChanges(0, time.Now())
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
	tb := newTestTable()
	for i := range 10 {
		at := start.Add(time.Duration(i) * (retention + time.Second))
		crash(tb, i, at, []string{"rare"})
		assert.Assert(t, !tb.Admit([]string{"rare"}, at.Add(time.Second)).Refused)
	}
}

// Five crashes are seen by five VMs, none of which sees enough.
func TestCrashesSeenByDifferentVMsAreCountedTogether(t *testing.T) {
	leader := newTestTable()
	entries := make([]*Table, 5)
	for i := range entries {
		entries[i] = newTestTable()
		crash(entries[i], i, second(float64(i)), []string{fmt.Sprint("first-", i), "deadly"})
		share(entries[i], leader, second(float64(i)+0.1))
	}
	late := newTestTable()
	for _, e := range append(entries, late) {
		changes, _ := leader.RecurrentChanges(0, second(6))
		assert.Equal(t, len(changes), 1, "parts lost once are kept to the leader")
		e.Merge(changes, second(6.1))
		assert.Assert(t, e.Admit([]string{"x", "deadly"}, second(6.2)).Refused)
	}
}

func share(from, to *Table, now time.Time) {
	changes, _ := from.All(now)
	to.Merge(changes, now)
}

// Reports of one crash by several VMs, or sent again to a new leader, are one loss.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	leader := newTestTable()
	for i := range 4 {
		e := newTestTable()
		crash(e, 7, second(float64(i)/10), []string{"p"})
		share(e, leader, second(1))
		share(e, leader, second(2))
	}
	changes, version := leader.All(second(2))
	assert.Equal(t, len(changes[0].GetLosses()), 1)
	changes, _ = leader.RecurrentChanges(version, second(2))
	assert.Equal(t, len(changes), 0)
}

// An engine may start again under the ID that it had.
func TestEngineThatStartsAgainUnderItsIDIsANewLoss(t *testing.T) {
	tb := newTestTable()
	for i := range 3 {
		crash(tb, 1, second(float64(2*i)), []string{"p"})
	}
	assert.Assert(t, tb.Admit([]string{"p"}, second(6)).Refused)
}

// A VM that learns late of a loss must not suspect a part that was cleared since.
func TestClearedPartIsClearedOnAllVMs(t *testing.T) {
	leader, a, b := newTestTable(), newTestTable(), newTestTable()
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
	tb := newTestTable()
	for i := range 3 {
		crash(tb, i, second(float64(i)), []string{"deadly"})
	}
	for i := range 3 * maxKeys {
		crash(tb, 10+i, second(10), []string{fmt.Sprint("p", i)})
	}
	assert.Assert(t, len(tb.keys) <= maxKeys)
	assert.Assert(t, tb.Admit([]string{"deadly"}, second(11)).Refused)
}

func TestMergeIgnoresLossesBeyondRetention(t *testing.T) {
	tb := newTestTable()
	s := &chicoryv1.SuspectPart{Part: "p"}
	for i := range 4 {
		s.Losses = append(s.Losses, &chicoryv1.EngineLoss{Address: fmt.Sprint(i), AgeMs: uint32(retention.Milliseconds()) + uint32(1000*(i+1))})
	}
	tb.Merge([]*chicoryv1.SuspectPart{s}, second(0))
	assert.Assert(t, !tb.Admit([]string{"p"}, second(0)).Refused)
}

// deliver sends what from has changed since version, as an entry VM to its leader or the
// other way, and returns the next version.
func deliver(from, to *Table, toLeader bool, version uint64, at, delay float64) uint64 {
	changes := from.RecurrentChanges
	if toLeader {
		changes = from.LocalChanges
	}
	suspects, next := changes(version, second(at))
	to.Merge(suspects, second(at+delay))
	return next
}

// A VM that is cut off from its engines reports the losses when it is back. Meanwhile the
// answers with the part begin on another VM.
func TestPartWhoseAnswersBeginElsewhereIsNotRefused(t *testing.T) {
	leader, cutOff, other := newTestTable(), newTestTable(), newTestTable()
	for i := range 3 {
		crash(cutOff, i, second(float64(i)*0.7), []string{"popular"})
	}
	for i := range 100 {
		other.RecordBegun([]string{"popular"}, second(float64(i)*0.1))
	}
	deliver(cutOff, leader, true, 0, 10, 0.01)
	deliver(leader, other, false, 0, 10.1, 0.01)
	assert.Assert(t, !other.Admit([]string{"popular"}, second(10.2)).Refused)

	deliver(other, leader, true, 0, 10.2, 0.01)
	deliver(leader, cutOff, false, 0, 10.3, 0.01)
	assert.Assert(t, !cutOff.Admit([]string{"popular"}, second(10.4)).Refused)
}

// Messages that take longer than the time between two losses must not turn one into several.
func TestSlowMessagesDoNotMultiplyALoss(t *testing.T) {
	leader, slow, other := newTestTable(), newTestTable(), newTestTable()
	crash(slow, 1, second(0), []string{"sound"})
	crash(other, 2, second(0.7), []string{"sound"})
	var fromSlow, fromOther, toSlow, toOther uint64
	for i := range 20 {
		at := 1 + 8*float64(i)
		fromOther = deliver(other, leader, true, fromOther, at, 0.01)
		fromSlow = deliver(slow, leader, true, fromSlow, at, 3)
		toSlow = deliver(leader, slow, false, toSlow, at+3.1, 3)
		toOther = deliver(leader, other, false, toOther, at+3.1, 0.01)
	}
	for _, tb := range []*Table{leader, slow, other} {
		assert.Assert(t, len(tb.keys["sound"].losses) <= 2, "%v", tb.keys["sound"].losses)
	}
}

// A VM that was frozen with the leader's message in its socket must not revive losses of a
// part that was cleared meanwhile.
func TestFrozenVMDoesNotReviveClearedLosses(t *testing.T) {
	leader, a, frozen := newTestTable(), newTestTable(), newTestTable()
	for i := range 3 {
		crash(a, i, second(float64(i)), []string{"p"})
	}
	fromA := deliver(a, leader, true, 0, 2.1, 0.01)
	toFrozen := deliver(leader, frozen, false, 0, 2.2, 5)
	a.RecordBegun([]string{"p"}, second(2.5))
	deliver(a, leader, true, fromA, 2.6, 0.01)
	deliver(leader, frozen, false, toFrozen, 7.2, 0.01)
	deliver(frozen, leader, true, 0, 7.3, 0.01)
	deliver(leader, a, false, 0, 7.4, 0.01)
	assert.Assert(t, !a.Admit([]string{"p"}, second(7.5)).Refused)
	assert.Assert(t, !leader.Admit([]string{"p"}, second(7.5)).Refused)
}

// What a VM learned from the leader is not sent back: with many VMs, this would multiply the
// messages of each crash.
func TestLearnedLossesAreNotSentBack(t *testing.T) {
	leader, a, b := newTestTable(), newTestTable(), newTestTable()
	for i := range 2 {
		crash(a, i, second(float64(i)), []string{"p"})
	}
	deliver(a, leader, true, 0, 2, 0.01)
	deliver(leader, b, false, 0, 2.1, 0.01)
	suspects, _ := b.LocalChanges(0, second(3))
	assert.Equal(t, len(suspects), 0)
	suspects, _ = b.All(second(3))
	assert.Equal(t, len(suspects), 1, "a new leader learns it")
}

// Thousands of parts that were lost with a zone and cleared leave no room for a new suspect.
func TestPartThatCrashesEnginesIsFoundAfterManyCleared(t *testing.T) {
	tb := newTestTable()
	for i := range maxKeys {
		id := fmt.Sprint("p", i)
		crash(tb, i%200, second(0), []string{id})
		crash(tb, 200+i%200, second(1), []string{id})
		tb.RecordBegun([]string{id}, second(5))
	}
	n := 0
	for ; n < 100; n++ {
		now := second(20 + float64(n))
		if tb.Admit([]string{fmt.Sprint("f", n%3), "deadly"}, now).Refused {
			break
		}
		crash(tb, 1000+n, now, []string{fmt.Sprint("f", n%3), "deadly"}, []string{fmt.Sprint("b", n)})
	}
	assert.Assert(t, n <= 5, "%d crashes", n)
}

// admitAll sends requests with the key at all entry VMs until all admit them, and answers those that are
// admitted. It returns when the last one was refused.
func (g *group) admitAll(key string, now, limit time.Time) (refusedAt time.Time) {
	for ; now.Before(limit); now = now.Add(100 * time.Millisecond) {
		refused := false
		for _, e := range g.entries {
			a := e.Admit([]string{key}, now)
			if a.Refused {
				refused, refusedAt = true, now
				continue
			}
			if a.Trial {
				e.RecordTrial(a.Keys, now)
			}
			e.RecordBegun([]string{key}, now)
		}
		if !refused {
			return refusedAt
		}
		g.exchange(now)
	}
	return refusedAt
}

// answerAfterALoss lets the first entry VM lose a target with the key and answer the key a second later.
func (g *group) answerAfterALoss(key string) {
	crash(g.entries[0], 100, second(0), []string{key})
	g.exchange(second(0.1))
	g.entries[0].RecordBegun([]string{key}, second(1))
	g.exchange(second(1.1))
}

// A VM that has just started doesn't know that a popular key was answered before, so it takes targets that
// a zone lost together for crashes by the key. The leader knows better and grants no trial: the VM refused
// the key for a day while the others served it.
func TestVMThatKnowsNoEarlierAnswerServesAPopularKey(t *testing.T) {
	g := newGroup(2)
	g.answerAfterALoss("popular")
	for i := range 4 {
		crash(g.entries[1], i, second(10+float64(i)/100), []string{"popular"})
	}
	assert.Assert(t, g.entries[1].Admit([]string{"popular"}, second(10.1)).Refused)
	refusedAt := g.admitAll("popular", second(10.1), second(60))
	assert.Assert(t, refusedAt.Before(second(13)), "refused until %v after the losses", refusedAt.Sub(second(10)))
}

// The same VM, with no other one that answers the key meanwhile: what it is told must decide.
func TestOnlyVMThatKnowsNoEarlierAnswerServesAPopularKey(t *testing.T) {
	g := newGroup(1)
	g.answerAfterALoss("popular")
	g.replace(0)
	for i := range 4 {
		crash(g.entries[0], i, second(10+float64(i)/100), []string{"popular"})
	}
	assert.Assert(t, g.entries[0].Admit([]string{"popular"}, second(10.1)).Refused)
	refusedAt := g.admitAll("popular", second(10.1), second(60))
	assert.Assert(t, refusedAt.Before(second(13)), "refused until %v after the losses", refusedAt.Sub(second(10)))
}

// A VM that reports its losses late, to a leader that knows of a later answer: the leader ignored them, and
// the VM refused the key for a day while the others served it.
func TestVMThatReportsLateLearnsOfTheAnswer(t *testing.T) {
	g := newGroup(2)
	for i := range 3 {
		crash(g.entries[1], i, second(float64(i)), []string{"p"})
	}
	late := g.entries[1]
	g.entries = g.entries[:1] // the leader doesn't hear from the other one
	crash(g.entries[0], 9, second(2), []string{"p"})
	g.exchange(second(2.1))
	g.entries[0].RecordBegun([]string{"p"}, second(3))
	g.exchange(second(3.1))
	g.entries = append(g.entries, late)
	assert.Assert(t, late.Admit([]string{"p"}, second(10)).Refused)
	refusedAt := g.admitAll("p", second(10), second(60))
	assert.Assert(t, refusedAt.Before(second(13)), "refused until %v after the losses", refusedAt.Sub(second(2)))
}

// Losses that different parts explain, each some of them, are not explained by any.
func TestSeveralPartsTogetherExplainNothing(t *testing.T) {
	tb := newTestTable()
	for i := range 3 {
		subject := fmt.Sprint("subject-", i)
		crash(tb, 10*i, second(float64(10*i)), []string{subject}, []string{"deadly"})
		crash(tb, 10*i+1, second(float64(10*i)+1), []string{subject})
		crash(tb, 10*i+2, second(float64(10*i)+2), []string{subject})
	}
	assert.Assert(t, tb.Admit([]string{"deadly"}, second(30)).Refused)
}

// TestSoundRequestAtTheSameTargetsIsServed guards against sound requests that are refused because each target
// that a deadly request crashed ran one of them as well, at the same VM or at another: all parts of the sound
// requests are in the deadly one, and were lost as often.
func TestSoundRequestAtTheSameTargetsIsServed(t *testing.T) {
	sound, deadly := []string{"a", "b"}, []string{"a", "deadly", "b"}
	for name, at := range map[string][2]int{"one VM": {0, 0}, "two VMs": {0, 1}} {
		for _, order := range [][2]int{{0, 1}, {1, 0}} {
			t.Run(fmt.Sprintf("%s, order %v", name, order), func(t *testing.T) {
				g, requests := newGroup(2), [][]string{sound, deadly}
				for i := range 3 {
					for _, k := range order {
						crash(g.entries[at[k]], i, second(float64(i)), requests[k])
						g.exchange(second(float64(i) + 0.1))
					}
				}
				g.exchange(second(2.2))
				for i, e := range g.entries {
					assert.Check(t, !e.Admit(sound, second(2.3)).Refused, "sound request at entry VM %d", i)
					assert.Check(t, e.Admit(deadly, second(2.3)).Refused, "deadly request at entry VM %d", i)
				}
			})
		}
	}
}
