package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

const recordedAnswerBytes = 200

// measureLedger measures what one more recorded call costs in memory, snapshot
// and time to apply.
func measureLedger(r *report) error {
	memory := r.slope("ledger memory", "claim", "bytes")
	size := r.slope("ledger snapshot", "claim", "bytes")
	cpu := r.slope("claim and outcome applied", "claim", "µs")
	for _, n := range []int{20_000, 60_000, 180_000} {
		before := heapBytes()
		l := ledger.New(ledger.DefaultSettings())
		now := time.Now()
		start := time.Now()
		for i := range n {
			c := sampleClaim(i, now)
			if v := l.Claim(c, now).GetVerdict(); v != chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH {
				return errors.Errorf("claim %d: %s", i, v)
			}
			c.State = chicoryv1.ClaimState_CLAIM_STATE_DONE
			c.Payload = make([]byte, recordedAnswerBytes)
			l.Close(c, now)
		}
		cpu.add(float64(n), microseconds(time.Since(start)))
		memory.add(float64(n), heapBytes()-before)
		claims, _ := l.Export()
		size.add(float64(n), float64(proto.Size(&chicoryv1.StateSnapshot{Claims: claims})))
	}
	return nil
}

func sampleClaim(i int, now time.Time) *chicoryv1.Claim {
	random := fmt.Appendf(nil, "%016d", i)
	return &chicoryv1.Claim{
		Team: "team-00001", Key: ledger.FormatKey(now, random), Digest: make([]byte, 32), Nonce: fmt.Sprintf("%016d", i),
		RouterId: "r1", Incarnation: "incarnation-of-26-letters", Target: "10.0.0.1:9000", Version: "v1",
	}
}
