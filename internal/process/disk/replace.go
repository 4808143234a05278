package disk

import (
	"path/filepath"

	"github.com/juju/errors"
)

// Replace gives the file name in folder the content b. It returns when that is
// durable; a crash before leaves the former file as it was. temporary is the name of
// the file that is written first, which must be no other's. Errors name the step.
func Replace(fs FS, folder, temporary, name string, b []byte) error {
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
		err = errors.Errorf("%d of %d bytes written", n, len(b))
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Annotate(err, "write")
}
