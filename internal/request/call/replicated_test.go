package call

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

// fate is what becomes of a proposal.
type fate int

const (
	committed fate = iota
	// lostProposal: it never reaches the log.
	lostProposal
	// lostAnswer: it is committed, but the answer is lost.
	lostAnswer
	// lateCommit: it is committed after its router gave up waiting for the answer.
	lateCommit
	// notLeader: it is refused, as after a leader change.
	notLeader
	fates
)

const (
	commitTime     = time.Millisecond
	lateCommitTime = 250 * time.Millisecond
)

// replicatedLedger is the ledger's state with a leader that may lose proposals
// and answers.
type replicatedLedger struct {
	mu    sync.Mutex // guards the fields below
	state *ledger.Ledger
	fates []fate // of the next proposals
	step  time.Duration
}

func newReplicatedLedger() *replicatedLedger {
	return &replicatedLedger{state: ledger.New(ledger.DefaultSettings())}
}

// now is the clock of the leader. The caller holds mu.
func (l *replicatedLedger) now() time.Time { return time.Now().Add(l.step) }

// apply runs f on the state as one log entry.
func (l *replicatedLedger) apply(f func(state *ledger.Ledger, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state, l.now())
}

// restore replaces the state by its snapshot, as a restart does.
func (l *replicatedLedger) restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	claims, floor := l.state.Export()
	l.state = ledger.New(ledger.DefaultSettings())
	return l.state.Restore(claims, floor)
}

func (l *replicatedLedger) addFates(f ...fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fates = append(l.fates, f...)
}

func (l *replicatedLedger) nextFate() fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.fates) == 0 {
		return committed
	}
	f := l.fates[0]
	l.fates = l.fates[1:]
	return f
}

// propose commits apply as the next fate says.
func (l *replicatedLedger) propose(ctx context.Context, apply func(*ledger.Ledger, time.Time)) error {
	time.Sleep(commitTime)
	switch l.nextFate() {
	case lostProposal:
		return fault.New(fault.NoQuorum, "proposal lost")
	case lostAnswer:
		l.apply(apply)
		<-ctx.Done()
		return ctx.Err()
	case lateCommit:
		time.AfterFunc(lateCommitTime, func() { l.apply(apply) })
		<-ctx.Done()
		return ctx.Err()
	case notLeader:
		return fault.New(fault.NotLeader, "leader changed")
	default:
		l.apply(apply)
		time.Sleep(commitTime)
		return nil
	}
}

// leaderLink is one router's link to the leader.
type leaderLink struct {
	ledger *replicatedLedger

	mu     sync.Mutex // guards broken
	broken bool
}

func (l *leaderLink) cutOff(broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = broken
}

func (l *leaderLink) isBroken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// send proposes over the link. A partition loses proposals and answers.
func (l *leaderLink) send(ctx context.Context, apply func(*ledger.Ledger, time.Time)) error {
	if l.isBroken() {
		<-ctx.Done()
		return ctx.Err()
	}
	err := l.ledger.propose(ctx, apply)
	if l.isBroken() {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (l *leaderLink) Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error) {
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

func (l *leaderLink) Close(ctx context.Context, req *chicoryv1.CloseRequest) (*chicoryv1.CloseResponse, error) {
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
