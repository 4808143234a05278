package wal

import (
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

// Recovered is the content of a log at the time it was opened.
type Recovered struct {
	// State is nil if the log held no valid frame.
	State *chicoryv1.ReplicaState
	// AfterIndex is the index before the first of Entries. A snapshot covers all
	// entries up to and including it.
	AfterIndex uint64
	// Entries have consecutive indexes.
	Entries []*chicoryv1.LogEntry
	// TruncatedBytes is the size of a torn tail that was truncated.
	TruncatedBytes int
}

func (r *Recovered) lastIndex() uint64 {
	return r.AfterIndex + uint64(len(r.Entries))
}

// recover reads all segments, truncates a torn tail, syncs the last segment and leaves
// it open for appending.
func (l *Log) recover() (*Recovered, error) {
	names, err := l.options.FS.List(l.options.Folder)
	if err != nil {
		return nil, storageFailed("list folder", err)
	}
	var sequences []uint64
	for _, name := range names {
		if sequence, ok := parseSegmentName(name); ok {
			sequences = append(sequences, sequence)
		}
	}
	r := &Recovered{}
	for i, sequence := range sequences {
		if err := l.readSegment(r, sequence, i == len(sequences)-1); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return r, errors.Trace(l.reopen())
}

func (l *Log) readSegment(r *Recovered, sequence uint64, newest bool) error {
	path := l.path(sequence)
	b, err := l.options.FS.ReadFile(path)
	if err != nil {
		return storageFailed("read segment", err)
	}
	if len(l.segments) > 0 && sequence != l.sequence+1 {
		return corruptionError(path, 0, "segment does not follow the previous one")
	}
	l.sequence = sequence - 1
	l.segments = append(l.segments, segment{firstSequence: sequence})
	size, err := l.readFrames(r, path, b)
	if err != nil {
		return errors.Trace(err)
	}
	l.size = int64(size)
	if size == len(b) && size > 0 {
		return nil
	}
	if !newest || l.hasLaterFrame(b[size:]) {
		return corruptionError(path, size, "corrupt frame before acknowledged ones")
	}
	return l.truncateTail(r, path, size, len(b)-size)
}

// hasLaterFrame reports whether rest, the newest segment from its first corrupt frame
// on, holds a frame that was written later. The corrupt frame was then already synced.
func (l *Log) hasLaterFrame(rest []byte) bool {
	for {
		payload, offset, ok := disk.FindFrame(rest)
		if !ok {
			return false
		}
		f := &chicoryv1.LogFrame{}
		if proto.Unmarshal(payload, f) == nil && f.GetSequence() > l.sequence+1 {
			return true
		}
		rest = rest[offset+1:]
	}
}

// truncateTail truncates a torn segment to size bytes, or removes it if it would be
// empty. torn is the number of bytes lost.
func (l *Log) truncateTail(r *Recovered, path string, size, torn int) error {
	r.TruncatedBytes = torn
	if size > 0 {
		return wrapStorageError("truncate torn tail", l.options.FS.Truncate(path, int64(size)))
	}
	if len(l.segments) == 1 && l.sequence > 0 {
		return corruptionError(path, 0, "the only segment has no valid frame")
	}
	l.segments = l.segments[:len(l.segments)-1]
	return wrapStorageError("remove torn segment", l.options.FS.Remove(path))
}

// readFrames applies the valid frames at the start of b and returns their total size.
func (l *Log) readFrames(r *Recovered, path string, b []byte) (int, error) {
	offset := 0
	for offset < len(b) {
		payload, size, ok := disk.ReadFrame(b[offset:])
		if !ok {
			return offset, nil
		}
		f, err := decodeFrame(payload)
		if err != nil {
			return offset, corruptionError(path, offset, err.Error())
		}
		if f.GetSequence() != l.sequence+1 {
			return offset, corruptionError(path, offset, "frame out of sequence")
		}
		if err := r.apply(f, r.State == nil); err != nil {
			return offset, corruptionError(path, offset, err.Error())
		}
		l.recordFrame(f)
		offset += size
	}
	return offset, nil
}

// decodeFrame decodes a payload and checks that its entries have consecutive indexes.
func decodeFrame(payload []byte) (*chicoryv1.LogFrame, error) {
	f := &chicoryv1.LogFrame{}
	if err := proto.Unmarshal(payload, f); err != nil {
		return nil, errors.Trace(err)
	}
	for i, e := range f.GetEntries() {
		if e.GetIndex() != f.GetAfterIndex()+1+uint64(i) {
			return nil, errors.Errorf("entry %d out of order", e.GetIndex())
		}
	}
	return f, nil
}

// apply applies one frame. The first frame of the remaining segments sets the index
// after which the log begins.
func (r *Recovered) apply(f *chicoryv1.LogFrame, first bool) error {
	if first && f.GetState() == nil {
		return errors.New("the first frame has no state")
	}
	if f.GetState() != nil {
		r.State = f.GetState()
	}
	after := f.GetAfterIndex()
	if first || f.GetDiscard() || after < r.AfterIndex {
		r.AfterIndex = after
		r.Entries = nil
	}
	if after > r.lastIndex() {
		return errors.Errorf("entries are missing after index %d", r.lastIndex())
	}
	if len(f.GetEntries()) > 0 {
		r.Entries = append(r.Entries[:after-r.AfterIndex], f.GetEntries()...)
	}
	return nil
}

// reopen opens the newest segment for appending and syncs it, because its content may
// never have been synced if only the process crashed.
func (l *Log) reopen() error {
	if len(l.segments) == 0 {
		return wrapStorageError("sync folder", l.options.FS.SyncFolder(l.options.Folder))
	}
	file, err := l.options.FS.OpenAppend(l.path(l.segments[len(l.segments)-1].firstSequence))
	if err != nil {
		return storageFailed("open segment", err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return storageFailed("sync segment", err)
	}
	if err := l.options.FS.SyncFolder(l.options.Folder); err != nil {
		_ = file.Close()
		return storageFailed("sync folder", err)
	}
	l.file = file
	return nil
}

// wrapStorageError is storageFailed for an err that may be nil.
func wrapStorageError(action string, err error) error {
	if err == nil {
		return nil
	}
	return storageFailed(action, err)
}

func corruptionError(path string, offset int, reason string) error {
	return fault.New(fault.StorageFailed,
		"write-ahead log: %s at byte %d: %s; remove the whole data folder to rejoin as a new replica",
		filepath.Base(path), offset, reason)
}
