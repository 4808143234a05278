package consensus

import (
	"context"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// handleAppend appends entries from the leader. They are synced before they are
// acknowledged. Delayed and duplicate messages have no effect.
func (n *Node) handleAppend(ctx context.Context, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error) {
	if err := checkEntries(req); err != nil {
		return nil, errors.Trace(err)
	}
	if err := n.writeMu.lock(ctx); err != nil {
		return nil, err
	}
	defer n.writeMu.unlock()
	current, err := n.acceptLeader(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !current {
		return n.appendResponse(false, 0), nil
	}
	hint, missing, ok := n.matchLog(req)
	if !ok {
		return n.appendResponse(false, hint), nil
	}
	if err := n.appendMissing(missing); err != nil {
		return nil, errors.Trace(err)
	}
	match := req.GetPreviousIndex() + uint64(len(req.GetEntries()))
	n.updateCommit(min(req.GetCommitIndex(), match))
	return n.appendResponse(true, match), nil
}

// checkEntries rejects a message whose entry indexes are not consecutive.
func checkEntries(req *chicoryv1.AppendRequest) error {
	for i, e := range req.GetEntries() {
		if e.GetIndex() != req.GetPreviousIndex()+1+uint64(i) {
			return fault.New(fault.InvalidArgument, "entry %d is not consecutive", e.GetIndex())
		}
	}
	return nil
}

// leaderMessage is a message that only a leader sends.
type leaderMessage interface {
	GetTerm() uint64
	GetLeader() *chicoryv1.Replica
	GetTo() *chicoryv1.Replica
}

// acceptLeader makes this replica a follower of the message's sender. It returns false
// when the term is stale or the message is for another incarnation: a leader that
// doesn't count this incarnation as a member must not keep it from asking to join. The
// caller holds writeMu.
func (n *Node) acceptLeader(m leaderMessage) (bool, error) {
	if replicaFromProto(m.GetTo()) != n.self {
		return false, nil
	}
	term, leader := m.GetTerm(), replicaFromProto(m.GetLeader())
	n.mu.Lock()
	failure, current := n.failure, term >= n.term
	conflicting := term == n.term && n.role == Leader
	n.mu.Unlock()
	switch {
	case failure != nil:
		return false, failure
	case conflicting:
		return false, fault.New(fault.Internal, "two leaders in term %d", term)
	case !current:
		return false, nil
	}
	if err := n.adoptTerm(term, replica{}); err != nil {
		return false, errors.Trace(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != Follower {
		n.stepDown()
	}
	now := time.Now()
	n.setLeadership(Follower, leader)
	n.leaderContact = now
	n.resetElectionDeadline(now)
	return true, nil
}

// matchLog returns the entries of the message that this log lacks. When the logs differ
// before these entries, it returns false and the last index at which they may match.
func (n *Node) matchLog(req *chicoryv1.AppendRequest) (hint uint64, missing []*chicoryv1.LogEntry, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := req.GetEntries()
	previous, previousTerm := req.GetPreviousIndex(), req.GetPreviousTerm()
	if previous < n.log.baseIndex {
		// Entries up to baseIndex are committed, so both logs have the same ones.
		covered := min(n.log.baseIndex-previous, uint64(len(entries)))
		entries = entries[covered:]
	} else if term, found := n.log.term(previous); !found || term != previousTerm {
		return n.conflictHint(previous), nil, false
	}
	for len(entries) > 0 {
		term, found := n.log.term(entries[0].GetIndex())
		if !found || term != entries[0].GetTerm() {
			break
		}
		entries = entries[1:]
	}
	return 0, entries, true
}

// conflictHint returns the last index at which the logs may match. It skips the whole
// term of a conflicting entry, but no committed entry. The caller holds mu.
func (n *Node) conflictHint(previous uint64) uint64 {
	if previous > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	differing, _ := n.log.term(previous)
	for previous > n.commitIndex {
		if term, ok := n.log.term(previous); !ok || term != differing {
			break
		}
		previous--
	}
	return previous
}

// appendMissing makes missing entries durable and replaces conflicting ones. The caller
// holds writeMu.
func (n *Node) appendMissing(entries []*chicoryv1.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	n.mu.Lock()
	commitIndex := n.commitIndex
	n.mu.Unlock()
	if first := entries[0].GetIndex(); first <= commitIndex {
		err := fault.New(fault.Internal, "entry %d from the leader conflicts with a committed entry", first)
		n.fail(err)
		return err
	}
	if err := n.persist(nil, entries); err != nil {
		return errors.Trace(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.appendEntries(entries)
	n.syncedIndex = n.log.lastIndex()
	return nil
}

// updateCommit raises the commit index to an index that is durable on this replica.
func (n *Node) updateCommit(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if index > n.commitIndex {
		n.commitIndex = index
		n.applyWake.notify()
	}
}

func (n *Node) appendResponse(accepted bool, match uint64) *chicoryv1.AppendResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &chicoryv1.AppendResponse{
		From:       n.self.toProto(),
		Term:       n.term,
		Accepted:   accepted,
		MatchIndex: match,
	}
}
