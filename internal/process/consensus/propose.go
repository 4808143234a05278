package consensus

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// proposal is an entry on its way into the log. done is nil when nobody waits.
type proposal struct {
	entry *chicoryv1.LogEntry
	done  chan outcome // buffered, takes one outcome
}

type outcome struct {
	result any
	err    error
}

func (p *proposal) finish(o outcome) {
	if p.done != nil {
		p.done <- o
	}
}

// Propose appends command to the log and returns the state machine's result
// once it is committed and applied here. Concurrent calls share one sync and
// one message. It fails with one of the kinds
//
//   - NotLeader: the command was surely not appended;
//   - NoQuorum: the command may still be committed;
//   - StorageFailed: the disk of this VM failed; the command may still be committed;
//   - InvalidArgument: the command is empty or larger than MaxCommandBytes.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) == 0 || len(command) > MaxCommandBytes {
		return nil, fault.New(fault.InvalidArgument, "a command of %d bytes", len(command))
	}
	p := &proposal{
		entry: &chicoryv1.LogEntry{Command: command},
		done:  make(chan outcome, 1),
	}
	if err := n.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, fault.New(fault.NoQuorum, "not committed in time: %v", ctx.Err())
	}
}

func (n *Node) enqueue(p *proposal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return n.failed
	}
	if n.role != Leader {
		return n.errNotLeader()
	}
	n.queue = append(n.queue, p)
	n.writeWake.set()
	return nil
}

// runWriter writes queued proposals, all that are there at a time.
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

// writeBatch appends queued proposals to the log, lets the peers send them and
// syncs them meanwhile. It returns false when there was nothing to write.
func (n *Node) writeBatch() bool {
	if n.io.lock(n.ctx) != nil {
		return false
	}
	defer n.io.unlock()
	entries := n.takeBatch()
	if len(entries) == 0 {
		return false
	}
	if n.persist(nil, entries) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeSince = time.Time{}
	n.synced = entries[len(entries)-1].GetIndex()
	n.advanceCommit()
	return true
}

// takeBatch moves proposals from the queue into the log in memory. io is held.
func (n *Node) takeBatch() []*chicoryv1.LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != Leader || len(n.queue) == 0 {
		return nil
	}
	var entries []*chicoryv1.LogEntry
	size := 0
	for _, p := range n.queue {
		size += len(p.entry.GetCommand())
		if len(entries) == maxBatchEntries || len(entries) > 0 && size > maxBatchBytes {
			break
		}
		p.entry.Index = n.log.last() + 1 + uint64(len(entries))
		p.entry.Term = n.term
		entries = append(entries, p.entry)
		n.waiting[p.entry.Index] = p
	}
	n.queue = n.queue[len(entries):]
	n.log.put(entries)
	n.writeSince = time.Now()
	n.wakePeers()
	return entries
}

// advanceCommit commits what a quorum has synced. An entry of an earlier term
// is committed only along with one of this term. mu is held.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	members, _ := n.log.current()
	index := members.quorumIndex(n.matched)
	if term, ok := n.log.term(index); !ok || term != n.term || index <= n.commit {
		return
	}
	n.commit = index
	n.applyWake.set()
	n.wakePeers()
}

// matched returns the last index that a replica is known to have synced.
func (n *Node) matched(r replica) uint64 {
	if r == n.self {
		return n.synced
	}
	if p := n.progress[r]; p != nil {
		return p.match
	}
	return 0
}

// dropProposals answers everyone who waits. mu is held.
func (n *Node) dropProposals() {
	queued, appended := error(n.errNotLeader()), errNoQuorum()
	if fault.Is(n.failed, fault.StorageFailed) {
		queued, appended = n.failed, n.failed
	}
	for _, p := range n.queue {
		p.finish(outcome{err: queued})
	}
	for _, p := range n.waiting {
		p.finish(outcome{err: appended})
	}
	n.queue = nil
	n.waiting = nil
}
