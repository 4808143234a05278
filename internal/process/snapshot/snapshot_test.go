package snapshot

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
)

const folder = "data/snapshots"

func testSnapshot(index uint64) *chicoryv1.SnapshotFile {
	return &chicoryv1.SnapshotFile{Index: index, Term: 1, Data: []byte("state")}
}

// TestSaveSurvivesCrashes crashes the VM after a failed Save and loses all, half or none
// of the unsynced data. The last saved snapshot must remain.
func TestSaveSurvivesCrashes(t *testing.T) {
	for _, draw := range []func(int) int{
		func(int) int { return 0 },
		func(n int) int { return n - 1 },
		func(n int) int { return n / 2 },
	} {
		d := disktest.New()
		s, err := Open(d.Mount(), folder)
		assert.NilError(t, err)
		assert.NilError(t, s.Save(testSnapshot(5)))
		assert.NilError(t, s.Save(testSnapshot(9)))
		d.SetFaults(disktest.Faults{FailSync: true})
		assert.Assert(t, fault.Is(s.Save(testSnapshot(12)), fault.StorageFailed))
		d.SetFaults(disktest.Faults{})
		d.Crash(draw)
		s, err = Open(d.Mount(), folder)
		assert.NilError(t, err)
		got, err := s.Load()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, testSnapshot(9)), "%v", got)
	}
}

func TestFullDiskKeepsPreviousSnapshot(t *testing.T) {
	d := disktest.New()
	s, err := Open(d.Mount(), folder)
	assert.NilError(t, err)
	assert.NilError(t, s.Save(testSnapshot(5)))
	d.SetFaults(disktest.Faults{LimitBytes: true, FreeBytes: 3})
	assert.Assert(t, fault.Is(s.Save(testSnapshot(6)), fault.StorageFailed))
	got, err := s.Load()
	assert.NilError(t, err)
	assert.Equal(t, got.GetIndex(), uint64(5))
}

func TestCorruptSnapshotIsRejected(t *testing.T) {
	d := disktest.New()
	s, err := Open(d.Mount(), folder)
	assert.NilError(t, err)
	assert.NilError(t, s.Save(testSnapshot(5)))
	d.Corrupt(d.Files(suffix)[0], -1)
	_, err = s.Load()
	assert.Assert(t, fault.Is(err, fault.StorageFailed))
}

// FuzzDecode checks that Decode does not panic on arbitrary bytes, and that whatever it
// accepts can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	valid, err := Encode(testSnapshot(3))
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(valid[:5])
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Decode(b)
		if err != nil {
			assert.Assert(t, fault.Is(err, fault.StorageFailed))
			return
		}
		again, err := Encode(got)
		assert.NilError(t, err)
		_, err = Decode(again)
		assert.NilError(t, err)
	})
}
