package consensus

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Multiples of the election timeout.
const (
	strayPeriods = 10 // silence of a learner that has a voter beside it
	lonePeriods  = 4  // silence after which a member asks whether it still is one
	// gonePeriods is the silence after which a member that the log alone names is
	// taken for gone; it joins anew if it comes back.
	gonePeriods = 20
)

// runJoiner asks the other members to be taken in for as long as this replica
// is not a member, or hears no leader: it may have been removed without hearing
// of it.
func (n *Node) runJoiner() {
	for {
		if !n.isServedMember() {
			n.join()
		}
		if !pause.For(n.ctx, n.options.ElectionTimeout/2) {
			return
		}
	}
}

func (n *Node) isServedMember() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	members, _ := n.log.current()
	_, ok := members.find(n.self)
	patience := lonePeriods * n.options.ElectionTimeout
	if n.options.findsMembers() {
		// A member that was taken out while it was silent comes back at once.
		patience = n.options.ElectionTimeout
	}
	served := n.role == Leader || time.Since(n.leaderContact) < patience
	return ok && served
}

// join asks every peer. If all founders are as empty as this replica, the one
// with the lowest ID founds the cluster of the incarnations that answered.
// Otherwise a leader among them takes this replica in as a learner.
func (n *Node) join() {
	founders, ok := n.founders(n.askAll())
	if !ok || !n.isEmpty() {
		return
	}
	slices.SortFunc(founders, func(a, b replica) int { return strings.Compare(a.id, b.id) })
	if founders[0] == n.self {
		n.found(founders)
	}
}

// askAll returns the answers of the peers by their IDs.
func (n *Node) askAll() map[string]*chicoryv1.JoinResponse {
	ctx, cancel := context.WithTimeout(n.ctx, n.options.ElectionTimeout)
	defer cancel()
	var lock sync.Mutex // guards answers
	answers := map[string]*chicoryv1.JoinResponse{}
	var calls sync.WaitGroup
	for _, p := range n.peerTasks() {
		calls.Go(func() {
			req := &chicoryv1.JoinRequest{From: n.self.message()}
			answer, err := n.options.Transport.Join(ctx, p.member, req)
			if err != nil {
				return // asked again at the next round
			}
			n.learnMembers(answer)
			lock.Lock()
			defer lock.Unlock()
			answers[p.member.ID] = answer
		})
	}
	calls.Wait()
	return answers
}

// learnMembers makes members that a peer names peers of this replica as well, so
// that a replica that knows only seeds reaches the leader.
func (n *Node) learnMembers(answer *chicoryv1.JoinResponse) {
	if !n.options.findsMembers() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range answer.GetMembers() {
		if isPeerAddress(id) {
			n.ensurePeer(Member{ID: id, Address: id})
		}
	}
}

// founders returns the replicas that found the cluster: all members of the
// settings, or all seeds, this one among them. Each must have answered and be empty.
func (n *Node) founders(answers map[string]*chicoryv1.JoinResponse) ([]replica, bool) {
	ids := n.founderIDs()
	if !slices.Contains(ids, n.options.ID) {
		return nil, false
	}
	founders := []replica{n.self}
	for _, id := range ids {
		if id == n.options.ID {
			continue
		}
		a := answers[id]
		if a == nil || !a.GetEmpty() {
			return nil, false
		}
		founders = append(founders, replicaOf(a.GetFrom()))
	}
	return founders, true
}

func (n *Node) founderIDs() []string {
	if n.options.findsMembers() {
		if !n.options.MayFound {
			return nil
		}
		return slices.Compact(slices.Sorted(slices.Values(n.options.Seeds)))
	}
	var ids []string
	for _, m := range n.options.Members {
		ids = append(ids, m.ID)
	}
	return ids
}

func (n *Node) isEmpty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.emptyLocked()
}

// emptyLocked reports whether the replica has no entry and never took part in
// an election.
func (n *Node) emptyLocked() bool {
	return n.log.last() == 0 && n.term == 0
}

// found writes the first entry, which names the founders, and campaigns at once.
// A founder that loses its disk before anyone heard of the entry may found anew,
// since nothing can have been committed without another member's log.
func (n *Node) found(founders []replica) {
	if n.io.lock(n.ctx) != nil {
		return
	}
	defer n.io.unlock()
	if !n.isEmpty() {
		return
	}
	var members membership
	for _, r := range founders {
		members = append(members, member{replica: r, voter: true})
	}
	const firstTerm = 1
	entry := &chicoryv1.LogEntry{Index: 1, Term: firstTerm, Membership: members.message()}
	if n.persist(n.stateWith(firstTerm, replica{}), []*chicoryv1.LogEntry{entry}) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.term = firstTerm
	n.log.put([]*chicoryv1.LogEntry{entry})
	n.synced = 1
	n.electionDeadline = time.Time{}
	n.logger.Info(logging.MemberChanged, logging.Fields{"founders": len(founders)})
}

// handleJoin tells what this replica holds. A leader remembers an incarnation
// that it doesn't know, to take it in.
func (n *Node) handleJoin(_ context.Context, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return nil, n.failed
	}
	from := replicaOf(req.GetFrom())
	members, _ := n.log.current()
	if _, known := members.find(from); n.role == Leader && !known && n.isConfigured(from.id) {
		n.joining[from.id] = from
	}
	return &chicoryv1.JoinResponse{
		From:    n.self.message(),
		Empty:   n.emptyLocked(),
		Members: n.memberIDs(),
	}, nil
}

// memberIDs lists the members of the log, the leader first. mu is held.
func (n *Node) memberIDs() []string {
	var ids []string
	if n.leader.id != "" {
		ids = append(ids, n.leader.id)
	}
	members, _ := n.log.current()
	for _, m := range members {
		if !slices.Contains(ids, m.replica.id) {
			ids = append(ids, m.replica.id)
		}
	}
	return ids
}

// isMember reports whether the log has a member of the ID. mu is held.
func (n *Node) isMember(id string) bool {
	members, _ := n.log.current()
	_, ok := members.newestOf(id)
	return ok
}

// isConfigured reports whether a replica of the ID may join.
func (n *Node) isConfigured(id string) bool {
	if n.options.findsMembers() {
		return isPeerAddress(id)
	}
	return slices.ContainsFunc(n.options.Members, func(m Member) bool { return m.ID == id })
}

// maintainMembership proposes the next change of membership, one at a time and
// one voter at a time: the quorums before and after it then always share a
// voter. A learner that has caught up becomes a voter beside its former
// incarnation, which counts as a voter that never answers until it is removed.
// mu is held; this replica is the leader.
func (n *Node) maintainMembership(now time.Time) {
	members, index := n.log.current()
	if index > n.commit || n.termStart > n.commit || n.membershipQueued() {
		return
	}
	if r, ok := members.superseded(); ok {
		n.proposeMembership(members.without(r), "removed", r)
		return
	}
	for _, m := range members {
		if !m.voter && n.caughtUp(m.replica, now) {
			n.proposeMembership(members.withVoter(m.replica), "voter", m.replica)
			return
		}
	}
	if r, ok := n.strayLearner(members, now); ok {
		n.proposeMembership(members.without(r), "removed", r)
		return
	}
	if r, ok := n.goneMember(members, now); ok {
		n.proposeMembership(members.without(r), "removed", r)
		return
	}
	for _, r := range n.joining {
		if _, known := members.find(r); !known {
			n.proposeMembership(members.withLearner(r), "learner", r)
			return
		}
	}
	clear(n.joining)
}

func (n *Node) membershipQueued() bool {
	return slices.ContainsFunc(n.queue, func(p *proposal) bool { return p.entry.GetMembership() != nil })
}

// caughtUp reports whether a learner has synced all that is committed and
// answers now.
func (n *Node) caughtUp(r replica, now time.Time) bool {
	return n.answers(r, now) && n.progress[r].match >= n.commit
}

func (n *Node) answers(r replica, now time.Time) bool {
	p := n.progress[r]
	return p != nil && now.Sub(p.contact) < n.options.ElectionTimeout
}

// strayLearner returns a learner that has long been silent while a voter of its
// ID answers, as when a disk that was replaced is put back.
func (n *Node) strayLearner(members membership, now time.Time) (replica, bool) {
	for _, learner := range members {
		if learner.voter || now.Sub(n.progressOf(learner.replica, now).contact) < strayPeriods*n.options.ElectionTimeout {
			continue
		}
		for _, m := range members {
			if m.voter && m.replica.id == learner.replica.id && n.answers(m.replica, now) {
				return learner.replica, true
			}
		}
	}
	return replica{}, false
}

// goneMember returns a member that has long been silent, where the log alone says
// who the members are: nobody else would ever take it out, and each one that stays
// costs a loss that the others could bear. A voter is taken out only while the
// voters that then remain can bear the loss of one more.
func (n *Node) goneMember(members membership, now time.Time) (replica, bool) {
	if !n.options.findsMembers() {
		return replica{}, false
	}
	for _, m := range members {
		silence := now.Sub(n.progressOf(m.replica, now).contact)
		if m.replica == n.self || silence < gonePeriods*n.options.ElectionTimeout {
			continue
		}
		if !m.voter || n.bearsLoss(members.without(m.replica), now) {
			return m.replica, true
		}
	}
	return replica{}, false
}

// bearsLoss reports whether the voters that answer now are more than a quorum.
func (n *Node) bearsLoss(members membership, now time.Time) bool {
	voters, answering := 0, 0
	for _, m := range members {
		if !m.voter {
			continue
		}
		voters++
		if m.replica == n.self || n.answers(m.replica, now) {
			answering++
		}
	}
	return answering > voters/2+1
}

func (n *Node) proposeMembership(m membership, change string, r replica) {
	n.queue = append(n.queue, &proposal{entry: &chicoryv1.LogEntry{Membership: m.message()}})
	n.writeWake.set()
	n.logger.Info(logging.MemberChanged, logging.Fields{
		"member":      r.id,
		"incarnation": r.incarnation,
		"change":      change,
	})
}
