package dispatchqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "engines"

func hasRoom(*Entry) bool { return true }

// half is a source of random numbers.
func half() float64 { return 0.5 }

func hasNoRoom(*Entry) bool { return false }

// newEntry returns an entry of a stream that is due in 4 s and ends in 25 s, like urgent ones.
func newEntry(priority int, now time.Time) *Entry {
	return &Entry{
		Service: service, Team: "t", Priority: priority, PromptTokens: 5000, Work: time.Second,
		Objective: now.Add(4 * time.Second), Deadline: now.Add(25 * time.Second),
	}
}

// drawEntry draws an entry of any kind.
func drawEntry(t *rapid.T, now time.Time) *Entry {
	objective := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "objective ms")) * time.Millisecond
	return &Entry{
		Service:      service,
		Team:         rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "team"),
		Priority:     rapid.IntRange(0, 3).Draw(t, "priority"),
		Begun:        rapid.IntRange(0, 9).Draw(t, "begun") == 0,
		PromptTokens: rapid.IntRange(0, 50_000).Draw(t, "tokens"),
		Work:         time.Duration(rapid.IntRange(0, 2000).Draw(t, "work ms")) * time.Millisecond,
		Objective:    now.Add(objective),
		Deadline:     now.Add(objective + time.Duration(rapid.IntRange(0, 20_000).Draw(t, "deadline ms"))*time.Millisecond),
	}
}

// TestOrderIsKept guards against a stream that is dispatched before one that the rules put first. Load
// pattern: a VM whose streams of all kinds have piled up, and room that becomes free one by one.
func TestOrderIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(half), start
		var waiting []*Entry
		outOfOrder, dispatched := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 4).Draw(t, "joins") {
				e := drawEntry(t, now)
				assert.Assert(t, q.Join(e, now) == nil)
				waiting = append(waiting, e)
			}
			got := q.Next(now, hasRoom)
			if got == nil {
				continue
			}
			dispatched++
			var left []*Entry
			passed := false
			for _, e := range waiting {
				if e == got {
					continue
				}
				left = append(left, e)
				if e.isExpired(now) {
					continue
				}
				assert.Assert(t, got.Begun || !e.Begun, "a stream that has begun was passed")
				if got.Begun {
					continue
				}
				if e.Priority < got.Priority {
					passed = true
				}
				if e.Priority == got.Priority {
					assert.Assert(t, e.isLate(now) || !got.isLate(now), "a late stream passed one in time")
					if e.isLate(now) == got.isLate(now) {
						assert.Assert(t, got.latestStart().Sub(e.latestStart()) <= turnWindow, "%v starts before %v", got.latestStart(), e.latestStart())
					}
				}
			}
			if passed {
				outOfOrder++
			}
			waiting = left
		}
		// Only the minimum shares of the three lower priorities may break the order of priorities.
		assert.Assert(t, float64(outOfOrder) <= 3*minShare*float64(dispatched), "%d of %d", outOfOrder, dispatched)
	})
}

// TestNoPriorityStarves guards against a priority that gets nothing. Load pattern: more streams of the highest
// priority than room, without end.
func TestNoPriorityStarves(t *testing.T) {
	q, now := New(half), start
	served := map[int]int{}
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		for priority := range 3 {
			q.Join(newEntry(priority, now), now)
		}
		q.RemoveExpired(now)
		served[q.Next(now, hasRoom).Priority]++
	}
	for priority := range 3 {
		assert.Assert(t, served[priority] >= 45, "%v", served)
	}
	assert.Assert(t, served[0] >= 890, "%v", served)
}

// TestNoTeamStarves guards against a team whose streams wait behind those of another. Load pattern: one team
// sends ten times what there is room for, another one a tenth of it.
func TestNoTeamStarves(t *testing.T) {
	q, now := New(half), start
	sent, served := 0, 0
	for i := range 3000 {
		now = now.Add(100 * time.Millisecond)
		for range 10 {
			q.Join(newEntry(1, now), now)
		}
		if i%10 == 0 {
			e := newEntry(1, now)
			e.Team = "small"
			q.Join(e, now)
			sent++
		}
		q.RemoveExpired(now)
		if e := q.Next(now, hasRoom); e != nil && e.Team == "small" {
			served++
		}
	}
	assert.Assert(t, float64(served) >= 0.9*float64(sent), "%d of %d", served, sent)
}

// TestNoSizeStarves guards against a long prompt that never finds room because shorter ones take it. Load
// pattern: a stream of short prompts as fast as room becomes free.
func TestNoSizeStarves(t *testing.T) {
	q, now := New(half), start
	long := newEntry(1, now)
	long.PromptTokens = 50_000
	q.Join(long, now)
	for i := range 2 * maxPassed {
		now = now.Add(20 * time.Millisecond)
		q.Join(newEntry(1, now), now)
		got := q.Next(now, func(e *Entry) bool { return e != long && i%2 == 0 })
		if got == long {
			assert.Assert(t, long.BeyondRoom())
			assert.Equal(t, long.passed, maxPassed)
			return
		}
	}
	t.Fatal("the long prompt still waits")
}

// TestFullQueueRefusesTheLast guards against a queue without bound, and against a stream of a high priority that
// is refused because others are already there. Load pattern: a VM that gets far more than it can serve.
func TestFullQueueRefusesTheLast(t *testing.T) {
	q, now := New(half), start
	for range MaxEntries {
		assert.Assert(t, q.Join(newEntry(2, now), now) == nil)
	}
	last := newEntry(2, now.Add(time.Second))
	assert.Equal(t, q.Join(last, now), last)
	urgent := newEntry(0, now)
	assert.Assert(t, q.Join(urgent, now).Priority == 2)
	begun := newEntry(2, now)
	begun.Begun = true
	assert.Assert(t, !q.Join(begun, now).Begun)
	assert.Equal(t, q.Len(), MaxEntries)
	assert.Equal(t, q.Next(now, hasRoom), begun)
	assert.Equal(t, q.Next(now, hasRoom), urgent)
}

// TestStreamsDoNotWaitForeverWithoutRoom guards against estimates of room that are wrong for all engines: no
// stream waits longer than 2 s. Load pattern: none; engines are
// idle, but seem full.
func TestStreamsDoNotWaitForeverWithoutRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(half), start
		joined := map[*Entry]time.Time{}
		const step = 10 * time.Millisecond
		for i := range 600 {
			now = now.Add(step)
			if i < 300 && rapid.IntRange(0, 9).Draw(t, "join") == 0 {
				e := drawEntry(t, now)
				q.Join(e, now)
				joined[e] = now
			}
			for e := q.Next(now, hasNoRoom); e != nil; e = q.Next(now, hasNoRoom) {
				assert.Assert(t, e.BeyondRoom())
				delete(joined, e)
			}
			for _, e := range q.RemoveExpired(now) {
				assert.Assert(t, !e.Begun)
				delete(joined, e)
			}
			for e, at := range joined {
				limit := maxStall
				if e.Begun {
					limit = maxBegunWait
				}
				assert.Assert(t, now.Sub(at) <= limit+2*stallStep+step, "%+v has waited for %v", e, now.Sub(at))
			}
		}
		assert.Equal(t, q.Len(), 0)
	})
}

// TestNoRoomIsLost guards against room that stays free while streams wait, over any history of joins, callers that
// leave, room, demand of other VMs that appears, goes stale or is lost with a leader, and pauses of the VM for 5 s.
// Load pattern: overload that comes and goes.
func TestNoRoomIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(half), start
		var waiting []*Entry
		remove := func(e *Entry) {
			for i, x := range waiting {
				if x == e {
					waiting = append(waiting[:i], waiting[i+1:]...)
					return
				}
			}
		}
		room, unusedSince := 0, time.Time{}
		const step = 20 * time.Millisecond
		// Streams of the highest priority wait at other VMs all the time, which don't use the room.
		pressed := rapid.Bool().Draw(t, "pressed")
		for range rapid.IntRange(300, 500).Draw(t, "steps") {
			now = now.Add(step)
			switch rapid.SampledFrom([]string{"join", "join", "join", "leave", "room", "room", "remote", "remote ends", "pause", "nothing", "nothing", "nothing"}).Draw(t, "event") {
			case "join":
				e := drawEntry(t, now)
				q.Join(e, now)
				waiting = append(waiting, e)
			case "leave":
				if len(waiting) > 0 {
					e := rapid.SampledFrom(waiting).Draw(t, "leaving")
					q.Leave(e)
					remove(e)
				}
			case "room":
				room += rapid.IntRange(1, 3).Draw(t, "room")
			case "remote":
				q.SetRemoteDemand([]Demand{{Service: service, Priority: rapid.IntRange(0, 3).Draw(t, "remote priority"), Requests: rapid.IntRange(0, 5).Draw(t, "requests")}}, now)
			case "remote ends":
				q.SetRemoteDemand(nil, now)
			case "pause":
				if rapid.IntRange(0, 19).Draw(t, "pauses") == 0 {
					now = now.Add(5 * time.Second)
					unusedSince = time.Time{}
				}
			}
			if pressed {
				q.SetRemoteDemand([]Demand{{Service: service, Priority: 0, Requests: 100}}, now)
			}
			for _, e := range q.RemoveExpired(now) {
				assert.Assert(t, !e.Begun, "a stream that has begun was refused")
				remove(e)
			}
			used := false
			for e := q.Next(now, func(*Entry) bool { return room > 0 }); e != nil; e = q.Next(now, func(*Entry) bool { return room > 0 }) {
				assert.Assert(t, !e.isExpired(now), "an expired stream got room")
				room, used = max(room-1, 0), true
				remove(e)
			}
			assert.Equal(t, q.Len(), len(waiting))
			switch {
			case room == 0 || len(waiting) == 0 || used:
				unusedSince = time.Time{}
			case unusedSince.IsZero():
				unusedSince = now
			default:
				assert.Assert(t, now.Sub(unusedSince) <= maxContest+2*step, "%d streams wait beside room for %d", len(waiting), room)
			}
		}
	})
}

// TestRoomIsLeftToHigherPriorities guards against a stream of a low priority that takes the room that streams of a
// higher one wait for at other VMs, and against room that is left to them without end. Load pattern: a burst of
// urgent streams at some VMs while others have less urgent ones.
func TestRoomIsLeftToHigherPriorities(t *testing.T) {
	q, now := New(half), start
	low := newEntry(2, now)
	assert.Assert(t, !q.MustWait(low, now))
	q.SetRemoteDemand([]Demand{{Service: service, Priority: 0, Requests: 3}}, now)
	assert.Assert(t, q.MustWait(low, now))
	assert.Assert(t, q.MustWait(newEntry(0, now), now), "streams of the same priority wait at other VMs")
	q.SetRemoteDemand([]Demand{{Service: service, Priority: 1, Requests: 3}}, now)
	assert.Assert(t, !q.MustWait(newEntry(0, now), now))
	q.SetRemoteDemand([]Demand{{Service: service, Priority: 0, Requests: 3}}, now)
	q.Join(low, now)
	for range 10 {
		assert.Assert(t, q.Next(now, hasRoom) == nil)
		now = now.Add(20 * time.Millisecond)
	}
	now = now.Add(maxHold)
	assert.Equal(t, q.Next(now, hasRoom), low)

	// Engines with room for more than the three streams.
	low = newEntry(2, now)
	q.SetRemoteDemand([]Demand{{Service: service, Priority: 0, Requests: 3}}, now)
	q.Join(low, now)
	q.Offer(service, 3, now)
	assert.Assert(t, q.Next(now, hasRoom) == nil)
	q.Offer(service, 4, now)
	assert.Equal(t, q.Next(now, hasRoom), low)

	late := newEntry(2, now.Add(-20*time.Second))
	late.Deadline = now.Add(time.Minute)
	q.Join(late, now)
	q.SetRemoteDemand([]Demand{{Service: service, Priority: 2, Requests: 3}}, now)
	assert.Assert(t, q.Next(now, hasRoom) == nil, "a late stream took the room of one in time")
	timely := newEntry(2, now)
	q.Join(timely, now)
	assert.Assert(t, q.Next(now, hasRoom) == nil, "a stream took room that others may have taken as well")
	q.Offer(service, 2, now)
	assert.Equal(t, q.Next(now, hasRoom), timely)
	assert.Assert(t, q.Next(now, hasRoom) == nil)
	own := newEntry(2, now)
	q.Join(own, now)
	q.RoomFreed(1, now)
	assert.Equal(t, q.Next(now, hasRoom), own, "the room of an own run")
	assert.Equal(t, q.Next(now.Add(maxHold), hasRoom), late)

	// Without a leader, room of an own run is not left to other VMs.
	q, now = New(half), start
	q.SetRemoteDemand([]Demand{{Service: service, Priority: 0, Requests: 1}}, now)
	now = now.Add(remoteLifetime)
	low = newEntry(2, now)
	q.Join(low, now)
	assert.Assert(t, q.Next(now, hasRoom) == nil)
	q.RoomFreed(1, now)
	assert.Equal(t, q.Next(now, hasRoom), low)
	// Nor do streams wait beside much room.
	q.Join(low, now)
	q.Offer(service, 100, now)
	assert.Equal(t, q.Next(now, hasRoom), low)

	for name, event := range map[string]func(*Queue, time.Time) time.Time{
		"demand ends": func(q *Queue, now time.Time) time.Time {
			q.SetRemoteDemand([]Demand{{Service: service, Priority: 0}}, now)
			return now
		},
		"another service": func(q *Queue, now time.Time) time.Time {
			q.SetRemoteDemand([]Demand{{Service: "other", Priority: 0, Requests: 1}}, now)
			return now
		},
		"lower priority": func(q *Queue, now time.Time) time.Time {
			q.SetRemoteDemand([]Demand{{Service: service, Priority: 3, Requests: 1}}, now)
			return now
		},
		"demand is old": func(_ *Queue, now time.Time) time.Time { return now.Add(contestLifetime) },
	} {
		q, now := New(half), start
		q.SetRemoteDemand([]Demand{{Service: service, Priority: 0, Requests: 1}}, now)
		low := newEntry(2, now)
		q.Join(low, now)
		assert.Assert(t, q.Next(now, hasRoom) == nil, name)
		assert.Equal(t, q.Next(event(q, now), hasRoom), low, name)
	}
}

// TestPausedVMRemovesExpiredStreams guards against streams that are sent after their deadline. Load pattern: a VM that
// is paused for 25 s while streams wait.
func TestPausedVMRemovesExpiredStreams(t *testing.T) {
	q, now := New(half), start
	old, begun := newEntry(0, now), newEntry(0, now)
	begun.Begun = true
	q.Join(old, now)
	q.Join(begun, now)
	now = now.Add(25 * time.Second)
	fresh := newEntry(2, now)
	q.Join(fresh, now)
	first, second := q.Next(now, hasRoom), q.Next(now, hasRoom)
	assert.Assert(t, first == begun && second == fresh, "an expired stream got room")
	q.Join(begun, now)
	q.Join(fresh, now)
	assert.DeepEqual(t, fmt.Sprint(q.RemoveExpired(now)), fmt.Sprint([]*Entry{old}))
	assert.Equal(t, q.Next(now, hasRoom), begun)
	assert.Equal(t, q.Next(now, hasRoom), fresh)
	assert.Equal(t, q.Len(), 0)
}

// TestExpectedWaitFollowsRates guards against streams that wait in vain and against refusals of streams that would be
// served. Load pattern: twice as many streams of one priority as there is room for.
func TestExpectedWaitFollowsRates(t *testing.T) {
	q, now := New(half), start
	assert.Equal(t, q.ExpectedWait(newEntry(1, now), now), time.Duration(0))
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		q.Join(newEntry(1, now), now)
		if i%2 == 0 {
			q.Next(now, hasRoom)
		}
	}
	assert.Equal(t, q.Len(), 100)
	// 10 are dispatched per second. The late ones are behind a new one.
	ahead := 0
	for _, e := range q.services[service].entries {
		if !e.isLate(now) {
			ahead++
		}
	}
	got := q.ExpectedWait(newEntry(1, now), now)
	assert.Assert(t, got > time.Duration(ahead)*80*time.Millisecond && got < time.Duration(ahead)*130*time.Millisecond, "%v behind %d", got, ahead)
	hopeless := newEntry(1, now)
	hopeless.Deadline = now.Add(2 * time.Second)
	assert.Assert(t, hopeless.WillMissDeadline(got, now) && !newEntry(1, now).WillMissDeadline(got, now))
	urgent := newEntry(0, now)
	assert.Assert(t, q.ExpectedWait(urgent, now) < 200*time.Millisecond)
}

func TestDemandCountsWaitingStreams(t *testing.T) {
	q, now := New(half), start
	begun := newEntry(2, now)
	begun.Begun = true
	for _, e := range []*Entry{newEntry(2, now), newEntry(2, now), begun} {
		q.Join(e, now)
	}
	assert.DeepEqual(t, q.Demand(now), []Demand{{service, 2, 2, 10_000}, {service, 0, 1, 5000}})
	q.Leave(begun)
	q.Leave(begun)
	assert.Equal(t, len(q.Demand(now)), 1)
	assert.Equal(t, len(q.Demand(now.Add(5*time.Second))), 0, "late ones count")
}
