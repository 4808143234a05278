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

// Parameters of the measurement of claims.
const (
	claimRunTime = 3 * time.Second
	minClaimRate = 3000            // claims per second
	claimTimeout = 5 * time.Second // of a claim and its outcome together
)

// measureClaims measures how many calls per second can claim their key and record
// their outcome through a router's ledger client and three control processes, which
// sync their logs to disk. No target is called.
func measureClaims(b *benchmark) error {
	c, err := startProcessCluster(filepath.Join(b.folder, "claims"))
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	if _, err := c.leader(); err != nil {
		return errors.Trace(err)
	}
	var best float64
	for _, callers := range []int{1, 16, 256} {
		rate, err := c.measureClaimRate(callers)
		if err != nil {
			return errors.Trace(err)
		}
		b.printFigure("claims callers=%d rate=%.0f/s", callers, rate)
		best = max(best, rate)
	}
	b.goals = append(b.goals, goal{"claims_with_sync", fmt.Sprintf("%.0f/s", best), fmt.Sprintf(">=%d/s", minClaimRate), best >= minClaimRate})
	return nil
}

// measureClaimRate returns the claims with recorded outcomes per second, made by
// concurrent callers.
func (c *processCluster) measureClaimRate(callers int) (float64, error) {
	var vms []connection.VM
	for i, a := range c.addresses {
		vms = append(vms, connection.VM{ID: fmt.Sprintf("c%d", i+1), Address: a})
	}
	peers := peer.NewClient(c.keys)
	defer func() { _ = peers.Close() }()
	client := call.NewLedgerClient(connection.NewClient(vms, peers), call.BatchSettings{})
	defer client.Stop()
	var completed atomic.Int64
	var tasks sync.WaitGroup
	errs := make(chan error, callers)
	start := time.Now()
	for range callers {
		tasks.Go(func() {
			for time.Since(start) < claimRunTime {
				if err := claimAndClose(client); err != nil {
					errs <- err
					return
				}
				completed.Add(1)
			}
		})
	}
	tasks.Wait()
	close(errs)
	return float64(completed.Load()) / time.Since(start).Seconds(), <-errs
}

// claimAndClose claims a new key and records an answer of 200 bytes.
func claimAndClose(client *call.LedgerClient) error {
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
