package share

import (
	"testing"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// BenchmarkChooseAndRecord measures what a move adds to each request at a router.
func BenchmarkChooseAndRecord(b *testing.B) {
	h := holderWith(500)
	guard := NewGuard(h, evidence.NewCollector(), time.Now, logging.Discard())
	chooser := NewChooser(h, guard)
	b.ReportAllocs()
	for b.Loop() {
		v := chooser.Choose(testRoute, "0123456789abcdef")
		guard.Record(request.Observation{Route: "fares", Version: v, Team: "t", CallLatency: time.Millisecond})
	}
}
