package feed

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
)

// drawnFeed is a feed whose control VM's clock may run at another rate, and whose messages are
// delayed.
type drawnFeed struct {
	began      time.Time
	rate       float64
	receivedAt time.Time
	state      feedState
}

// elapsed returns the time since the feed began on the control VM's clock.
func (f *drawnFeed) elapsed(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(f.began)) * f.rate)
}

// deliver passes a reading that the control VM sends at sent.
func (f *drawnFeed) deliver(began, ended, sent time.Time, delay time.Duration) observe.Reading {
	f.receivedAt = later(f.receivedAt, sent.Add(delay)) // messages of a feed arrive in order
	f.state.applyTargets(&chicoryv1.FollowResponse{
		Targets: &chicoryv1.TargetList{},
		ListReading: &chicoryv1.ListReading{
			BeganMs: f.elapsed(began).Milliseconds(), SentMs: uint64(f.elapsed(sent).Milliseconds()), DurationMs: uint32(ended.Sub(began).Milliseconds()) + 1,
		},
	}, f.receivedAt)
	return f.state.reading
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestOlderReadingIsNeverTakenForALaterOne guards against a leaving target that gets requests
// again because of an older list: whatever feeds delay, one reading is only held to be after
// another if it is.
func TestOlderReadingIsNeverTakenForALaterOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type known struct{ true, received observe.Reading }
		epoch := time.Now()
		var all []known
		for feed := range rapid.IntRange(1, 3).Draw(t, "feeds") {
			f := &drawnFeed{began: epoch, rate: 1 + float64(rapid.IntRange(-clockDrift/2, clockDrift/2).Draw(t, "drift"))/1e6}
			sent := epoch
			for n := range rapid.IntRange(1, 20).Draw(t, "readings") {
				began := sent.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
				ended := began.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "read")) * time.Millisecond)
				sent = ended.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "unsent")) * time.Millisecond)
				delay := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "delay")) * time.Millisecond
				if n == 0 {
					delay = min(delay, feedTimeout) // later, the feed is given up
				}
				r := f.deliver(began, ended, sent, delay)
				// A millisecond is lost in the message.
				assert.Assert(t, r.Began.Sub(began) >= -3*time.Millisecond, "feed %d: %v early", feed, began.Sub(r.Began))
				all = append(all, known{observe.Reading{Began: began, Ended: ended}, r})
			}
		}
		for _, a := range all {
			for _, b := range all {
				assert.Assert(t, !a.received.IsAfter(b.received) || a.true.Began.After(b.true.Ended))
			}
		}
	})
}

// TestReadingsOfOneFeedAreOrdered checks that a VM knows within two readings that a list is later
// than one that it has.
func TestReadingsOfOneFeedAreOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &readSource{}
		f := &followerState{server: NewServer(source, NewSharedState()), began: time.Now()}
		received := &feedState{}
		receive := func() observe.Reading {
			source.read()
			time.Sleep(KeepaliveInterval)
			m, _, _ := f.nextMessage()
			time.Sleep(20 * time.Millisecond)
			assert.Assert(t, received.applyTargets(m, time.Now()), "a reading of the same list is passed on")
			return received.reading
		}
		first := receive()
		assert.Assert(t, source.reading.Began.Sub(first.Began).Abs() <= 22*time.Millisecond)
		time.Sleep(2 * observe.ListReadInterval)
		assert.Assert(t, receive().IsAfter(first))
		assert.Assert(t, !first.IsAfter(received.reading))
	})
}

// TestReadingOfAnEarlierReleaseIsKnownByItsAge checks the feed of a control VM that sends the age
// of its list only.
func TestReadingOfAnEarlierReleaseIsKnownByItsAge(t *testing.T) {
	state, now := &feedState{}, time.Now()
	fresh := func(age uint32, list *chicoryv1.TargetList) *chicoryv1.FollowResponse {
		return &chicoryv1.FollowResponse{Targets: list, ListIsFresh: true, ListAgeMs: age}
	}
	assert.Assert(t, state.applyTargets(fresh(300, &chicoryv1.TargetList{}), now))
	assert.Equal(t, state.reading.Began, now.Add(-300*time.Millisecond))
	now = now.Add(300 * time.Millisecond)
	assert.Assert(t, !state.applyTargets(fresh(601, nil), now), "the same reading")
	now = now.Add(700 * time.Millisecond)
	assert.Assert(t, state.applyTargets(fresh(100, nil), now))
	assert.Equal(t, state.reading.Began, now.Add(-100*time.Millisecond))
}

// readSource is a source whose list doesn't change and is read again.
type readSource struct {
	staticSource
	reading observe.Reading
}

func (s *readSource) read() {
	s.list, s.members = &chicoryv1.TargetList{}, []string{"c1"}
	s.reading = observe.Reading{Began: time.Now(), Ended: time.Now().Add(10 * time.Millisecond)}
}

func (s *readSource) Targets() (*chicoryv1.TargetList, observe.Reading, <-chan struct{}) {
	return s.list, s.reading, nil
}
