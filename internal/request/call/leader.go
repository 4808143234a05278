package call

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// ControlLeader sends batches to the leader of the control state. It finds the
// leader by itself. An error of the kind NotLeader says that nothing was
// committed; after any other error the batch may have been committed.
type ControlLeader interface {
	Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error)
	Close(ctx context.Context, req *chicoryv1.CloseRequest) (*chicoryv1.CloseResponse, error)
}

// BatchSettings bound the batches of a ledger client. Zero values get the defaults.
type BatchSettings struct {
	// MaxBatch is the number of claims in a batch.
	MaxBatch int
	// MaxBatchBytes is the size of the answers in a batch beyond which it is closed.
	MaxBatchBytes int
	// InFlight is the number of batches of a kind that wait for the leader at once.
	InFlight int
	// BatchTimeout bounds one request to the leader.
	BatchTimeout time.Duration
}

// Defaults of BatchSettings.
const (
	defaultMaxBatch      = 256
	defaultMaxBatchBytes = 1 << 20
	defaultInFlight      = 4
	defaultBatchTimeout  = time.Second
)

func (s BatchSettings) withDefaults() BatchSettings {
	if s.MaxBatch == 0 {
		s.MaxBatch = defaultMaxBatch
	}
	if s.MaxBatchBytes == 0 {
		s.MaxBatchBytes = defaultMaxBatchBytes
	}
	if s.InFlight == 0 {
		s.InFlight = defaultInFlight
	}
	if s.BatchTimeout == 0 {
		s.BatchTimeout = defaultBatchTimeout
	}
	return s
}

// LedgerClient is a Ledger that batches claims and outcomes to the leader. A batch
// without an answer is sent again: the nonce of a claim makes that harmless.
type LedgerClient struct {
	claims *batcher[*chicoryv1.ClaimResult]
	closes *batcher[chicoryv1.ClaimState]
}

// NewLedgerClient starts a client; Stop ends it.
func NewLedgerClient(leader ControlLeader, s BatchSettings) *LedgerClient {
	s = s.withDefaults()
	return &LedgerClient{
		claims: newBatcher(s, func(ctx context.Context, claims []*chicoryv1.Claim) ([]*chicoryv1.ClaimResult, error) {
			resp, err := leader.Claim(ctx, &chicoryv1.ClaimRequest{Claims: claims})
			return resp.GetResults(), err
		}),
		closes: newBatcher(s, func(ctx context.Context, claims []*chicoryv1.Claim) ([]chicoryv1.ClaimState, error) {
			resp, err := leader.Close(ctx, &chicoryv1.CloseRequest{Claims: claims})
			return resp.GetStates(), err
		}),
	}
}

// Claim implements Ledger. It tries until the leader answers or ctx ends, which
// gives the kind LedgerUnavailable.
func (l *LedgerClient) Claim(ctx context.Context, c *chicoryv1.Claim) (*chicoryv1.ClaimResult, error) {
	return l.claims.do(ctx, c)
}

// Close implements Ledger, as Claim does.
func (l *LedgerClient) Close(ctx context.Context, c *chicoryv1.Claim) (chicoryv1.ClaimState, error) {
	return l.closes.do(ctx, c)
}

// Stop ends the client's tasks and waits for them. Requests that are waiting fail.
func (l *LedgerClient) Stop() {
	l.claims.stop()
	l.closes.stop()
}
