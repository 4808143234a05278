package call

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

func TestResendAtAnotherRouterGetsTheSameResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		one, two := c.startRouter("r1", "1"), c.startRouter("r2", "1")
		key := ledger.NewKey(time.Now())
		first, err := one.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Assert(t, !first.GetReplayed())
		one.close(t)
		again, err := two.Call(context.Background(), keyedRequest(key, "7"))
		assert.NilError(t, err)
		assert.Equal(t, string(again.GetPayload()), string(first.GetPayload()))
		assert.Assert(t, again.GetReplayed())
		assert.Equal(t, c.arrivals("7"), 1)
		two.close(t)
	})
}

func TestIdempotentCallIsRetriedPastDeadTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.close()
		r := c.startRouter("r1", "1")
		c.targets[0].kill()
		for range 4 {
			resp, err := r.Call(context.Background(), idempotentRequest("7"))
			assert.NilError(t, err)
			assert.Equal(t, string(resp.GetPayload()[:len("10.0.0.2:1")]), "10.0.0.2:1")
		}
		r.close(t)
	})
}
