// Package snapshot stores the applied state of a replica in one checksummed file. A new
// snapshot is written to a temporary file, synced and renamed, and the folder is synced;
// then the previous snapshot is removed.
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

// Store keeps the newest snapshot in a folder. It is not safe for concurrent use.
type Store struct {
	fs     disk.FS
	folder string
}

// Open returns the store in folder and creates the folder if it does not exist.
func Open(fs disk.FS, folder string) (*Store, error) {
	if err := fs.MkdirAll(folder); err != nil {
		return nil, storageFailed("create folder", err)
	}
	return &Store{fs: fs, folder: folder}, nil
}

// Save stores a snapshot and returns once it is durable. Errors have the kind
// StorageFailed; the previous snapshot is then still in place.
func (s *Store) Save(file *chicoryv1.SnapshotFile) error {
	b, err := Encode(file)
	if err != nil {
		return errors.Trace(err)
	}
	name := fmt.Sprintf("%020d%s", file.GetIndex(), suffix)
	if err := disk.WriteFileAtomic(s.fs, s.folder, temporaryName, name, b); err != nil {
		return storageFailed("save", err)
	}
	return s.removeOthers(name)
}

func (s *Store) removeOthers(keep string) error {
	names, err := s.list()
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

// list returns the file names of the snapshots in the folder, oldest first.
func (s *Store) list() ([]string, error) {
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

// Load returns the newest snapshot, or nil if there is none. A corrupt snapshot is
// rejected with the kind StorageFailed.
func (s *Store) Load() (*chicoryv1.SnapshotFile, error) {
	names, err := s.list()
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

// Clear removes all snapshots, for example those of an earlier incarnation.
func (s *Store) Clear() error {
	return s.removeOthers("")
}

// Encode returns the encoded file with its checksum.
func Encode(file *chicoryv1.SnapshotFile) ([]byte, error) {
	payload, err := proto.Marshal(file)
	if err != nil {
		return nil, storageFailed("encode", err)
	}
	if len(payload) > disk.MaxFrameBytes {
		return nil, storageFailed("encode", errors.Errorf("snapshot of %d bytes is too large", len(payload)))
	}
	return disk.AppendFrame(nil, payload), nil
}

// Decode decodes the output of Encode. Errors have the kind StorageFailed.
func Decode(b []byte) (*chicoryv1.SnapshotFile, error) {
	payload, size, ok := disk.ReadFrame(b)
	if !ok || size != len(b) {
		return nil, storageFailed("read", errors.New("corrupt file"))
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
