package disk

import (
	"path/filepath"

	"github.com/juju/errors"
)

// WriteFileAtomic atomically replaces the content of the file name in folder with b. It returns
// once the new content is durable; after an earlier crash the file still has its previous
// content. b is first written to the file temporary in the same folder, which nothing
// else may use. Errors name the step that failed.
func WriteFileAtomic(fs FS, folder, temporary, name string, b []byte) error {
	if err := writeSynced(fs, filepath.Join(folder, temporary), b); err != nil {
		return errors.Trace(err)
	}
	if err := fs.Rename(filepath.Join(folder, temporary), filepath.Join(folder, name)); err != nil {
		return errors.Annotate(err, "rename")
	}
	return errors.Annotate(fs.SyncFolder(folder), "sync folder")
}

func writeSynced(fs FS, path string, b []byte) error {
	f, err := fs.Create(path)
	if err != nil {
		return errors.Annotate(err, "create")
	}
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = errors.Errorf("short write: %d of %d bytes", n, len(b))
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Annotate(err, "write")
}
