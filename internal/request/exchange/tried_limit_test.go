package exchange

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestBegunStreamsGetThePermitOfATriedEngine guards against begun streams that have tried all engines
// and give the permit for one of them back to each other without end. It runs in real time, which
// goes on meanwhile.
func TestBegunStreamsGetThePermitOfATriedEngine(t *testing.T) {
	const streams = 16
	permitLifetime := 500 * time.Millisecond // at a limit of 2 per second
	s := atItsLimit(newTestNetwork())
	ctx, cancel := context.WithCancel(t.Context())
	placed := make(chan struct{}, streams)
	var waiting sync.WaitGroup
	for range streams {
		waiting.Go(func() {
			st := &stream{s: s, a: admitted(declared.Resumable, true), w: httptest.NewRecorder(), tried: []string{"a"}, headerSent: true}
			if _, _, err := st.awaitEngine(ctx); err == nil {
				placed <- struct{}{}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.grantPermits(1)
	time.Sleep(permitLifetime)
	cancel()
	waiting.Wait()
	assert.Equal(t, len(placed), 1)
}
