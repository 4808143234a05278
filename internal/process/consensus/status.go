package consensus

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Role is the part that a replica plays.
type Role string

// The roles.
const (
	Leader    Role = "leader"
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Learner   Role = "learner"
)

// MemberStatus is one member as this replica's log has it.
type MemberStatus struct {
	ID          string
	Incarnation string
	Voter       bool
}

// Status is what a replica knows of itself and the cluster.
type Status struct {
	ID          string
	Incarnation string
	Role        Role
	Term        uint64
	Commit      uint64
	Applied     uint64
	// LeaderID is empty when no leader is known.
	LeaderID string
	Members  []MemberStatus
	// Failed is the reason why the replica takes no part any more, or nil.
	Failed error
}

// Status returns the state of this moment.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	members, _ := n.log.current()
	s := Status{
		ID:          n.self.id,
		Incarnation: n.self.incarnation,
		Role:        n.role,
		Term:        n.term,
		Commit:      n.commit,
		Applied:     n.applied,
		LeaderID:    n.leader.id,
		Failed:      n.failed,
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

// Leader returns the leader as this replica knows it, with its address from the
// settings. It may have been superseded.
func (n *Node) Leader() (Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.options.findsMembers() {
		return Member{ID: n.leader.id, Address: n.leader.id}, n.leader.id != ""
	}
	for _, m := range n.options.Members {
		if m.ID == n.leader.id {
			return m, true
		}
	}
	return Member{}, false
}

// LeadershipChanged returns a channel that is closed when the role or
// the known leader changes next. A new leader may not have applied all that is
// committed; ReadBarrier waits for that.
func (n *Node) LeadershipChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// setLeadership changes role and leader and tells who waits for it. mu is held.
func (n *Node) setLeadership(role Role, leader replica) {
	if n.role == role && n.leader == leader {
		return
	}
	if n.leader != leader {
		n.logger.Info(logging.LeaderChanged, logging.Fields{"leader": leader.id, "term": n.term})
	}
	n.role = role
	n.leader = leader
	close(n.changed)
	n.changed = make(chan struct{})
}

// resetElectionDeadline draws the time at which this replica campaigns unless it
// hears a leader. A replica that has heard none since its start campaigns sooner: it
// asks in advance, which disturbs no leader that the others hear, and after a
// restart of all of them nobody has to wait for a leader's silence. mu is held.
func (n *Node) resetElectionDeadline(now time.Time) {
	least := n.options.ElectionTimeout
	if n.leaderContact.IsZero() && n.role != Leader {
		least /= firstElectionParts
	}
	spread := n.random.Int64N(int64(least))
	n.electionDeadline = now.Add(least + time.Duration(spread))
}

// firstElectionParts divides the election timeout until a leader was heard: a fifth
// still leaves several round trips within a region.
const firstElectionParts = 5

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
