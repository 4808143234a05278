package consensus

import (
	"context"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// pendingRead is a read that waits until a quorum confirms leadership and the state
// machine has caught up.
type pendingRead struct {
	readRound uint64 // responses to this heartbeat round or a later one confirm leadership
	index     uint64 // must be applied before the read completes
	done      chan error
}

// ReadBarrier returns when the applied state includes everything that was committed
// before the call. By then a quorum has confirmed, after the call began, that this
// replica is the leader. It fails with the kinds NotLeader, NoQuorum and StorageFailed;
// the read can be retried on this or another replica.
func (n *Node) ReadBarrier(ctx context.Context) error {
	b, err := n.enqueueRead()
	if err != nil {
		return err
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "leadership was not confirmed in time: %v", ctx.Err())
	}
}

func (n *Node) enqueueRead() (*pendingRead, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failure != nil {
		return nil, n.failure
	}
	if n.role != Leader {
		return nil, n.errNotLeader()
	}
	n.readRound++
	b := &pendingRead{
		readRound: n.readRound,
		// Until an entry of its term is committed, a leader doesn't know which
		// earlier entries are committed.
		index: max(n.commitIndex, n.termStartIndex),
		done:  make(chan error, 1),
	}
	n.pendingReads = append(n.pendingReads, b)
	n.wakePeerSenders()
	n.completeReads()
	return b, nil
}

// completeReads completes the reads whose conditions are met. The caller holds mu.
func (n *Node) completeReads() {
	members, _ := n.log.latestMembership()
	var waiting []*pendingRead
	for _, b := range n.pendingReads {
		confirmed := members.hasQuorum(func(r replica) bool { return n.confirmed(r, b.readRound) })
		if confirmed && n.appliedIndex >= b.index {
			b.done <- nil
		} else {
			waiting = append(waiting, b)
		}
	}
	n.pendingReads = waiting
}

// confirmed reports whether the replica responded to a message of the round or a later
// one. The caller holds mu.
func (n *Node) confirmed(r replica, readRound uint64) bool {
	if r == n.self {
		return true
	}
	p := n.progress[r]
	return p != nil && p.ackedRound >= readRound
}

// failPendingReads fails every pending read. The caller holds mu.
func (n *Node) failPendingReads() {
	err := error(fault.New(fault.NoQuorum, "leadership was lost during the read").WithRan(chicoryv1.Ran_RAN_NOT_RUN))
	if n.failure != nil {
		err = n.failure
	}
	for _, b := range n.pendingReads {
		b.done <- err
	}
	n.pendingReads = nil
}
