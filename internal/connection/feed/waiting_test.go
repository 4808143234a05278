package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func waitingAt(priority, requests uint32) *chicoryv1.WaitingDemand {
	return &chicoryv1.WaitingDemand{Service: "s", Priority: priority, Requests: requests, PromptTokens: uint64(requests) * 1000}
}

// TestWaitingStreamsAreSummed guards against a sum that includes the receiver, an entry VM that no longer shares, or one
// whose streams wait no more, over any history.
func TestWaitingStreamsAreSummed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := newWaitingTable(), time.Now()
		type shared struct {
			waiting map[uint32]uint32
			at      time.Time
		}
		last := map[string]shared{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "intervals")) * ShareInterval)
			entry := fmt.Sprint("entry-", rapid.IntRange(0, 3).Draw(t, "entry"))
			s := shared{waiting: map[uint32]uint32{}, at: now}
			var demand []*chicoryv1.WaitingDemand
			for range rapid.IntRange(0, 3).Draw(t, "priorities") {
				d := waitingAt(rapid.Uint32Range(0, 2).Draw(t, "priority"), rapid.Uint32Range(0, 9).Draw(t, "requests"))
				demand = append(demand, d)
				s.waiting[d.GetPriority()] += d.GetRequests()
			}
			table.update(entry, demand, now)
			last[entry] = s

			now = now.Add(ShareInterval) // those that expire are looked for once in an interval
			want := map[uint32]uint32{}
			for other, s := range last {
				if other == "entry-0" || now.Sub(s.at) >= waitingLifetime {
					continue
				}
				for priority, n := range s.waiting {
					want[priority] += n
				}
			}
			got := map[uint32]uint32{}
			for _, d := range table.others("entry-0", now) {
				got[d.GetPriority()] = d.GetRequests()
				assert.Equal(t, d.GetPromptTokens(), uint64(d.GetRequests())*1000)
			}
			for priority := range uint32(3) {
				assert.Equal(t, got[priority], want[priority], "priority %d", priority)
			}
		}
	})
}

// TestWaitingStreamsReachOtherEntryVMs guards against demand that isn't shared, that stays known after it has ended or
// after its entry VM no longer shares, and that isn't shared again after a change of the leader.
func TestWaitingStreamsReachOtherEntryVMs(t *testing.T) {
	c := &testCluster{changed: make(chan struct{})}
	first, second := startControl(t, c), startControl(t, c)
	c.leader = first
	a, b := follow(t, "v1", first, second), follow(t, "v2", first, second)
	share := func(waiting ...*chicoryv1.WaitingDemand) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.waiting = waiting
	}
	receives := func(e *entryVM, want uint32) {
		t.Helper()
		eventually(t, fmt.Sprintf("%d waiting streams were not received", want), func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.entries == 2 && e.remoteWaiting == want
		})
	}
	share(waitingAt(0, 3))
	receives(b, 3)
	receives(a, 0)
	share()
	receives(b, 0)
	share(waitingAt(0, 2), waitingAt(2, 5))
	receives(b, 7)
	c.mu.Lock()
	c.leader = second
	c.mu.Unlock()
	b.SetRemoteState(RemoteState{})
	receives(b, 7)
}

// TestStaleWaitingStreamsCountAsNone guards against room that is left to a VM that is gone.
func TestStaleWaitingStreamsCountAsNone(t *testing.T) {
	b, now := NewSharedState(), time.Now()
	b.Update(&chicoryv1.ShareRequest{EntryId: "v1", Waiting: []*chicoryv1.WaitingDemand{waitingAt(0, 3)}}, now)
	assert.Equal(t, len(b.waiting.others("v2", now)), 1)
	assert.Equal(t, len(b.waiting.others("v1", now)), 0)
	assert.Equal(t, len(b.waiting.others("v2", now.Add(waitingLifetime))), 0)
	assert.Equal(t, len(b.waiting.byEntry)+len(b.waiting.sharedAt)+len(b.waiting.totals), 0)
}
