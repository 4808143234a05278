package consensus

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// handleVote responds to a candidate. A vote is durable before it is granted; a pre-vote
// changes no state.
func (n *Node) handleVote(ctx context.Context, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	if req.GetAdvance() {
		n.mu.Lock()
		defer n.mu.Unlock()
		granted := req.GetTerm() > n.term && !n.hasActiveLeader() && n.upToDate(req)
		return n.voteResponse(granted), n.failure
	}
	if err := n.writeMu.lock(ctx); err != nil {
		return nil, err
	}
	defer n.writeMu.unlock()
	return n.decideVote(req)
}

// decideVote handles a request for a vote in an election. The caller holds writeMu.
func (n *Node) decideVote(req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	candidate := replicaFromProto(req.GetCandidate())
	n.mu.Lock()
	failure := n.failure
	ignore := req.GetTerm() < n.term || n.hasActiveLeader()
	canVote := req.GetTerm() > n.term || n.vote == replica{} || n.vote == candidate
	granted := !ignore && canVote && n.upToDate(req)
	n.mu.Unlock()
	if failure != nil {
		return nil, failure
	}
	vote := replica{}
	if granted {
		vote = candidate
	}
	if !ignore {
		if err := n.adoptTerm(req.GetTerm(), vote); err != nil {
			return nil, err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if granted {
		n.resetElectionDeadline(time.Now())
	}
	return n.voteResponse(granted), n.failure
}

// hasActiveLeader reports whether this replica leads or has heard from a leader within
// the election timeout, in which case it grants no vote. The caller holds mu.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != replica{} && time.Since(n.leaderContact) < n.options.ElectionTimeout
}

// upToDate reports whether the candidate's log is at least as up to date as this one,
// and so has every entry that this replica may have helped to commit. The caller holds
// mu.
func (n *Node) upToDate(req *chicoryv1.VoteRequest) bool {
	if req.GetLastTerm() != n.log.lastTerm() {
		return req.GetLastTerm() > n.log.lastTerm()
	}
	return req.GetLastIndex() >= n.log.lastIndex()
}

func (n *Node) voteResponse(granted bool) *chicoryv1.VoteResponse {
	return &chicoryv1.VoteResponse{From: n.self.toProto(), Term: n.term, Granted: granted}
}

// voteRequest returns the campaign's request for a vote. The caller holds mu.
func (n *Node) voteRequest(c *campaign) *chicoryv1.VoteRequest {
	return &chicoryv1.VoteRequest{
		Term:      c.term,
		Candidate: n.self.toProto(),
		LastIndex: n.log.lastIndex(),
		LastTerm:  n.log.lastTerm(),
		Advance:   c.preVote,
	}
}

// handleVoteResponse counts a vote or adopts a higher term.
func (n *Node) handleVoteResponse(c *campaign, resp *chicoryv1.VoteResponse) {
	n.mu.Lock()
	higherTerm := resp.GetTerm() > n.term
	if resp.GetGranted() && n.campaign == c {
		c.granted[replicaFromProto(resp.GetFrom())] = true
	}
	n.mu.Unlock()
	if higherTerm && !resp.GetGranted() {
		n.observeTerm(resp.GetTerm())
		return
	}
	n.countVotes(c)
}
