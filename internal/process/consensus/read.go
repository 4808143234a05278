package consensus

import (
	"context"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// barrier is a read that waits until the leader is confirmed and the state
// machine has caught up.
type barrier struct {
	round uint64 // heartbeats of this round or a later one confirm it
	index uint64 // to be applied
	done  chan error
}

// ReadBarrier returns when the applied state includes everything that was
// committed before the call. A quorum has then confirmed, after the call began,
// that this replica is the leader. It fails with the kinds NotLeader, NoQuorum
// and StorageFailed; the read can be tried again, here or elsewhere.
func (n *Node) ReadBarrier(ctx context.Context) error {
	b, err := n.beginBarrier()
	if err != nil {
		return err
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "the leader was not confirmed in time: %v", ctx.Err())
	}
}

func (n *Node) beginBarrier() (*barrier, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return nil, n.failed
	}
	if n.role != Leader {
		return nil, n.errNotLeader()
	}
	n.round++
	b := &barrier{
		round: n.round,
		// Before an entry of this term is committed, the leader doesn't know
		// all that is committed.
		index: max(n.commit, n.termStart),
		done:  make(chan error, 1),
	}
	n.barriers = append(n.barriers, b)
	n.wakePeers()
	n.releaseBarriers()
	return b, nil
}

// releaseBarriers answers the reads that may go on. mu is held.
func (n *Node) releaseBarriers() {
	members, _ := n.log.current()
	var kept []*barrier
	for _, b := range n.barriers {
		confirmed := members.quorum(func(r replica) bool { return n.confirmed(r, b.round) })
		if confirmed && n.applied >= b.index {
			b.done <- nil
		} else {
			kept = append(kept, b)
		}
	}
	n.barriers = kept
}

// confirmed reports whether the replica answered a message of the round.
func (n *Node) confirmed(r replica, round uint64) bool {
	if r == n.self {
		return true
	}
	p := n.progress[r]
	return p != nil && p.round >= round
}

// dropBarriers answers every waiting read with an error. mu is held.
func (n *Node) dropBarriers() {
	err := error(fault.New(fault.NoQuorum, "leadership was lost during the read").WithRan(chicoryv1.Ran_RAN_NOT_RUN))
	if n.failed != nil {
		err = n.failed
	}
	for _, b := range n.barriers {
		b.done <- err
	}
	n.barriers = nil
}
