package consensus

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// proposal is an entry to be appended to the log.
type proposal struct {
	entry *chicoryv1.LogEntry
	done  chan proposalResult // buffered for one result; nil when no caller waits
}

// proposalResult is the state machine's result or an error.
type proposalResult struct {
	value any
	err   error
}

func (p *proposal) complete(o proposalResult) {
	if p.done != nil {
		p.done <- o
	}
}

// Propose appends command to the log and returns the state machine's result once the
// command is committed and applied on this replica. Concurrent calls share disk syncs
// and messages. It fails with one of the kinds
//
//   - NotLeader: the command was not appended;
//   - NoQuorum: the command may still be committed;
//   - StorageFailed: the disk of this VM failed; the command may still be committed;
//   - InvalidArgument: the command is empty or larger than MaxCommandBytes.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) == 0 || len(command) > MaxCommandBytes {
		return nil, fault.New(fault.InvalidArgument, "a command of %d bytes is empty or too large", len(command))
	}
	p := &proposal{
		entry: &chicoryv1.LogEntry{Command: command},
		done:  make(chan proposalResult, 1),
	}
	if err := n.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case o := <-p.done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, fault.New(fault.NoQuorum, "the command was not known to be committed in time: %v", ctx.Err())
	}
}

func (n *Node) enqueue(p *proposal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failure != nil {
		return n.failure
	}
	if n.role != Leader {
		return n.errNotLeader()
	}
	n.proposalQueue = append(n.proposalQueue, p)
	n.writeWake.notify()
	return nil
}

// runWriter writes queued proposals in batches.
func (n *Node) runWriter() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.writeWake:
			for n.writeBatch() {
			}
		}
	}
}

// writeBatch appends queued proposals to the log and syncs them while the senders
// replicate them. It returns false when there was nothing to write or the write failed.
func (n *Node) writeBatch() bool {
	if n.writeMu.lock(n.ctx) != nil {
		return false
	}
	defer n.writeMu.unlock()
	entries := n.takeBatch()
	if len(entries) == 0 {
		return false
	}
	if n.persist(nil, entries) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeStart = time.Time{}
	n.syncedIndex = entries[len(entries)-1].GetIndex()
	n.advanceCommit()
	return true
}

// takeBatch moves proposals from the queue to the in-memory log. The caller holds
// writeMu.
func (n *Node) takeBatch() []*chicoryv1.LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != Leader || len(n.proposalQueue) == 0 {
		return nil
	}
	var entries []*chicoryv1.LogEntry
	size := 0
	for _, p := range n.proposalQueue {
		size += len(p.entry.GetCommand())
		if len(entries) == maxBatchEntries || len(entries) > 0 && size > maxBatchBytes {
			break
		}
		p.entry.Index = n.log.lastIndex() + 1 + uint64(len(entries))
		p.entry.Term = n.term
		entries = append(entries, p.entry)
		n.pending[p.entry.Index] = p
	}
	n.proposalQueue = n.proposalQueue[len(entries):]
	n.log.appendEntries(entries)
	n.writeStart = time.Now()
	n.wakePeerSenders()
	return entries
}

// advanceCommit commits the entries that a quorum has synced. An entry of an earlier
// term is committed only along with one of the current term. The caller holds mu.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	members, _ := n.log.latestMembership()
	index := members.quorumIndex(n.matched)
	if term, ok := n.log.term(index); !ok || term != n.term || index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	n.applyWake.notify()
	n.wakePeerSenders()
}

// matched returns the last index that a replica is known to have synced. The caller
// holds mu.
func (n *Node) matched(r replica) uint64 {
	if r == n.self {
		return n.syncedIndex
	}
	if p := n.progress[r]; p != nil {
		return p.matchIndex
	}
	return 0
}

// failProposals fails the queued and the appended proposals. The caller holds mu.
func (n *Node) failProposals() {
	queued, appended := error(n.errNotLeader()), errNoQuorum()
	if fault.Is(n.failure, fault.StorageFailed) {
		queued, appended = n.failure, n.failure
	}
	for _, p := range n.proposalQueue {
		p.complete(proposalResult{err: queued})
	}
	for _, p := range n.pending {
		p.complete(proposalResult{err: appended})
	}
	n.proposalQueue = nil
	n.pending = nil
}
