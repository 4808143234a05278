package process_test

import (
	"context"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// startLookups starts three callers, one for each router, that look up fares until
// stop is closed. It returns the counts of answered and failed lookups.
func (c *cluster) startLookups(stop <-chan struct{}, done *sync.WaitGroup) (answered, failed *atomic.Int64) {
	answered, failed = &atomic.Int64{}, &atomic.Int64{}
	for router := range 3 {
		done.Go(func() {
			client := c.caller(router)
			for {
				select {
				case <-stop:
					return
				default:
				}
				_, err := client.Call(context.Background(), connect.NewRequest(&chicoryv1.CallRequest{
					Team: "desk", Route: "lookup", Method: "fare", Idempotent: true, TimeoutMs: 5000,
				}))
				if err != nil {
					failed.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	return answered, failed
}

// The new version fails half of its calls, and the leader is killed during the move.
// The move must be taken back, its end reported exactly once, and no lookup may fail.
func TestBadVersionIsTakenBackAfterLeaderCrash(t *testing.T) {
	c := newCluster(t)
	for i := range 3 {
		c.setFaults(offsetServiceV2+i, &chicoryv1.Faults{ErrorPermille: 500})
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	answered, failed := c.startLookups(stop, &callers)
	planFile := filepath.Join(c.folder, "move.json")
	c.runCtl("move", "start", "-config", c.ctlConfig(), "-route", "lookup", "-from", "v1", "-to", "v2", "-deadline", "10m", "-rate", "100", "-plan", planFile)
	c.runCtl("confirm", "-config", c.ctlConfig(), "-plan", planFile, "-why", "test", "-wait", "10s")
	c.kill(c.leader())
	out := ""
	c.eventually("the move is taken back", func() bool {
		var status int
		out, _, status = c.tryCtl("moves", "-config", c.ctlConfig())
		return status == 0 && strings.Contains(out, "taken_back")
	})
	close(stop)
	callers.Wait()
	t.Log(out)
	assert.Equal(t, strings.Count(out, "ended: "), 1)
	assert.Equal(t, failed.Load(), int64(0), "of %d lookups", answered.Load())
}

// The new version starts to fail after it has reached its full share, and the leader
// is killed at that moment. The move must be taken back, its end reported exactly
// once, and no lookup may fail.
func TestLateRegressionIsTakenBackAfterLeaderCrash(t *testing.T) {
	c := newCluster(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	answered, failed := c.startLookups(stop, &callers)
	planFile := filepath.Join(c.folder, "move.json")
	c.runCtl("move", "start", "-config", c.ctlConfig(), "-route", "lookup", "-from", "v1", "-to", "v2", "-deadline", "80s", "-rate", "300", "-plan", planFile)
	c.runCtl("confirm", "-config", c.ctlConfig(), "-plan", planFile, "-why", "test", "-wait", "10s")
	moves := func() string {
		out, _, _ := c.tryCtl("moves", "-config", c.ctlConfig())
		return out
	}
	c.eventually("the new version has full share", func() bool { return strings.Contains(moves(), "  watching  share") })
	for i := range 3 {
		c.setFaults(offsetServiceV2+i, &chicoryv1.Faults{ErrorPermille: 500})
	}
	c.kill(c.leader())
	c.eventually("the move is taken back", func() bool { return strings.Contains(moves(), "  taken_back  share") })
	close(stop)
	callers.Wait()
	out := moves()
	t.Log(out)
	assert.Equal(t, strings.Count(out, "ended: "), 1)
	assert.Equal(t, failed.Load(), int64(0), "of %d lookups", answered.Load())
}
