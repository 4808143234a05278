package ledger

import (
	"encoding/binary"
	"testing"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// BenchmarkClaimAndClose claims and closes one key per iteration, with the default
// limits and a response of 512 bytes.
func BenchmarkClaimAndClose(b *testing.B) {
	l := New(DefaultSettings())
	payload := make([]byte, 512)
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c := &chicoryv1.Claim{
			Team:        "colonia",
			Key:         FormatKey(now, binary.BigEndian.AppendUint64(nil, uint64(i))),
			Digest:      payload[:32],
			RouterId:    "r1",
			Incarnation: "1",
			Nonce:       "NNNNNNNNNNNNNNNNNNNNNNNNNN",
		}
		if l.Claim(c, now).GetVerdict() != dispatch {
			b.Fatal("claim was not granted a dispatch")
		}
		c.State, c.Payload = done, payload
		l.Close(c, now)
	}
}

// BenchmarkExport exports 100,000 claims, as taking a snapshot does.
func BenchmarkExport(b *testing.B) {
	l := New(DefaultSettings())
	for i := range 100_000 {
		c := &chicoryv1.Claim{Team: "colonia", Key: FormatKey(start, binary.BigEndian.AppendUint64(nil, uint64(i))), Nonce: "n"}
		l.Claim(c, start)
	}
	b.ResetTimer()
	for range b.N {
		l.Export()
	}
}
