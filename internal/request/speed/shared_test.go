package speed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// TestSharedEstimatesReachOtherProcesses guards against a process that learns the speed of a target
// only from its own streams, of which it places one in minutes there.
func TestSharedEstimatesReachOtherProcesses(t *testing.T) {
	f := newFleet(1, 1, 1, 1.6)
	for range 5 {
		for _, i := range f.random.Perm(4) {
			f.stream(i)
		}
	}
	board, other := NewBoard(), NewTable()
	other.Update(listed("e", 4))
	board.Merge(f.table.Local(true, f.now), f.now)
	speeds, version := board.ChangesSince(0, f.now)
	other.MergeRemote(speeds, f.now)
	factor := other.Factor("e3", "first", f.now)
	assert.Assert(t, factor > 1.3 && factor < 1.7, "%v", factor)
	assert.Assert(t, math.Abs(other.Factor("e0", "first", f.now)-1) < 0.15)

	speeds, _ = board.ChangesSince(version, f.now)
	assert.Equal(t, len(speeds), 0, "nothing changed: %v", speeds)
	f.now = f.now.Add(2 * time.Second)
	assert.Equal(t, len(f.table.Local(false, f.now)), 0)
	f.now = f.now.Add(sharedLifetime)
	assert.Equal(t, other.Factor("e3", "first", f.now), 1.0, "a shared estimate must lose its weight with age")
	_, _ = board.ChangesSince(0, f.now)
	assert.Equal(t, len(board.speeds), 0, "estimates of incarnations that are gone must be removed")
}

// TestSharedEstimatesAreRepeated guards against a lasting difference that other processes forget
// although it is still observed.
func TestSharedEstimatesAreRepeated(t *testing.T) {
	f := newFleet(1, 1, 1, 1.6)
	shared := 0
	last := start
	for f.now.Sub(start) < 5*time.Minute {
		for i := range 4 {
			f.stream(i)
		}
		for _, s := range f.table.Local(false, f.now) {
			if s.GetAddress() == "e3" {
				shared++
				last = f.now
			}
		}
	}
	assert.Assert(t, f.now.Sub(last) < lifetime, "last shared %v ago", f.now.Sub(last))
	assert.Assert(t, shared <= 20, "shared %d times in %v", shared, f.now.Sub(start))
}

// TestMessagesAreBounded guards against messages that grow with the number of targets.
func TestMessagesAreBounded(t *testing.T) {
	const targets = 3*maxPerMessage + 5
	table, board, now := NewTable(), NewBoard(), start
	table.Update(listed("e", targets))
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for i := range targets {
			percent := 100
			if i%2 == 0 {
				percent = 180
			}
			table.ObserveStated(fmt.Sprint("e", i), "first", percent, now)
		}
	}
	seen := map[string]bool{}
	for range 4 {
		speeds := table.Local(false, now)
		assert.Assert(t, len(speeds) <= maxPerMessage)
		for _, s := range speeds {
			assert.Assert(t, !seen[s.GetAddress()], "%s was sent twice", s.GetAddress())
			seen[s.GetAddress()] = true
		}
		board.Merge(speeds, now)
	}
	assert.Assert(t, len(seen) > maxPerMessage, "%d", len(seen))
	version, received := uint64(0), 0
	for range 10 {
		var speeds []*chicoryv1.TargetSpeed
		speeds, version = board.ChangesSince(version, now)
		assert.Assert(t, len(speeds) <= maxPerMessage)
		received += len(speeds)
	}
	assert.Equal(t, received, len(seen))
}

// TestMalformedEstimatesAreIgnored guards against messages of a faulty VM.
func TestMalformedEstimatesAreIgnored(t *testing.T) {
	table, board := NewTable(), NewBoard()
	table.Update(listed("e", 1))
	malformed := []*chicoryv1.TargetSpeed{
		{Address: "e0", Instance: "first", Percent: 0, Weight: 5},
		{Address: "e0", Instance: "first", Percent: 200, Weight: -5},
		{Address: "e0", Instance: "first", Percent: 200, Weight: float32(math.NaN())},
		{Address: "e0", Instance: "first", Percent: 200, Weight: 5, AgeMs: math.MaxUint32},
		{Address: "e0", Instance: "other", Percent: 200, Weight: 5},
	}
	table.MergeRemote(malformed, start)
	assert.Equal(t, table.Factor("e0", "first", start), 1.0)
	board.Merge(malformed[:4], start)
	assert.Equal(t, len(board.speeds), 0)
	for i := range maxBoardEntries + 10 {
		board.Merge([]*chicoryv1.TargetSpeed{{Address: fmt.Sprint(i), Instance: "x", Percent: 200, Weight: 5}}, start)
	}
	assert.Equal(t, len(board.speeds), maxBoardEntries)
}
