package wal

import (
	"os"
	"strings"
	"testing"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain fixes the seed of the property tests; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

const folder = "data/log"

// model is the reference model of a log: a list of entries and a state.
type model struct {
	after   uint64
	entries []*chicoryv1.LogEntry
	state   *chicoryv1.ReplicaState
}

func (n *model) last() uint64 { return n.after + uint64(len(n.entries)) }

func (n *model) append(state *chicoryv1.ReplicaState, entries []*chicoryv1.LogEntry) {
	if state != nil {
		n.state = state
	}
	if len(entries) > 0 {
		keep := entries[0].GetIndex() - 1 - n.after
		n.entries = append(n.entries[:keep:keep], entries...)
	}
}

func (n *model) clone() *model {
	c := *n
	return &c
}

// matches compares the model with a recovered log, which may still hold entries that
// were compacted in the model.
func (n *model) matches(r *Recovered) error {
	if !proto.Equal(r.State, n.state) {
		return errors.Errorf("state %v, want %v", r.State, n.state)
	}
	if r.lastIndex() != n.last() {
		return errors.Errorf("last index %d, want %d", r.lastIndex(), n.last())
	}
	for _, e := range r.Entries {
		if e.GetIndex() > n.after && !proto.Equal(e, n.entries[e.GetIndex()-n.after-1]) {
			return errors.Errorf("entry %v, want %v", e, n.entries[e.GetIndex()-n.after-1])
		}
	}
	return nil
}

func open(d *disktest.Disk) (*Log, *Recovered, error) {
	return Open(Options{FS: d.Mount(), Folder: folder, SegmentBytes: 200})
}

func entriesFrom(index, term uint64, count int) []*chicoryv1.LogEntry {
	var entries []*chicoryv1.LogEntry
	for i := range count {
		entries = append(entries, &chicoryv1.LogEntry{
			Index: index + uint64(i), Term: term, Command: []byte(strings.Repeat("x", 1+i*7)),
		})
	}
	return entries
}

// TestAcknowledgedWritesSurviveCrashes runs random appends, truncations, resets,
// compactions and crashes that lose unsynced writes, and compares the log with the model.
func TestAcknowledgedWritesSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := disktest.New()
		l, _, err := open(d)
		assert.NilError(rt, err)
		want := &model{}
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "crash") }
		for step := range rapid.IntRange(1, 25).Draw(rt, "steps") {
			term := uint64(step + 1)
			state := &chicoryv1.ReplicaState{Incarnation: "i", Term: term}
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1, 2:
				first := rapid.Uint64Range(want.after+1, want.last()+1).Draw(rt, "first")
				entries := entriesFrom(first, term, rapid.IntRange(0, 4).Draw(rt, "count"))
				assert.NilError(rt, l.Append(state, entries))
				want.append(state, entries)
			case 3:
				index := rapid.Uint64Range(want.after, want.last()).Draw(rt, "compact")
				assert.NilError(rt, l.Compact(index))
				want.entries = want.entries[index-want.after:]
				want.after = index
			case 4:
				want = &model{after: want.last() + 3, state: state}
				assert.NilError(rt, l.Reset(state, want.after))
			case 5:
				attempt := want.clone()
				first := rapid.Uint64Range(want.after+1, want.last()+1).Draw(rt, "first")
				entries := entriesFrom(first, term, rapid.IntRange(0, 4).Draw(rt, "count"))
				attempt.append(state, entries)
				faults := disktest.Faults{FailSync: true}
				if rapid.Bool().Draw(rt, "full") {
					free := rapid.IntRange(0, 15).Draw(rt, "free")
					faults = disktest.Faults{LimitBytes: true, FreeBytes: free}
				}
				d.SetFaults(faults)
				assert.Assert(rt, fault.Is(l.Append(state, entries), fault.StorageFailed))
				d.SetFaults(disktest.Faults{})
				assert.Assert(rt, fault.Is(l.Append(state, nil), fault.StorageFailed), "write accepted after a failure")
				d.Crash(draw)
				var r *Recovered
				l, r, err = open(d)
				assert.NilError(rt, err)
				if attempt.matches(r) == nil {
					want = attempt
				}
				assert.NilError(rt, want.matches(r))
			}
		}
	})
}

func TestCorruption(t *testing.T) {
	fill := func(t *testing.T, frames int) *disktest.Disk {
		d := disktest.New()
		l, _, err := open(d)
		assert.NilError(t, err)
		for i := range frames {
			state := &chicoryv1.ReplicaState{Incarnation: "i", Term: 1}
			assert.NilError(t, l.Append(state, entriesFrom(uint64(i+1), 1, 1)))
		}
		return d
	}
	t.Run("the last frame is cut", func(t *testing.T) {
		d := fill(t, 3)
		d.Corrupt(d.Files(suffix)[0], -1)
		_, r, err := open(d)
		assert.NilError(t, err)
		assert.Equal(t, len(r.Entries), 2)
		assert.Assert(t, r.TruncatedBytes > 0)
	})
	t.Run("damage in the middle is refused", func(t *testing.T) {
		d := fill(t, 3)
		d.Corrupt(d.Files(suffix)[0], 20)
		_, _, err := open(d)
		assert.Assert(t, fault.Is(err, fault.StorageFailed))
		assert.ErrorContains(t, err, "corrupt frame before acknowledged ones")
	})
	t.Run("damage in an older segment is refused", func(t *testing.T) {
		d := fill(t, 30)
		d.Corrupt(d.Files(suffix)[0], -1)
		_, _, err := open(d)
		assert.Assert(t, fault.Is(err, fault.StorageFailed))
	})
	t.Run("a missing segment is refused", func(t *testing.T) {
		d := fill(t, 30)
		assert.NilError(t, d.Mount().Remove(d.Files(suffix)[1]))
		_, _, err := open(d)
		assert.ErrorContains(t, err, "does not follow")
	})
}

// TestUnsyncedWritesAreSyncedOnOpen opens a log with unsynced writes after a crash of
// the process, and again after a crash of the VM, which must not lose them.
func TestUnsyncedWritesAreSyncedOnOpen(t *testing.T) {
	d := disktest.New()
	l, _, err := open(d)
	assert.NilError(t, err)
	state := &chicoryv1.ReplicaState{Incarnation: "i", Term: 1}
	assert.NilError(t, l.Append(state, entriesFrom(1, 1, 1)))
	d.SetFaults(disktest.Faults{FailSync: true})
	assert.Assert(t, l.Append(nil, entriesFrom(2, 1, 1)) != nil)
	d.SetFaults(disktest.Faults{})
	d.Unmount()
	_, r, err := open(d)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Entries), 2)
	d.Crash(func(int) int { return 0 })
	_, r, err = open(d)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Entries), 2)
}

// FuzzRecover opens a segment with arbitrary bytes. Open may reject them but must not
// panic, and must read accepted content the same way again.
func FuzzRecover(f *testing.F) {
	d := disktest.New()
	l, _, err := open(d)
	assert.NilError(f, err)
	state := &chicoryv1.ReplicaState{Incarnation: "i", Term: 1}
	assert.NilError(f, l.Append(state, entriesFrom(1, 1, 2)))
	assert.NilError(f, l.Append(nil, entriesFrom(2, 2, 1)))
	valid, err := d.Mount().ReadFile(d.Files(suffix)[0])
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(valid[:len(valid)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		d := disktest.New()
		file, err := d.Mount().Create(folder + "/00000000000000000001" + suffix)
		assert.NilError(t, err)
		_, err = file.Write(b)
		assert.NilError(t, err)
		_, first, err := open(d)
		if err != nil {
			assert.Assert(t, fault.Is(err, fault.StorageFailed))
			return
		}
		_, second, err := open(d)
		assert.NilError(t, err)
		assert.Equal(t, len(second.Entries), len(first.Entries))
		assert.Equal(t, second.TruncatedBytes, 0)
	})
}
