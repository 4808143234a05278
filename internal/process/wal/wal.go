// Package wal implements the write-ahead log of one replica: numbered frames with
// checksums, stored in the segment files of one folder.
//
// Each call of Append writes and syncs one frame, so every frame but the last is known
// to be durable. When a log is opened, a corrupt last frame is a write that was never
// acknowledged, and is truncated; corruption before a valid frame is rejected with the
// kind StorageFailed. After a failed write or sync the log accepts no more writes,
// because the content of the disk is then unknown.
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

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 4 << 20

const suffix = ".wal"

// Options are the settings of a log.
type Options struct {
	FS     disk.FS
	Folder string
	// SegmentBytes is the size of a segment, in bytes; 0 means DefaultSegmentBytes.
	SegmentBytes int64
}

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	options   Options
	segments  []segment // oldest first; the last one is active
	file      disk.File // nil until the first frame is written
	size      int64     // of the active segment, in bytes
	sequence  uint64    // of the last frame
	lastIndex uint64    // index of the last entry
	state     *chicoryv1.ReplicaState
	failure   error
}

type segment struct {
	firstSequence uint64 // sequence number of its first frame
	maxIndex      uint64 // largest index of its entries
}

// Open reads the log in the folder, truncates a torn tail and makes what was read
// durable. Recovered.State is nil if the folder holds no valid frame.
func Open(o Options) (*Log, *Recovered, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MkdirAll(o.Folder); err != nil {
		return nil, nil, storageFailed("create folder", err)
	}
	l := &Log{options: o}
	r, err := l.recover()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	l.state = r.State
	l.lastIndex = r.lastIndex()
	return l, r, nil
}

// Append writes the state and the entries in one frame and returns once they are
// durable. A nil state leaves the state unchanged. An entry whose index is already
// present replaces that entry and all later ones. Errors have the kind StorageFailed,
// and every later write fails as well.
func (l *Log) Append(state *chicoryv1.ReplicaState, entries []*chicoryv1.LogEntry) error {
	return l.write(&chicoryv1.LogFrame{State: state, Entries: entries})
}

// Reset discards all entries; the next entry follows index. It returns once that is
// durable.
func (l *Log) Reset(state *chicoryv1.ReplicaState, index uint64) error {
	l.lastIndex = index
	return l.write(&chicoryv1.LogFrame{State: state, Discard: true, AfterIndex: index})
}

func (l *Log) write(f *chicoryv1.LogFrame) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.writeFrame(f); err != nil {
		l.failure = err
		return err
	}
	return nil
}

func (l *Log) writeFrame(f *chicoryv1.LogFrame) error {
	newSegment := l.file == nil || l.size >= l.options.SegmentBytes
	if f.State == nil && newSegment {
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
	if newSegment {
		if err := l.startSegment(f.Sequence); err != nil {
			return err
		}
	}
	if err := l.writeSynced(disk.AppendFrame(nil, payload)); err != nil {
		return err
	}
	if newSegment {
		if err := l.options.FS.SyncFolder(l.options.Folder); err != nil {
			return storageFailed("sync folder", err)
		}
	}
	l.recordFrame(f)
	return nil
}

// afterIndex returns the index before the first entry of f or, if f has none, of a later
// frame.
func (l *Log) afterIndex(f *chicoryv1.LogFrame) uint64 {
	if len(f.Entries) > 0 {
		return f.Entries[0].GetIndex() - 1
	}
	return l.lastIndex
}

func (l *Log) startSegment(sequence uint64) error {
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
	l.segments = append(l.segments, segment{firstSequence: sequence})
	return nil
}

func (l *Log) writeSynced(b []byte) error {
	n, err := l.file.Write(b)
	if err != nil {
		return storageFailed("write", err)
	}
	if n < len(b) {
		return storageFailed("write", errors.Errorf("short write: %d of %d bytes", n, len(b)))
	}
	if err := l.file.Sync(); err != nil {
		return storageFailed("sync", err)
	}
	l.size += int64(len(b))
	return nil
}

// recordFrame updates the in-memory state from a durable frame.
func (l *Log) recordFrame(f *chicoryv1.LogFrame) {
	l.sequence = f.GetSequence()
	if f.GetState() != nil {
		l.state = f.GetState()
	}
	if n := len(f.GetEntries()); n > 0 {
		l.lastIndex = f.GetEntries()[n-1].GetIndex()
		active := &l.segments[len(l.segments)-1]
		active.maxIndex = max(active.maxIndex, l.lastIndex)
	}
}

// Compact removes the oldest segments whose entries all have an index of at most index.
// The caller must have a durable snapshot that covers index.
func (l *Log) Compact(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	removed := 0
	for removed < len(l.segments)-1 && l.segments[removed].maxIndex <= index {
		if err := l.options.FS.Remove(l.path(l.segments[removed].firstSequence)); err != nil {
			return storageFailed("remove segment", err)
		}
		removed++
	}
	l.segments = append([]segment(nil), l.segments[removed:]...)
	return nil
}

// Close closes the active segment. All acknowledged writes are already durable.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.failure == nil {
		l.failure = fault.New(fault.StorageFailed, "the write-ahead log is closed")
	}
	return errors.Trace(err)
}

func (l *Log) path(sequence uint64) string {
	return filepath.Join(l.options.Folder, fmt.Sprintf("%020d%s", sequence, suffix))
}

// parseSegmentName returns the sequence number of the first frame of a segment from its
// file name. It reports false for other files.
func parseSegmentName(name string) (uint64, bool) {
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
