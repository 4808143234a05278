package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// dialOnce returns connections whose target closes them when it reads a second request.
func (w *testNetwork) dialOnce(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		requests := bufio.NewReader(server)
		for first := true; ; first = false {
			r, err := http.ReadRequest(requests)
			if err != nil || !first {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.targets[address](server, r)
		}
	}()
	return client, nil
}

// TestRetriesUseNewConnections guards against a stream that uses up its attempts within milliseconds
// because the kept connections to all engines were reset, though the engines are sound.
func TestRetriesUseNewConnections(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "call": false} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newTestNetwork()
				quick := defaultEngine
				quick.first, quick.gap = 10*time.Millisecond, time.Millisecond // no connection is idle for too long
				w.engines(quick, engineAddresses...)
				s, _ := w.service(unlimitedBudget{}, engineAddresses...)
				s.opts.Pool = http1.NewPoolWithDial(w.dialOnce, http1.Defaults(), metrics.NewRegistry())
				defer s.opts.Pool.Close()
				for _, address := range engineAddresses {
					s.list(address)
					assert.NilError(t, s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.Resumable, true)))
				}
				s.list(engineAddresses...)
				a := admitted(declared.Resumable, stream)
				a.Route.MaxAttempts = 2
				rec := httptest.NewRecorder()
				assert.NilError(t, s.Serve(t.Context(), rec, a))
				assert.Equal(t, rec.Body.String(), streamText(eventCount))
			})
		})
	}
}
