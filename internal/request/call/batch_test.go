package call

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

// TestLeaderChangesUnderLoad checks that every claim is recorded and closed once while
// proposals and responses are lost in each of the simulated ways.
func TestLeaderChangesUnderLoad(t *testing.T) {
	const calls = 2000
	synctest.Test(t, func(t *testing.T) {
		l := newReplicatedLedger()
		client := NewLedgerClient(&fakeLeaderClient{ledger: l}, BatchSettings{MaxBatchClaims: 16, BatchTimeout: 300 * time.Millisecond})
		var tasks sync.WaitGroup
		for i := range calls {
			tasks.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				l.addProposalFaults(proposalFault(i % int(numProposalFaults)))
				c := &chicoryv1.Claim{Team: "t", Key: ledger.NewKey(time.Now()), Nonce: fmt.Sprint(i)}
				r, err := client.Claim(context.Background(), c)
				assert.Check(t, err)
				assert.Check(t, r.GetVerdict() == chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH)
				c = &chicoryv1.Claim{Team: "t", Key: c.GetKey(), Nonce: c.GetNonce(), State: chicoryv1.ClaimState_CLAIM_STATE_DONE}
				state, err := client.Close(context.Background(), c)
				assert.Check(t, err)
				assert.Check(t, state == chicoryv1.ClaimState_CLAIM_STATE_DONE)
			})
		}
		tasks.Wait()
		client.Stop()
		claims, _ := l.state.Export()
		assert.Equal(t, len(claims), calls)
		for _, c := range claims {
			assert.Equal(t, c.GetState(), chicoryv1.ClaimState_CLAIM_STATE_DONE)
		}
	})
}

func TestBatchSizeIsLimitedInBytes(t *testing.T) {
	b := &batcher[int]{settings: BatchSettings{MaxBatchBytes: 100}.withDefaults(), queue: make(chan *batchItem[int], 10)}
	item := &batchItem[int]{claim: &chicoryv1.Claim{Payload: make([]byte, 40)}}
	for range 10 {
		b.queue <- item
	}
	assert.Equal(t, len(b.collect(item)), 3)
}
