package ledger

import (
	"container/heap"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// insert adds an entry for a key that has none and enforces the memory limits.
func (l *Ledger) insert(c *chicoryv1.Claim, keyMs int64, state chicoryv1.ClaimState, now time.Time) *entry {
	claim := proto.CloneOf(c)
	claim.State = state
	claim.ClaimedUnixMs = now.UnixMilli()
	if isFinal(state) {
		claim.ClosedUnixMs = now.UnixMilli()
	}
	e := l.add(claim, keyMs)
	l.evictOldest()
	return e
}

// add creates the entry of a claim and adds it to every index.
func (l *Ledger) add(claim *chicoryv1.Claim, keyMs int64) *entry {
	e := &entry{id: entryIDOf(claim), keyMs: keyMs, claim: claim}
	l.entries[e.id] = e
	heap.Push(&l.byKeyTime, e)
	l.sizeBytes += sizeOf(claim)
	l.index(e)
	return e
}

// closeEntry replaces the entry's claim with one that has c's state and outcome.
func (l *Ledger) closeEntry(e *entry, c *chicoryv1.Claim, now time.Time) {
	claim := proto.CloneOf(e.claim)
	claim.State = c.GetState()
	claim.ClosedUnixMs = now.UnixMilli()
	claim.Payload = c.GetPayload()
	claim.FaultKind = c.GetFaultKind()
	claim.FaultMessage = c.GetFaultMessage()
	if c.GetVersion() != "" {
		claim.Version = c.GetVersion()
	}
	if c.GetTarget() != "" {
		claim.Target = c.GetTarget()
	}
	if len(claim.GetPayload()) > l.settings.MaxPayloadBytes {
		MarkPayloadTooLarge(claim)
	}
	l.replace(e, claim)
}

// MarkPayloadTooLarge replaces the payload of the closed claim c with a fault which
// says that the response was too large to be recorded.
func MarkPayloadTooLarge(c *chicoryv1.Claim) {
	c.Payload = nil
	c.FaultKind = string(fault.TargetRefused)
	c.FaultMessage = payloadTooLargeMessage
}

// markInDoubt moves an open claim to the state in doubt.
func (l *Ledger) markInDoubt(e *entry, now time.Time) {
	claim := proto.CloneOf(e.claim)
	claim.State = chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
	claim.ClosedUnixMs = now.UnixMilli()
	l.replace(e, claim)
}

func (l *Ledger) replace(e *entry, claim *chicoryv1.Claim) {
	l.unindex(e)
	l.sizeBytes += sizeOf(claim) - sizeOf(e.claim)
	e.claim = claim
	l.index(e)
}

// remove deletes an entry from every index.
func (l *Ledger) remove(e *entry) {
	l.unindex(e)
	heap.Remove(&l.byKeyTime, e.heapIndex)
	delete(l.entries, e.id)
	l.sizeBytes -= sizeOf(e.claim)
}

// index adds e to the index of its claim's state.
func (l *Ledger) index(e *entry) {
	switch e.claim.GetState() {
	case chicoryv1.ClaimState_CLAIM_STATE_CLAIMED:
		r := routerKeyOf(e.claim)
		if l.openByRouter[r] == nil {
			l.openByRouter[r] = map[entryID]*entry{}
		}
		l.openByRouter[r][e.id] = e
	case chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT:
		l.inDoubt[e.id] = e
	}
}

// unindex removes e from the index of its claim's state.
func (l *Ledger) unindex(e *entry) {
	r := routerKeyOf(e.claim)
	delete(l.openByRouter[r], e.id)
	if len(l.openByRouter[r]) == 0 {
		delete(l.openByRouter, r)
	}
	delete(l.inDoubt, e.id)
}

func routerKeyOf(c *chicoryv1.Claim) routerKey {
	return routerKey{c.GetRouterId(), c.GetIncarnation()}
}

// sizeOf estimates the memory used by an entry, in bytes.
func sizeOf(c *chicoryv1.Claim) int {
	return entryOverheadBytes + len(c.GetTeam()) + len(c.GetKey()) + len(c.GetDigest()) +
		len(c.GetPayload()) + len(c.GetFaultMessage()) + len(c.GetNonce())
}

// entryHeap is a min-heap of entries by the time in their key.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].keyMs < h[j].keyMs }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
