// Package snapshot stores the applied state of a replica in one checksummed
// file. A new snapshot is written to a temporary file, synced and renamed, and
// the folder is synced before Save returns; the former one is removed after.
package snapshot

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

const (
	suffix        = ".snapshot"
	temporaryName = "snapshot.tmp"
)

// Store keeps the newest snapshot in a folder. It has one user at a time.
type Store struct {
	fs     disk.FS
	folder string
}

// Open returns the store in folder and makes the folder if there is none.
func Open(fs disk.FS, folder string) (*Store, error) {
	if err := fs.MkdirAll(folder); err != nil {
		return nil, storageFailed("make folder", err)
	}
	return &Store{fs: fs, folder: folder}, nil
}

// Save returns when the snapshot is durable. An error has the kind
// StorageFailed; the former snapshot is then still in place.
func (s *Store) Save(file *chicoryv1.SnapshotFile) error {
	b, err := Encode(file)
	if err != nil {
		return errors.Trace(err)
	}
	name := fmt.Sprintf("%020d%s", file.GetIndex(), suffix)
	if err := disk.Replace(s.fs, s.folder, temporaryName, name, b); err != nil {
		return storageFailed("save", err)
	}
	return s.removeOthers(name)
}

func (s *Store) removeOthers(keep string) error {
	names, err := s.names()
	if err != nil {
		return errors.Trace(err)
	}
	for _, name := range names {
		if name == keep {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return storageFailed("remove old snapshot", err)
		}
	}
	return nil
}

// names returns the snapshots in the folder, oldest first.
func (s *Store) names() ([]string, error) {
	all, err := s.fs.List(s.folder)
	if err != nil {
		return nil, storageFailed("list folder", err)
	}
	var names []string
	for _, name := range all {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// Load returns the newest snapshot, or nil when there is none. A damaged
// snapshot is refused with the kind StorageFailed.
func (s *Store) Load() (*chicoryv1.SnapshotFile, error) {
	names, err := s.names()
	if err != nil || len(names) == 0 {
		return nil, errors.Trace(err)
	}
	newest := names[len(names)-1]
	b, err := s.fs.ReadFile(filepath.Join(s.folder, newest))
	if err != nil {
		return nil, storageFailed("read", err)
	}
	file, err := Decode(b)
	if err != nil {
		return nil, errors.Annotatef(err, "%s", newest)
	}
	return file, nil
}

// Clear removes all snapshots, as those of a former incarnation.
func (s *Store) Clear() error {
	return s.removeOthers("")
}

// Encode returns the bytes of the file with their checksum.
func Encode(file *chicoryv1.SnapshotFile) ([]byte, error) {
	payload, err := proto.Marshal(file)
	if err != nil {
		return nil, storageFailed("encode", err)
	}
	if len(payload) > disk.MaxFrameBytes {
		return nil, storageFailed("encode", errors.Errorf("%d bytes are too many", len(payload)))
	}
	return disk.AppendFrame(nil, payload), nil
}

// Decode reads what Encode made. It fails with the kind StorageFailed.
func Decode(b []byte) (*chicoryv1.SnapshotFile, error) {
	payload, size, ok := disk.ReadFrame(b)
	if !ok || size != len(b) {
		return nil, storageFailed("read", errors.New("damaged file"))
	}
	file := &chicoryv1.SnapshotFile{}
	if err := proto.Unmarshal(payload, file); err != nil {
		return nil, storageFailed("decode", err)
	}
	return file, nil
}

func storageFailed(action string, err error) error {
	return fault.New(fault.StorageFailed, "snapshot: %s: %v", action, err)
}
