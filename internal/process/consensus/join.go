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

// Limits on the silence of a replica, in election timeouts.
const (
	staleLearnerPeriods = 10 // silence after which a learner is removed while a voter with its ID responds
	rejoinPeriods       = 4  // silence of the leader after which a configured member asks to rejoin
	// removalPeriods is the silence after which a member is removed when members come
	// from the log and not from the settings. It rejoins if it returns.
	removalPeriods = 20
)

// runJoiner keeps asking the other members to add this replica while it is not a
// member or hears from no leader: it may have been removed without having received
// that change.
func (n *Node) runJoiner() {
	for {
		if !n.isActiveMember() {
			n.join()
		}
		if !pause.For(n.ctx, n.options.ElectionTimeout/2) {
			return
		}
	}
}

// isActiveMember reports whether this replica is a member and leads or has recently
// heard from a leader.
func (n *Node) isActiveMember() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	members, _ := n.log.latestMembership()
	_, ok := members.find(n.self)
	silenceLimit := rejoinPeriods * n.options.ElectionTimeout
	if n.options.discoversMembers() {
		// A member that was removed while it was unreachable rejoins at once.
		silenceLimit = n.options.ElectionTimeout
	}
	hasLeader := n.role == Leader || time.Since(n.leaderContact) < silenceLimit
	return ok && hasLeader
}

// join sends a join request to every peer. A leader among them adds this replica as a
// learner. If all initial members are empty, as this replica is, the one with the
// lowest ID bootstraps the cluster with the incarnations that responded.
func (n *Node) join() {
	members, ok := n.initialMembers(n.queryPeers())
	if !ok || !n.isEmpty() {
		return
	}
	slices.SortFunc(members, func(a, b replica) int { return strings.Compare(a.id, b.id) })
	if members[0] == n.self {
		n.bootstrap(members)
	}
}

// queryPeers sends a join request to every peer and returns the responses by peer ID.
func (n *Node) queryPeers() map[string]*chicoryv1.JoinResponse {
	ctx, cancel := context.WithTimeout(n.ctx, n.options.ElectionTimeout)
	defer cancel()
	var mu sync.Mutex // guards responses
	responses := map[string]*chicoryv1.JoinResponse{}
	var calls sync.WaitGroup
	for _, p := range n.peerSenders() {
		calls.Go(func() {
			req := &chicoryv1.JoinRequest{From: n.self.toProto()}
			resp, err := n.options.Transport.Join(ctx, p.member, req)
			if err != nil {
				return // the next join retries
			}
			n.addReportedPeers(resp)
			mu.Lock()
			defer mu.Unlock()
			responses[p.member.ID] = resp
		})
	}
	calls.Wait()
	return responses
}

// addReportedPeers adds the members that a peer reports to the peers of this replica,
// so that a replica that knows only the seeds reaches the leader.
func (n *Node) addReportedPeers(resp *chicoryv1.JoinResponse) {
	if !n.options.discoversMembers() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range resp.GetMembers() {
		if isPeerAddress(id) {
			n.ensurePeerSender(Member{ID: id, Address: id})
		}
	}
}

// initialMembers returns the replicas that bootstrap the cluster: all members in the
// settings or all seeds. It returns false unless this replica is one of them and all
// others have responded and are empty.
func (n *Node) initialMembers(responses map[string]*chicoryv1.JoinResponse) ([]replica, bool) {
	ids := n.initialMemberIDs()
	if !slices.Contains(ids, n.options.ID) {
		return nil, false
	}
	members := []replica{n.self}
	for _, id := range ids {
		if id == n.options.ID {
			continue
		}
		resp := responses[id]
		if resp == nil || !resp.GetEmpty() {
			return nil, false
		}
		members = append(members, replicaFromProto(resp.GetFrom()))
	}
	return members, true
}

// initialMemberIDs returns the IDs of the replicas that bootstrap the cluster. There are
// none when this replica finds members through seeds and may not bootstrap.
func (n *Node) initialMemberIDs() []string {
	if n.options.discoversMembers() {
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

// emptyLocked reports whether the replica has no log entry and has never taken part in
// an election. The caller holds mu.
func (n *Node) emptyLocked() bool {
	return n.log.lastIndex() == 0 && n.term == 0
}

// bootstrap writes the first log entry, which holds the initial membership, and
// campaigns at once. A replica that loses its disk before any other replica has the
// entry may bootstrap again, since nothing can have been committed without another
// member's log.
func (n *Node) bootstrap(initial []replica) {
	if n.writeMu.lock(n.ctx) != nil {
		return
	}
	defer n.writeMu.unlock()
	if !n.isEmpty() {
		return
	}
	var members membership
	for _, r := range initial {
		members = append(members, member{replica: r, voter: true})
	}
	const firstTerm = 1
	entry := &chicoryv1.LogEntry{Index: 1, Term: firstTerm, Membership: members.toProto()}
	if n.persist(n.newReplicaState(firstTerm, replica{}), []*chicoryv1.LogEntry{entry}) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.term = firstTerm
	n.log.appendEntries([]*chicoryv1.LogEntry{entry})
	n.syncedIndex = 1
	n.electionDeadline = time.Time{}
	n.logger.Info(logging.MemberChanged, logging.Fields{"founders": len(initial)})
}

// handleJoin reports whether this replica is empty and which members it knows. A leader
// records an unknown incarnation, to add it as a learner.
func (n *Node) handleJoin(_ context.Context, req *chicoryv1.JoinRequest) (*chicoryv1.JoinResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failure != nil {
		return nil, n.failure
	}
	from := replicaFromProto(req.GetFrom())
	members, _ := n.log.latestMembership()
	if _, known := members.find(from); n.role == Leader && !known && n.mayJoin(from.id) {
		n.joinRequests[from.id] = from
	}
	return &chicoryv1.JoinResponse{
		From:    n.self.toProto(),
		Empty:   n.emptyLocked(),
		Members: n.memberIDs(),
	}, nil
}

// memberIDs returns the IDs of the leader and of the members in the log, the leader's
// first. The caller holds mu.
func (n *Node) memberIDs() []string {
	var ids []string
	if n.leader.id != "" {
		ids = append(ids, n.leader.id)
	}
	members, _ := n.log.latestMembership()
	for _, m := range members {
		if !slices.Contains(ids, m.replica.id) {
			ids = append(ids, m.replica.id)
		}
	}
	return ids
}

// isMember reports whether the membership in the log has the ID. The caller holds mu.
func (n *Node) isMember(id string) bool {
	members, _ := n.log.latestMembership()
	_, ok := members.newestOf(id)
	return ok
}

// mayJoin reports whether a replica with the ID may join the cluster.
func (n *Node) mayJoin(id string) bool {
	if n.options.discoversMembers() {
		return isPeerAddress(id)
	}
	return slices.ContainsFunc(n.options.Members, func(m Member) bool { return m.ID == id })
}

// maintainMembership proposes the next membership change. There is one change at a
// time, of at most one voter, so that the quorums before and after it always share a
// voter. A learner that has caught up becomes a voter alongside its previous
// incarnation, which counts as a voter that never responds until it is removed. This
// replica is the leader; the caller holds mu.
func (n *Node) maintainMembership(now time.Time) {
	members, index := n.log.latestMembership()
	if index > n.commitIndex || n.termStartIndex > n.commitIndex || n.membershipChangeQueued() {
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
	if r, ok := n.staleLearner(members, now); ok {
		n.proposeMembership(members.without(r), "removed", r)
		return
	}
	if r, ok := n.silentMember(members, now); ok {
		n.proposeMembership(members.without(r), "removed", r)
		return
	}
	for _, r := range n.joinRequests {
		if _, known := members.find(r); !known {
			n.proposeMembership(members.withLearner(r), "learner", r)
			return
		}
	}
	clear(n.joinRequests)
}

func (n *Node) membershipChangeQueued() bool {
	return slices.ContainsFunc(n.proposalQueue, func(p *proposal) bool { return p.entry.GetMembership() != nil })
}

// caughtUp reports whether a learner has synced all committed entries and is
// responsive.
func (n *Node) caughtUp(r replica, now time.Time) bool {
	return n.isResponsive(r, now) && n.progress[r].matchIndex >= n.commitIndex
}

// isResponsive reports whether the replica has responded within the election timeout.
func (n *Node) isResponsive(r replica, now time.Time) bool {
	p := n.progress[r]
	return p != nil && now.Sub(p.lastContact) < n.options.ElectionTimeout
}

// staleLearner returns a learner that has long been silent while a voter with its ID
// is responsive, as when a replaced disk is put back.
func (n *Node) staleLearner(members membership, now time.Time) (replica, bool) {
	for _, learner := range members {
		if learner.voter || now.Sub(n.progressOf(learner.replica, now).lastContact) < staleLearnerPeriods*n.options.ElectionTimeout {
			continue
		}
		for _, m := range members {
			if m.voter && m.replica.id == learner.replica.id && n.isResponsive(m.replica, now) {
				return learner.replica, true
			}
		}
	}
	return replica{}, false
}

// silentMember returns a member that has long been silent. It applies only when the
// members come from the log and not from the settings: nothing else would ever remove
// such a member, and each one that stays reduces the number of failures that the others
// tolerate. A voter is removed only if the remaining voters tolerate the loss of one
// more.
func (n *Node) silentMember(members membership, now time.Time) (replica, bool) {
	if !n.options.discoversMembers() {
		return replica{}, false
	}
	for _, m := range members {
		silence := now.Sub(n.progressOf(m.replica, now).lastContact)
		if m.replica == n.self || silence < removalPeriods*n.options.ElectionTimeout {
			continue
		}
		if !m.voter || n.toleratesLoss(members.without(m.replica), now) {
			return m.replica, true
		}
	}
	return replica{}, false
}

// toleratesLoss reports whether the responsive voters are more than a quorum.
func (n *Node) toleratesLoss(members membership, now time.Time) bool {
	voters, answering := 0, 0
	for _, m := range members {
		if !m.voter {
			continue
		}
		voters++
		if m.replica == n.self || n.isResponsive(m.replica, now) {
			answering++
		}
	}
	return answering > voters/2+1
}

// proposeMembership queues an entry with the new membership. change and r describe the
// change in the log line. The caller holds mu.
func (n *Node) proposeMembership(m membership, change string, r replica) {
	n.proposalQueue = append(n.proposalQueue, &proposal{entry: &chicoryv1.LogEntry{Membership: m.toProto()}})
	n.writeWake.notify()
	n.logger.Info(logging.MemberChanged, logging.Fields{
		"member":      r.id,
		"incarnation": r.incarnation,
		"change":      change,
	})
}
