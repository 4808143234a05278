package call

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

// proposalFault is how the commit of a proposal fails, if at all.
type proposalFault int

const (
	proposalCommitted proposalFault = iota
	// proposalLost: the proposal never reaches the log.
	proposalLost
	// proposalResponseLost: the proposal is committed, but the response is lost.
	proposalResponseLost
	// proposalCommittedLate: the proposal is committed after the router's request has
	// timed out.
	proposalCommittedLate
	// proposalNotLeader: the proposal is rejected, as after a leader change.
	proposalNotLeader
	numProposalFaults
)

const (
	commitLatency   = time.Millisecond
	lateCommitDelay = 250 * time.Millisecond
)

// replicatedLedger simulates a replicated ledger whose leader can lose proposals and
// responses.
type replicatedLedger struct {
	mu             sync.Mutex // guards the fields below
	state          *ledger.Ledger
	proposalFaults []proposalFault // applied to the next proposals in order
	clockOffset    time.Duration
}

func newReplicatedLedger() *replicatedLedger {
	return &replicatedLedger{state: ledger.New(ledger.DefaultSettings())}
}

// now returns the time of the leader's clock. The caller must hold mu.
func (l *replicatedLedger) now() time.Time { return time.Now().Add(l.clockOffset) }

// apply runs f on the state, as the application of one log entry.
func (l *replicatedLedger) apply(f func(state *ledger.Ledger, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state, l.now())
}

// restore replaces the state with its own snapshot, as after a restart.
func (l *replicatedLedger) restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	claims, floor := l.state.Export()
	l.state = ledger.New(ledger.DefaultSettings())
	return l.state.Restore(claims, floor)
}

func (l *replicatedLedger) addProposalFaults(f ...proposalFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposalFaults = append(l.proposalFaults, f...)
}

func (l *replicatedLedger) nextProposalFault() proposalFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.proposalFaults) == 0 {
		return proposalCommitted
	}
	f := l.proposalFaults[0]
	l.proposalFaults = l.proposalFaults[1:]
	return f
}

// propose commits apply, or fails as the next queued proposal fault says.
func (l *replicatedLedger) propose(ctx context.Context, apply func(*ledger.Ledger, time.Time)) error {
	time.Sleep(commitLatency)
	switch l.nextProposalFault() {
	case proposalLost:
		return fault.New(fault.NoQuorum, "proposal lost")
	case proposalResponseLost:
		l.apply(apply)
		<-ctx.Done()
		return ctx.Err()
	case proposalCommittedLate:
		time.AfterFunc(lateCommitDelay, func() { l.apply(apply) })
		<-ctx.Done()
		return ctx.Err()
	case proposalNotLeader:
		return fault.New(fault.NotLeader, "leader changed")
	default:
		l.apply(apply)
		time.Sleep(commitLatency)
		return nil
	}
}

// fakeLeaderClient is a router's connection to the leader.
type fakeLeaderClient struct {
	ledger *replicatedLedger

	mu          sync.Mutex // guards partitioned
	partitioned bool
}

func (l *fakeLeaderClient) setPartitioned(broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = broken
}

func (l *fakeLeaderClient) isPartitioned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned
}

// send sends a proposal to the leader. A partition loses proposals and responses.
func (l *fakeLeaderClient) send(ctx context.Context, apply func(*ledger.Ledger, time.Time)) error {
	if l.isPartitioned() {
		<-ctx.Done()
		return ctx.Err()
	}
	err := l.ledger.propose(ctx, apply)
	if l.isPartitioned() {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (l *fakeLeaderClient) Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error) {
	results := make([]*chicoryv1.ClaimResult, len(req.GetClaims()))
	err := l.send(ctx, func(state *ledger.Ledger, now time.Time) {
		for i, c := range req.GetClaims() {
			results[i] = state.Claim(c, now)
		}
	})
	if err != nil {
		return nil, err
	}
	return &chicoryv1.ClaimResponse{Results: results}, nil
}

func (l *fakeLeaderClient) Close(ctx context.Context, req *chicoryv1.CloseRequest) (*chicoryv1.CloseResponse, error) {
	states := make([]chicoryv1.ClaimState, len(req.GetClaims()))
	err := l.send(ctx, func(state *ledger.Ledger, now time.Time) {
		for i, c := range req.GetClaims() {
			states[i] = state.Close(c, now)
		}
	})
	if err != nil {
		return nil, err
	}
	return &chicoryv1.CloseResponse{States: states}, nil
}
