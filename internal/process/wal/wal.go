// Package wal is the write-ahead log of one replica: numbered frames with
// checksums in segment files of one folder.
//
// Each call of Append writes one frame and syncs it, so that every frame but
// the last is known to be durable. On opening, a damaged last frame is a write
// that was never confirmed, and is cut; damage before a whole frame is refused
// with the kind StorageFailed. After a failed write or sync the log accepts
// nothing more: what the disk holds is then unknown.
package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

const suffix = ".wal"

// Options are the settings of a log.
type Options struct {
	FS     disk.FS
	Folder string
	// SegmentBytes is the size of a segment, in bytes; 0 means DefaultSegmentBytes.
	SegmentBytes int64
}

// Log is an open write-ahead log. It has one user at a time.
type Log struct {
	options  Options
	segments []segment // oldest first; the last one is written
	file     disk.File // nil until the first frame is written
	size     int64     // bytes in the segment that is written
	sequence uint64    // of the last frame
	last     uint64    // index of the last entry
	state    *chicoryv1.ReplicaState
	failed   error
}

type segment struct {
	first    uint64 // sequence of its first frame
	maxIndex uint64 // largest index of an entry in it
}

// Open reads the log in the folder, repairs its tail and makes what was read
// durable. A folder without a whole frame gives a Recovered with a nil State.
func Open(o Options) (*Log, *Recovered, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MkdirAll(o.Folder); err != nil {
		return nil, nil, storageFailed("make folder", err)
	}
	l := &Log{options: o}
	r, err := l.recover()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	l.state = r.State
	l.last = r.lastIndex()
	return l, r, nil
}

// Append writes the state and the entries in one frame and returns when they
// are durable. A nil state leaves the state as it was. An entry with an index
// that is already present replaces that entry and all later ones. An error has
// the kind StorageFailed and is final.
func (l *Log) Append(state *chicoryv1.ReplicaState, entries []*chicoryv1.LogEntry) error {
	return l.write(&chicoryv1.LogFrame{State: state, Entries: entries})
}

// Reset drops all entries: the log goes on after index. It returns when that
// is durable.
func (l *Log) Reset(state *chicoryv1.ReplicaState, index uint64) error {
	l.last = index
	return l.write(&chicoryv1.LogFrame{State: state, Discard: true, AfterIndex: index})
}

func (l *Log) write(f *chicoryv1.LogFrame) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.writeFrame(f); err != nil {
		l.failed = err
		return err
	}
	return nil
}

func (l *Log) writeFrame(f *chicoryv1.LogFrame) error {
	begin := l.file == nil || l.size >= l.options.SegmentBytes
	if f.State == nil && begin {
		f.State = l.state
	}
	f.Sequence = l.sequence + 1
	if !f.Discard {
		f.AfterIndex = l.afterIndex(f)
	}
	payload, err := proto.Marshal(f)
	if err != nil {
		return storageFailed("encode frame", err)
	}
	if begin {
		if err := l.beginSegment(f.Sequence); err != nil {
			return err
		}
	}
	if err := l.writeSynced(disk.AppendFrame(nil, payload)); err != nil {
		return err
	}
	if begin {
		if err := l.options.FS.SyncFolder(l.options.Folder); err != nil {
			return storageFailed("sync folder", err)
		}
	}
	l.note(f)
	return nil
}

func (l *Log) afterIndex(f *chicoryv1.LogFrame) uint64 {
	if len(f.Entries) > 0 {
		return f.Entries[0].GetIndex() - 1
	}
	return l.last
}

func (l *Log) beginSegment(sequence uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return storageFailed("close segment", err)
		}
	}
	file, err := l.options.FS.Create(l.path(sequence))
	if err != nil {
		return storageFailed("create segment", err)
	}
	l.file = file
	l.size = 0
	l.segments = append(l.segments, segment{first: sequence})
	return nil
}

func (l *Log) writeSynced(b []byte) error {
	n, err := l.file.Write(b)
	if err != nil {
		return storageFailed("write", err)
	}
	if n < len(b) {
		return storageFailed("write", errors.Errorf("%d of %d bytes written", n, len(b)))
	}
	if err := l.file.Sync(); err != nil {
		return storageFailed("sync", err)
	}
	l.size += int64(len(b))
	return nil
}

// note keeps what a durable frame changed.
func (l *Log) note(f *chicoryv1.LogFrame) {
	l.sequence = f.GetSequence()
	if f.GetState() != nil {
		l.state = f.GetState()
	}
	if n := len(f.GetEntries()); n > 0 {
		l.last = f.GetEntries()[n-1].GetIndex()
		current := &l.segments[len(l.segments)-1]
		current.maxIndex = max(current.maxIndex, l.last)
	}
}

// Compact removes the oldest segments whose entries all have an index up to
// and including index. The caller holds a durable snapshot of at least index.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	removed := 0
	for removed < len(l.segments)-1 && l.segments[removed].maxIndex <= index {
		if err := l.options.FS.Remove(l.path(l.segments[removed].first)); err != nil {
			return storageFailed("remove segment", err)
		}
		removed++
	}
	l.segments = append([]segment(nil), l.segments[removed:]...)
	return nil
}

// Close closes the segment that is written. Everything confirmed is durable.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.failed == nil {
		l.failed = fault.New(fault.StorageFailed, "the write-ahead log is closed")
	}
	return errors.Trace(err)
}

func (l *Log) path(sequence uint64) string {
	return filepath.Join(l.options.Folder, fmt.Sprintf("%020d%s", sequence, suffix))
}

func sequenceOf(name string) (uint64, bool) {
	var sequence uint64
	if !strings.HasSuffix(name, suffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(strings.TrimSuffix(name, suffix), "%d", &sequence); err != nil {
		return 0, false
	}
	return sequence, true
}

func storageFailed(action string, err error) error {
	return fault.New(fault.StorageFailed, "write-ahead log: %s: %v", action, err)
}
