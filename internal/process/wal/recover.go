package wal

import (
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

// Recovered is what a log held when it was opened.
type Recovered struct {
	// State is nil when the log held no whole frame.
	State *chicoryv1.ReplicaState
	// AfterIndex is the index before the first of Entries. A snapshot covers
	// all entries up to it.
	AfterIndex uint64
	// Entries follow each other without a gap.
	Entries []*chicoryv1.LogEntry
	// CutBytes is the size of a torn tail that was cut off.
	CutBytes int
}

func (r *Recovered) lastIndex() uint64 {
	return r.AfterIndex + uint64(len(r.Entries))
}

// recover reads all segments, cuts a torn tail, syncs the last segment and
// leaves it open for writing.
func (l *Log) recover() (*Recovered, error) {
	names, err := l.options.FS.List(l.options.Folder)
	if err != nil {
		return nil, storageFailed("list folder", err)
	}
	var sequences []uint64
	for _, name := range names {
		if sequence, ok := sequenceOf(name); ok {
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
		return corrupt(path, 0, "segment does not follow the frame before it")
	}
	l.sequence = sequence - 1
	l.segments = append(l.segments, segment{first: sequence})
	size, err := l.readFrames(r, path, b)
	if err != nil {
		return errors.Trace(err)
	}
	l.size = int64(size)
	if size == len(b) && size > 0 {
		return nil
	}
	if !newest || l.wasConfirmed(b[size:]) {
		return corrupt(path, size, "damaged frame before confirmed ones")
	}
	return l.cutTail(r, path, size, len(b)-size)
}

// wasConfirmed reports whether a frame in the damaged rest of the newest
// segment was written after the damaged one, which was then synced.
func (l *Log) wasConfirmed(rest []byte) bool {
	for {
		payload, at, ok := disk.FindFrame(rest)
		if !ok {
			return false
		}
		f := &chicoryv1.LogFrame{}
		if proto.Unmarshal(payload, f) == nil && f.GetSequence() > l.sequence+1 {
			return true
		}
		rest = rest[at+1:]
	}
}

func (l *Log) cutTail(r *Recovered, path string, size, cut int) error {
	r.CutBytes = cut
	if size > 0 {
		return storageError("cut torn tail", l.options.FS.Truncate(path, int64(size)))
	}
	if len(l.segments) == 1 && l.sequence > 0 {
		return corrupt(path, 0, "the only segment has no whole frame")
	}
	l.segments = l.segments[:len(l.segments)-1]
	return storageError("remove torn segment", l.options.FS.Remove(path))
}

// readFrames applies the whole frames at the start of b and returns their size.
func (l *Log) readFrames(r *Recovered, path string, b []byte) (int, error) {
	at := 0
	for at < len(b) {
		payload, size, ok := disk.ReadFrame(b[at:])
		if !ok {
			return at, nil
		}
		f, err := decodeFrame(payload)
		if err != nil {
			return at, corrupt(path, at, err.Error())
		}
		if f.GetSequence() != l.sequence+1 {
			return at, corrupt(path, at, "frame out of sequence")
		}
		if err := r.apply(f, r.State == nil); err != nil {
			return at, corrupt(path, at, err.Error())
		}
		l.note(f)
		at += size
	}
	return at, nil
}

// decodeFrame decodes a payload and checks that its entries follow each other.
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

// apply adds one frame. The first frame of what is left of the log says after
// which index the log begins.
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

// reopen opens the newest segment for writing. What was read from it may never
// have been synced, as after a crash of the process alone.
func (l *Log) reopen() error {
	if len(l.segments) == 0 {
		return storageError("sync folder", l.options.FS.SyncFolder(l.options.Folder))
	}
	file, err := l.options.FS.OpenAppend(l.path(l.segments[len(l.segments)-1].first))
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

func storageError(action string, err error) error {
	if err == nil {
		return nil
	}
	return storageFailed(action, err)
}

func corrupt(path string, offset int, reason string) error {
	return fault.New(fault.StorageFailed,
		"write-ahead log: %s at byte %d: %s; remove the whole data folder to rejoin as a new replica",
		filepath.Base(path), offset, reason)
}
