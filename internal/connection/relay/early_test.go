package relay

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
)

// TestEarlyResponseThroughAHelper guards against half a response that is taken for a whole one, since its connection
// was reset while the helper was writing the request.
func TestEarlyResponseThroughAHelper(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	for name, test := range responsetest.EarlyEnds() {
		t.Run(name, func(t *testing.T) {
			target, err := responsetest.StartEarlyTarget("HTTP/1.1 200 OK\r\n\r\nhalf", test.End)
			assert.NilError(t, err)
			defer target.Close()
			for range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				r := &http1.Request{Method: "POST", URI: "/x", Host: "h", Body: make([]byte, responsetest.LongRequest), HasBody: true}
				body, err := readThrough(ctx, c, h.address, target.Address, r)
				assert.NilError(t, ctx.Err())
				cancel()
				assert.Equal(t, err == nil, test.IsComplete, "%q, %v", body, err)
				assert.Assert(t, err != nil || string(body) == "half", "%q", body)
			}
		})
	}
}
