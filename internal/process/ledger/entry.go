package ledger

import (
	"container/heap"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// insert adds an entry for a key that has none.
func (l *Ledger) insert(c *chicoryv1.Claim, keyMs int64, state chicoryv1.ClaimState, now time.Time) *entry {
	claim := proto.CloneOf(c)
	claim.State = state
	claim.ClaimedUnixMs = now.UnixMilli()
	if isFinal(state) {
		claim.ClosedUnixMs = now.UnixMilli()
	}
	e := l.add(claim, keyMs)
	l.trim()
	return e
}

// add puts a claim into every index.
func (l *Ledger) add(claim *chicoryv1.Claim, keyMs int64) *entry {
	e := &entry{id: idOf(claim), keyMs: keyMs, claim: claim}
	l.entries[e.id] = e
	heap.Push(&l.oldest, e)
	l.bytes += sizeOf(claim)
	l.index(e)
	return e
}

// finish replaces the entry's claim by one in c's state, with c's outcome.
func (l *Ledger) finish(e *entry, c *chicoryv1.Claim, now time.Time) {
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
		DropPayload(claim)
	}
	l.replace(e, claim)
}

// DropPayload changes the closed claim c to one that tells of an answer which is
// too large to be recorded.
func DropPayload(c *chicoryv1.Claim) {
	c.Payload = nil
	c.FaultKind = string(fault.TargetRefused)
	c.FaultMessage = payloadTooLargeMessage
}

// doubt puts an open claim in doubt.
func (l *Ledger) doubt(e *entry, now time.Time) {
	claim := proto.CloneOf(e.claim)
	claim.State = chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT
	claim.ClosedUnixMs = now.UnixMilli()
	l.replace(e, claim)
}

func (l *Ledger) replace(e *entry, claim *chicoryv1.Claim) {
	l.unindex(e)
	l.bytes += sizeOf(claim) - sizeOf(e.claim)
	e.claim = claim
	l.index(e)
}

// remove drops an entry from every index.
func (l *Ledger) remove(e *entry) {
	l.unindex(e)
	heap.Remove(&l.oldest, e.heap)
	delete(l.entries, e.id)
	l.bytes -= sizeOf(e.claim)
}

// index adds e to the index of its state.
func (l *Ledger) index(e *entry) {
	switch e.claim.GetState() {
	case chicoryv1.ClaimState_CLAIM_STATE_CLAIMED:
		r := runOf(e.claim)
		if l.open[r] == nil {
			l.open[r] = map[entryID]*entry{}
		}
		l.open[r][e.id] = e
	case chicoryv1.ClaimState_CLAIM_STATE_IN_DOUBT:
		l.inDoubt[e.id] = e
	}
}

// unindex takes e out of the index of its state.
func (l *Ledger) unindex(e *entry) {
	r := runOf(e.claim)
	delete(l.open[r], e.id)
	if len(l.open[r]) == 0 {
		delete(l.open, r)
	}
	delete(l.inDoubt, e.id)
}

func runOf(c *chicoryv1.Claim) routerRun {
	return routerRun{c.GetRouterId(), c.GetIncarnation()}
}

// sizeOf estimates the memory of an entry in bytes.
func sizeOf(c *chicoryv1.Claim) int {
	return entryOverheadBytes + len(c.GetTeam()) + len(c.GetKey()) + len(c.GetDigest()) +
		len(c.GetPayload()) + len(c.GetFaultMessage()) + len(c.GetNonce())
}

// entryHeap orders entries by the time of their key, the oldest first.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].keyMs < h[j].keyMs }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heap, h[j].heap = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heap = len(*h)
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
