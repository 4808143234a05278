// Package disk defines the file operations that durable storage is built on, as an
// interface, so that tests can inject torn writes and failing syncs.
package disk

import (
	"io"
	"os"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync returns once everything written so far would survive a crash of the VM.
	Sync() error
	Close() error
}

// FS is a file system. Directory entries survive a crash only after SyncFolder, and
// file content only after File.Sync.
type FS interface {
	MkdirAll(folder string) error
	// List returns the names of the files in folder, sorted.
	List(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file or truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// Truncate truncates a file to size bytes. The caller must sync the file afterwards.
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(folder string) error
}

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// MkdirAll creates folder and its missing parents.
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

// Create creates an empty file or truncates an existing one.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// OpenAppend opens an existing file for appending.
func (OS) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate truncates a file to size bytes.
func (OS) Truncate(path string, size int64) error { return os.Truncate(path, size) }

// Rename renames a file and replaces an existing file of that name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the directory entries of folder durable.
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
