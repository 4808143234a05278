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

// lookUp keeps three callers looking up fares until stop is closed, and counts
// the lookups that failed.
func (c *cluster) lookUp(stop <-chan struct{}, done *sync.WaitGroup) (answered, failed *atomic.Int64) {
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

// The new version fails half of its calls. The move is taken back, though the
// leader is killed on the way, the end is told once, and no lookup is lost.
func TestBadVersionIsTakenBackThoughTheLeaderDies(t *testing.T) {
	c := newCluster(t)
	for i := range 3 {
		c.setFaults(serviceV2+i, &chicoryv1.Faults{ErrorPermille: 500})
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	answered, failed := c.lookUp(stop, &callers)
	planFile := filepath.Join(c.folder, "move.json")
	c.ctl("move", "start", "-config", c.config(), "-route", "lookup", "-from", "v1", "-to", "v2", "-deadline", "10m", "-rate", "100", "-plan", planFile)
	c.ctl("confirm", "-config", c.config(), "-plan", planFile, "-why", "test", "-wait", "10s")
	c.kill(c.leader())
	out := ""
	c.eventually("the move is taken back", func() bool {
		var status int
		out, _, status = c.tryCtl("moves", "-config", c.config())
		return status == 0 && strings.Contains(out, "taken_back")
	})
	close(stop)
	callers.Wait()
	t.Log(out)
	assert.Equal(t, strings.Count(out, "ended: "), 1)
	assert.Equal(t, failed.Load(), int64(0), "of %d lookups", answered.Load())
}

// The new version turns bad once it has full share, and the leader is killed while
// that shows. The move is taken back all the same, once, and no lookup is lost.
func TestVersionThatTurnsBadLateIsTakenBackThoughTheLeaderDies(t *testing.T) {
	c := newCluster(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	answered, failed := c.lookUp(stop, &callers)
	planFile := filepath.Join(c.folder, "move.json")
	c.ctl("move", "start", "-config", c.config(), "-route", "lookup", "-from", "v1", "-to", "v2", "-deadline", "80s", "-rate", "300", "-plan", planFile)
	c.ctl("confirm", "-config", c.config(), "-plan", planFile, "-why", "test", "-wait", "10s")
	moves := func() string {
		out, _, _ := c.tryCtl("moves", "-config", c.config())
		return out
	}
	c.eventually("the new version has full share", func() bool { return strings.Contains(moves(), "  watching  share") })
	for i := range 3 {
		c.setFaults(serviceV2+i, &chicoryv1.Faults{ErrorPermille: 500})
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
