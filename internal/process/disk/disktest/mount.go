package disktest

import (
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

// mount is a file system returned by Disk.Mount.
type mount struct {
	d  *Disk
	id int
}

// withLock calls f while holding the disk's mutex. It returns ErrUnmounted if the mount
// is no longer usable.
func (m mount) withLock(f func() error) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	if m.id != m.d.currentMount {
		return ErrUnmounted
	}
	return f()
}

func (m mount) MkdirAll(string) error { return m.withLock(func() error { return nil }) }

func (m mount) List(folder string) (names []string, err error) {
	err = m.withLock(func() error {
		for p := range m.d.files {
			if filepath.Dir(p) == folder {
				names = append(names, filepath.Base(p))
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

func (m mount) ReadFile(path string) (b []byte, err error) {
	err = m.withLock(func() error {
		c, ok := m.d.files[path]
		if !ok {
			return fs.ErrNotExist
		}
		b = slices.Clone(c.data)
		return nil
	})
	return b, err
}

func (m mount) Create(path string) (f disk.File, err error) {
	err = m.withLock(func() error {
		c := &content{}
		m.d.files[path] = c
		f = file{m, c}
		return nil
	})
	return f, err
}

func (m mount) OpenAppend(path string) (f disk.File, err error) {
	err = m.withLock(func() error {
		c, ok := m.d.files[path]
		if !ok {
			return fs.ErrNotExist
		}
		f = file{m, c}
		return nil
	})
	return f, err
}

func (m mount) Truncate(path string, size int64) error {
	return m.withLock(func() error {
		c, ok := m.d.files[path]
		if !ok {
			return fs.ErrNotExist
		}
		c.data = slices.Clone(c.data[:size])
		return nil
	})
}

func (m mount) Rename(from, to string) error {
	return m.withLock(func() error {
		c, ok := m.d.files[from]
		if !ok {
			return fs.ErrNotExist
		}
		delete(m.d.files, from)
		m.d.files[to] = c
		return nil
	})
}

func (m mount) Remove(path string) error {
	return m.withLock(func() error {
		if _, ok := m.d.files[path]; !ok {
			return fs.ErrNotExist
		}
		delete(m.d.files, path)
		return nil
	})
}

func (m mount) SyncFolder(folder string) error {
	return m.withLock(func() error {
		if m.d.faults.FailSync {
			return ErrSync
		}
		maps.DeleteFunc(m.d.syncedFiles, func(p string, _ *content) bool { return filepath.Dir(p) == folder })
		for p, c := range m.d.files {
			if filepath.Dir(p) == folder {
				m.d.syncedFiles[p] = c
			}
		}
		return nil
	})
}

// file implements disk.File.
type file struct {
	m mount
	c *content
}

func (f file) Write(b []byte) (n int, err error) {
	err = f.m.withLock(func() error {
		n = len(b)
		faults := &f.m.d.faults
		if faults.LimitBytes {
			n = min(n, faults.FreeBytes)
			faults.FreeBytes -= n
		}
		f.c.data = append(slices.Clip(f.c.data), b[:n]...)
		if n < len(b) {
			return ErrFull
		}
		return nil
	})
	return n, err
}

func (f file) Sync() error {
	var delay func() time.Duration
	_ = f.m.withLock(func() error {
		delay = f.m.d.faults.SyncDelay
		return nil
	})
	if delay != nil {
		time.Sleep(delay())
	}
	return f.m.withLock(func() error {
		if f.m.d.faults.FailSync {
			return ErrSync
		}
		f.c.synced = f.c.data
		return nil
	})
}

func (f file) Close() error { return nil }
