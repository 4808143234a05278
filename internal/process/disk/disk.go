// Package disk is the small set of file operations on which the durable formats
// are built, so that tests can put torn writes and failing syncs in their place.
package disk

import (
	"io"
	"os"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// File is an open file that is written at its end.
type File interface {
	io.Writer
	// Sync returns when everything written so far survives a crash of the VM.
	Sync() error
	Close() error
}

// FS is a file system. Names of files in a folder survive a crash only after
// SyncFolder; their content survives only after File.Sync.
type FS interface {
	MkdirAll(folder string) error
	// List returns the names of the files in folder, sorted.
	List(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create makes a new, empty file or empties an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	// Truncate cuts a file to size bytes. Sync the file afterwards.
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(folder string) error
}

// OS is the file system of the machine.
type OS struct{}

var _ FS = OS{}

// MkdirAll makes folder and its parents.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

// List returns the names of the files in folder, sorted.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile reads a whole file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create makes a new, empty file or empties an existing one.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// OpenAppend opens an existing file for writing at its end.
func (OS) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate cuts a file to size bytes.
func (OS) Truncate(path string, size int64) error { return os.Truncate(path, size) }

// Rename gives a file another name, replacing what had it.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the names in folder survive a crash.
func (OS) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
