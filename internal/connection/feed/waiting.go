package feed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// waitingLifetime is the time after which what an entry VM shared of its waiting streams counts as none. Entry VMs
// share it in every ShareInterval while streams wait, and rely on the sum for as long again.
const waitingLifetime = 500 * time.Millisecond

// waitingKey is a service and the priority of streams that wait for it.
type waitingKey struct {
	service  string
	priority uint32
}

// waitingStreams counts streams and their prompt tokens.
type waitingStreams struct {
	requests uint32
	tokens   uint64
}

// waitingTable sums the streams that wait at entry VMs. It is safe for concurrent use.
type waitingTable struct {
	mu        sync.Mutex                               // guards the fields below
	byEntry   map[string]map[waitingKey]waitingStreams // only entry VMs at which streams wait
	sharedAt  map[string]time.Time
	totals    map[waitingKey]waitingStreams
	checkedAt time.Time
}

func newWaitingTable() *waitingTable {
	return &waitingTable{
		byEntry: map[string]map[waitingKey]waitingStreams{}, sharedAt: map[string]time.Time{},
		totals: map[waitingKey]waitingStreams{},
	}
}

// update replaces what waits at one entry VM.
func (t *waitingTable) update(entry string, waiting []*chicoryv1.WaitingDemand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(entry)
	if len(waiting) == 0 {
		return
	}
	own := map[waitingKey]waitingStreams{}
	for _, w := range waiting {
		k := waitingKey{w.GetService(), w.GetPriority()}
		own[k] = waitingStreams{own[k].requests + w.GetRequests(), own[k].tokens + w.GetPromptTokens()}
	}
	t.byEntry[entry], t.sharedAt[entry] = own, now
	for k, w := range own {
		sum := t.totals[k]
		t.totals[k] = waitingStreams{sum.requests + w.requests, sum.tokens + w.tokens}
	}
}

// remove removes an entry VM. The caller holds mu.
func (t *waitingTable) remove(entry string) {
	for k, w := range t.byEntry[entry] {
		sum := t.totals[k]
		sum = waitingStreams{sum.requests - w.requests, sum.tokens - w.tokens}
		if t.totals[k] = sum; sum == (waitingStreams{}) {
			delete(t.totals, k)
		}
	}
	delete(t.byEntry, entry)
	delete(t.sharedAt, entry)
}

// others returns the sum of what waits at all entry VMs except one, in the order of services and priorities.
func (t *waitingTable) others(except string, now time.Time) []*chicoryv1.WaitingDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	own := t.byEntry[except]
	var out []*chicoryv1.WaitingDemand
	for k, sum := range t.totals {
		w := own[k]
		if sum.requests == w.requests {
			continue
		}
		out = append(out, &chicoryv1.WaitingDemand{
			Service: k.service, Priority: k.priority, Requests: sum.requests - w.requests, PromptTokens: sum.tokens - w.tokens,
		})
	}
	slices.SortFunc(out, func(a, b *chicoryv1.WaitingDemand) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetPriority(), b.GetPriority()))
	})
	return out
}

// removeExpired removes the entry VMs that have not shared lately. The caller holds mu.
func (t *waitingTable) removeExpired(now time.Time) {
	if now.Sub(t.checkedAt) < ShareInterval {
		return
	}
	t.checkedAt = now
	for entry, at := range t.sharedAt {
		if now.Sub(at) >= waitingLifetime {
			t.remove(entry)
		}
	}
}

// addWaiting adds to a leader's message what waits at the other entry VMs, and reports whether the message must be
// sent immediately: while streams wait, and once when none do anymore.
func (f *followerState) addWaiting(m *chicoryv1.FollowResponse, now time.Time) bool {
	if !m.GetLeads() {
		f.sentWaiting = false
		return false
	}
	m.Waiting = f.server.sharedState.waiting.others(f.entryID, now)
	urgent := len(m.GetWaiting()) > 0 || f.sentWaiting
	f.sentWaiting = len(m.GetWaiting()) > 0
	return urgent
}

// isWaitingUrgent reports whether the waiting streams must be shared immediately: while there are any, as they go stale
// soon, and once when there are none.
func isWaitingUrgent(previous, current *chicoryv1.ShareRequest) bool {
	return len(current.GetWaiting()) > 0 || len(previous.GetWaiting()) > 0
}
