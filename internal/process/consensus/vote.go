package consensus

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// handleVote answers a candidate. A vote is durable before it is given.
func (n *Node) handleVote(ctx context.Context, req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	if req.GetAdvance() {
		n.mu.Lock()
		defer n.mu.Unlock()
		granted := req.GetTerm() > n.term && !n.hasLeader() && n.upToDate(req)
		return n.voteResponse(granted), n.failed
	}
	if err := n.io.lock(ctx); err != nil {
		return nil, err
	}
	defer n.io.unlock()
	return n.decideVote(req)
}

// decideVote runs with io held.
func (n *Node) decideVote(req *chicoryv1.VoteRequest) (*chicoryv1.VoteResponse, error) {
	candidate := replicaOf(req.GetCandidate())
	n.mu.Lock()
	failed := n.failed
	ignore := req.GetTerm() < n.term || n.hasLeader()
	free := req.GetTerm() > n.term || n.vote == replica{} || n.vote == candidate
	granted := !ignore && free && n.upToDate(req)
	n.mu.Unlock()
	if failed != nil {
		return nil, failed
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
	return n.voteResponse(granted), n.failed
}

// hasLeader reports whether a leader was heard so recently that no other may be
// elected. mu is held.
func (n *Node) hasLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != replica{} && time.Since(n.leaderContact) < n.options.ElectionTimeout
}

// upToDate reports whether the candidate's log holds all that this one may have
// helped to commit. mu is held.
func (n *Node) upToDate(req *chicoryv1.VoteRequest) bool {
	if req.GetLastTerm() != n.log.lastTerm() {
		return req.GetLastTerm() > n.log.lastTerm()
	}
	return req.GetLastIndex() >= n.log.last()
}

func (n *Node) voteResponse(granted bool) *chicoryv1.VoteResponse {
	return &chicoryv1.VoteResponse{From: n.self.message(), Term: n.term, Granted: granted}
}

// voteRequest is what the campaign asks every voter. mu is held.
func (n *Node) voteRequest(c *campaign) *chicoryv1.VoteRequest {
	return &chicoryv1.VoteRequest{
		Term:      c.term,
		Candidate: n.self.message(),
		LastIndex: n.log.last(),
		LastTerm:  n.log.lastTerm(),
		Advance:   c.advance,
	}
}

// handleVoteAnswer counts one answer.
func (n *Node) handleVoteAnswer(c *campaign, resp *chicoryv1.VoteResponse) {
	n.mu.Lock()
	higher := resp.GetTerm() > n.term
	if resp.GetGranted() && n.campaign == c {
		c.granted[replicaOf(resp.GetFrom())] = true
	}
	n.mu.Unlock()
	if higher && !resp.GetGranted() {
		n.observeTerm(resp.GetTerm())
		return
	}
	n.countVotes(c)
}
