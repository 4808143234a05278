package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

// resultBytes is the size of the answer recorded for each call.
const resultBytes = 200

// measureLedger measures the memory, the snapshot size and the time to apply by
// number of claims, each with a recorded answer.
func measureLedger(r *report) error {
	memory := r.slope("ledger memory", "claim", "bytes")
	size := r.slope("ledger snapshot", "claim", "bytes")
	cpu := r.slope("claim and outcome applied", "claim", "µs")
	for _, n := range []int{20_000, 60_000, 180_000} {
		heapBefore := liveHeapBytes()
		l := ledger.New(ledger.DefaultSettings())
		now := time.Now()
		start := time.Now()
		for i := range n {
			c := sampleClaim(i, now)
			if v := l.Claim(c, now).GetVerdict(); v != chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH {
				return errors.Errorf("claim %d: %s", i, v)
			}
			c.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
			c.Payload = make([]byte, resultBytes)
			l.Close(c, now)
		}
		cpu.add(float64(n), microseconds(time.Since(start)))
		memory.add(float64(n), liveHeapBytes()-heapBefore)
		claims, _ := l.Export()
		size.add(float64(n), float64(proto.Size(&chicoryv1.StateSnapshot{Claims: claims})))
	}
	return nil
}

// sampleClaim returns claim i, with a key and a nonce of its own.
func sampleClaim(i int, now time.Time) *chicoryv1.Claim {
	random := fmt.Appendf(nil, "%016d", i)
	return &chicoryv1.Claim{
		Team: "team-00001", Key: ledger.FormatKey(now, random), Digest: make([]byte, 32), Nonce: fmt.Sprintf("%016d", i),
		RouterId: "r1", Incarnation: "incarnation-of-26-letters", Target: "10.0.0.1:9000", Version: "v1",
	}
}
