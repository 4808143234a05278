package consensus

import (
	"context"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// handleAppend takes entries from the leader. They are synced before they are
// confirmed. Messages that come late or twice change nothing.
func (n *Node) handleAppend(ctx context.Context, req *chicoryv1.AppendRequest) (*chicoryv1.AppendResponse, error) {
	if err := checkEntries(req); err != nil {
		return nil, errors.Trace(err)
	}
	if err := n.io.lock(ctx); err != nil {
		return nil, err
	}
	defer n.io.unlock()
	current, err := n.hear(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !current {
		return n.appendResponse(false, 0), nil
	}
	hint, missing, ok := n.compare(req)
	if !ok {
		return n.appendResponse(false, hint), nil
	}
	if err := n.store(missing); err != nil {
		return nil, errors.Trace(err)
	}
	match := req.GetPreviousIndex() + uint64(len(req.GetEntries()))
	n.learnCommit(min(req.GetCommitIndex(), match))
	return n.appendResponse(true, match), nil
}

// checkEntries refuses a message whose entries don't follow each other.
func checkEntries(req *chicoryv1.AppendRequest) error {
	for i, e := range req.GetEntries() {
		if e.GetIndex() != req.GetPreviousIndex()+1+uint64(i) {
			return fault.New(fault.InvalidArgument, "entry %d is out of order", e.GetIndex())
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

// hear follows the leader that sent a message. It returns false when the term
// is over or the message is for another incarnation: a leader that doesn't count
// this one must not keep it from asking to join. io is held.
func (n *Node) hear(m leaderMessage) (bool, error) {
	if replicaOf(m.GetTo()) != n.self {
		return false, nil
	}
	term, leader := m.GetTerm(), replicaOf(m.GetLeader())
	n.mu.Lock()
	failed, current := n.failed, term >= n.term
	contradicts := term == n.term && n.role == Leader
	n.mu.Unlock()
	switch {
	case failed != nil:
		return false, failed
	case contradicts:
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

// compare finds the entries of the message that are missing here. It returns
// false, and the last index that may agree, when the logs differ before them.
func (n *Node) compare(req *chicoryv1.AppendRequest) (hint uint64, missing []*chicoryv1.LogEntry, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := req.GetEntries()
	previous, previousTerm := req.GetPreviousIndex(), req.GetPreviousTerm()
	if previous < n.log.base {
		// Up to base everything is committed, so both logs have the same.
		covered := min(n.log.base-previous, uint64(len(entries)))
		entries = entries[covered:]
	} else if term, found := n.log.term(previous); !found || term != previousTerm {
		return n.agreementHint(previous), nil, false
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

// agreementHint skips the whole term of an entry that differs. mu is held.
func (n *Node) agreementHint(previous uint64) uint64 {
	if previous > n.log.last() {
		return n.log.last()
	}
	differing, _ := n.log.term(previous)
	for previous > n.commit {
		if term, ok := n.log.term(previous); !ok || term != differing {
			break
		}
		previous--
	}
	return previous
}

// store makes missing entries durable, in place of those that differ. io is held.
func (n *Node) store(entries []*chicoryv1.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	n.mu.Lock()
	commit := n.commit
	n.mu.Unlock()
	if first := entries[0].GetIndex(); first <= commit {
		err := fault.New(fault.Internal, "the leader's entry %d differs from the committed one", first)
		n.fail(err)
		return err
	}
	if err := n.persist(nil, entries); err != nil {
		return errors.Trace(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.put(entries)
	n.synced = n.log.last()
	return nil
}

// learnCommit moves the commit index up to an index that is durable here.
func (n *Node) learnCommit(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if index > n.commit {
		n.commit = index
		n.applyWake.set()
	}
}

func (n *Node) appendResponse(accepted bool, match uint64) *chicoryv1.AppendResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &chicoryv1.AppendResponse{
		From:       n.self.message(),
		Term:       n.term,
		Accepted:   accepted,
		MatchIndex: match,
	}
}
