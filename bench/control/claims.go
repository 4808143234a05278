package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	connection "github.com/chicoryswitch/chicoryswitch/internal/connection/control"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/request/call"
)

// Sizes of the measurement of claims.
const (
	claimTime    = 3 * time.Second
	claimsTarget = 3000 // claims a second
	claimTimeout = 5 * time.Second
)

// measureClaims measures calls a second that claim their key and record their
// outcome, through a router's ledger client and three control processes with sync on.
// No target is called.
func measureClaims(r *run) error {
	c, err := startForceCluster(filepath.Join(r.folder, "claims"))
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	if _, err := c.leader(); err != nil {
		return errors.Trace(err)
	}
	var best float64
	for _, callers := range []int{1, 16, 256} {
		rate, err := c.claimRate(callers)
		if err != nil {
			return errors.Trace(err)
		}
		r.figure("claims callers=%d rate=%.0f/s", callers, rate)
		best = max(best, rate)
	}
	r.bars = append(r.bars, bar{"claims_with_sync", fmt.Sprintf("%.0f/s", best), fmt.Sprintf(">=%d/s", claimsTarget), best >= claimsTarget})
	return nil
}

// claimRate returns claims with their outcomes a second.
func (c *forceCluster) claimRate(callers int) (float64, error) {
	var vms []connection.VM
	for i, a := range c.addresses {
		vms = append(vms, connection.VM{ID: fmt.Sprintf("c%d", i+1), Address: a})
	}
	peers := peer.NewClient(c.keys)
	defer func() { _ = peers.Close() }()
	client := call.NewLedgerClient(connection.NewClient(vms, peers), call.BatchSettings{})
	defer client.Stop()
	var done atomic.Int64
	var tasks sync.WaitGroup
	errs := make(chan error, callers)
	start := time.Now()
	for range callers {
		tasks.Go(func() {
			for time.Since(start) < claimTime {
				if err := claimOnce(client); err != nil {
					errs <- err
					return
				}
				done.Add(1)
			}
		})
	}
	tasks.Wait()
	close(errs)
	return float64(done.Load()) / time.Since(start).Seconds(), <-errs
}

// claimOnce claims a new key and records an answer of 200 bytes.
func claimOnce(client *call.LedgerClient) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	key := ledger.NewKey(time.Now())
	claim := &chicoryv1.Claim{
		Team: "desk", Key: key, Digest: make([]byte, 32), RouterId: "r1", Incarnation: "bench", Nonce: key,
		Route: "booking", Target: "10.0.0.1:9000",
	}
	result, err := client.Claim(ctx, claim)
	if err != nil {
		return errors.Trace(err)
	}
	if v := result.GetVerdict(); v != chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH {
		return errors.Errorf("claim: %s", v)
	}
	claim.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
	claim.Payload = make([]byte, 200)
	_, err = client.Close(ctx, claim)
	return errors.Trace(err)
}
