package call

import (
	"context"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// ControlLeader sends batches of claims to the leader of the control VMs, which it
// locates itself. An error of the kind NotLeader means that nothing was committed.
// After any other error the batch may have been committed.
type ControlLeader interface {
	Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error)
	Close(ctx context.Context, req *chicoryv1.CloseRequest) (*chicoryv1.CloseResponse, error)
}

// BatchSettings holds the limits of the batches of a LedgerClient. Zero values are
// replaced by the defaults.
type BatchSettings struct {
	// MaxBatchClaims is the maximum number of claims in a batch.
	MaxBatchClaims int
	// MaxBatchBytes is the total payload size from which no further claim is added to
	// a batch.
	MaxBatchBytes int
	// MaxBatchesInFlight is the maximum number of concurrent requests to the leader,
	// separately for Claim and Close.
	MaxBatchesInFlight int
	// BatchTimeout is the timeout of one request to the leader.
	BatchTimeout time.Duration
}

// Default values of BatchSettings.
const (
	defaultMaxBatchClaims     = 256
	defaultMaxBatchBytes      = 1 << 20
	defaultMaxBatchesInFlight = 4
	defaultBatchTimeout       = time.Second
)

func (s BatchSettings) withDefaults() BatchSettings {
	if s.MaxBatchClaims == 0 {
		s.MaxBatchClaims = defaultMaxBatchClaims
	}
	if s.MaxBatchBytes == 0 {
		s.MaxBatchBytes = defaultMaxBatchBytes
	}
	if s.MaxBatchesInFlight == 0 {
		s.MaxBatchesInFlight = defaultMaxBatchesInFlight
	}
	if s.BatchTimeout == 0 {
		s.BatchTimeout = defaultBatchTimeout
	}
	return s
}

// LedgerClient is a Ledger that sends claims and outcomes to the leader in batches.
// A batch that got no response is sent again. The nonces of the claims make this
// idempotent.
type LedgerClient struct {
	claims *batcher[*chicoryv1.ClaimResult]
	closes *batcher[chicoryv1.ClaimState]
}

// NewLedgerClient starts a client. It must be ended with Stop.
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

// Claim implements Ledger. It retries until the leader responds. It fails with the
// kind LedgerUnavailable when ctx ends first.
func (l *LedgerClient) Claim(ctx context.Context, c *chicoryv1.Claim) (*chicoryv1.ClaimResult, error) {
	return l.claims.submit(ctx, c)
}

// Close implements Ledger. It retries and fails like Claim.
func (l *LedgerClient) Close(ctx context.Context, c *chicoryv1.Claim) (chicoryv1.ClaimState, error) {
	return l.closes.submit(ctx, c)
}

// Stop ends the client's goroutines and waits for them. Pending requests fail.
func (l *LedgerClient) Stop() {
	l.claims.stop()
	l.closes.stop()
}
