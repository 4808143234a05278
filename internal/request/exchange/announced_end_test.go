package exchange

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestNoRequestFollowsAStreamWithAnAnnouncedEnd guards against a request that is sent on a
// connection that its target closes, whose outcome is then unknown.
func TestNoRequestFollowsAStreamWithAnAnnouncedEnd(t *testing.T) {
	event := streamText(1)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	for name, announced := range map[string]string{
		"close":            "Connection: close\r\n",
		"short keep-alive": "Keep-Alive: timeout=1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := startRawTarget(t, okHead+signedBy+announced+"Transfer-Encoding: chunked\r\n\r\n"+chunks, nil)
			s, _ := loopbackService(http1.NewPool(http1.Defaults(), metrics.NewRegistry()), x.address)
			send := startCaller(t, s, admitted(declared.AtMostOnce, true))
			for range 2 {
				_, body, err := send()
				assert.NilError(t, err)
				assert.Equal(t, body, event)
			}
			assert.Equal(t, x.connections.Load(), int32(2))
		})
	}
}
