package consensus

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Role is the current role of a replica.
type Role string

// Values of Role.
const (
	Leader    Role = "leader"
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Learner   Role = "learner"
)

// MemberStatus describes one member according to this replica's log.
type MemberStatus struct {
	ID          string
	Incarnation string
	Voter       bool
}

// Status is the state of a replica and its view of the cluster.
type Status struct {
	ID           string
	Incarnation  string
	Role         Role
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// LeaderID is empty when no leader is known.
	LeaderID string
	Members  []MemberStatus
	// Err is the error that made the replica stop taking part, or nil.
	Err error
}

// Status returns the current status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	members, _ := n.log.latestMembership()
	s := Status{
		ID:           n.self.id,
		Incarnation:  n.self.incarnation,
		Role:         n.role,
		Term:         n.term,
		CommitIndex:  n.commitIndex,
		AppliedIndex: n.appliedIndex,
		LeaderID:     n.leader.id,
		Err:          n.failure,
	}
	for _, m := range members {
		s.Members = append(s.Members, MemberStatus{
			ID:          m.replica.id,
			Incarnation: m.replica.incarnation,
			Voter:       m.voter,
		})
	}
	if n.role == Follower && !members.isVoter(n.self) {
		s.Role = Learner
	}
	return s
}

// Leader returns the leader that this replica knows and its address. It may be out of
// date.
func (n *Node) Leader() (Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.options.discoversMembers() {
		return Member{ID: n.leader.id, Address: n.leader.id}, n.leader.id != ""
	}
	for _, m := range n.options.Members {
		if m.ID == n.leader.id {
			return m, true
		}
	}
	return Member{}, false
}

// LeadershipChanged returns a channel that is closed at the next change of the role or
// the known leader. A new leader may not have applied all committed entries yet;
// ReadBarrier waits for that.
func (n *Node) LeadershipChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadershipChanged
}

// setLeadership sets the role and the leader and notifies waiters of a change. The
// caller holds mu.
func (n *Node) setLeadership(role Role, leader replica) {
	if n.role == role && n.leader == leader {
		return
	}
	if n.leader != leader {
		n.logger.Info(logging.LeaderChanged, logging.Fields{"leader": leader.id, "term": n.term})
	}
	n.role = role
	n.leader = leader
	close(n.leadershipChanged)
	n.leadershipChanged = make(chan struct{})
}

// resetElectionDeadline randomizes the time at which this replica campaigns unless it
// hears from a leader. A replica that has heard from none since its start uses a shorter
// timeout, so that a cluster whose replicas all restart elects a leader sooner. The
// pre-vote keeps this from disrupting a leader that the others hear from. The caller
// holds mu.
func (n *Node) resetElectionDeadline(now time.Time) {
	timeout := n.options.ElectionTimeout
	if n.leaderContact.IsZero() && n.role != Leader {
		timeout /= firstElectionDivisor
	}
	jitter := n.random.Int64N(int64(timeout))
	n.electionDeadline = now.Add(timeout + time.Duration(jitter))
}

// firstElectionDivisor divides the election timeout until the replica has heard from a
// leader. A fifth still allows several round trips within a region.
const firstElectionDivisor = 5

func (n *Node) errNotLeader() error {
	if n.leader.id == "" {
		return fault.New(fault.NotLeader, "%s is not the leader; no leader is known", n.self.id)
	}
	return fault.New(fault.NotLeader, "%s is not the leader; the leader is %s", n.self.id, n.leader.id)
}

func errNoQuorum() error {
	return fault.New(fault.NoQuorum, "leadership was lost before the command was known to be committed")
}

func errStopped() error {
	return fault.New(fault.NotLeader, "this control VM is stopping")
}
