package disktest

import (
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

// mount is the file system of one process.
type mount struct {
	d      *Disk
	number int
}

// use runs f on the disk unless the mount was taken away.
func (m mount) use(f func() error) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	if m.number != m.d.mounts {
		return ErrUnmounted
	}
	return f()
}

func (m mount) MkdirAll(string) error { return m.use(func() error { return nil }) }

func (m mount) List(folder string) (names []string, err error) {
	err = m.use(func() error {
		for p := range m.d.names {
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
	err = m.use(func() error {
		c, ok := m.d.names[path]
		if !ok {
			return fs.ErrNotExist
		}
		b = slices.Clone(c.data)
		return nil
	})
	return b, err
}

func (m mount) Create(path string) (f disk.File, err error) {
	err = m.use(func() error {
		c := &content{}
		m.d.names[path] = c
		f = file{m, c}
		return nil
	})
	return f, err
}

func (m mount) OpenAppend(path string) (f disk.File, err error) {
	err = m.use(func() error {
		c, ok := m.d.names[path]
		if !ok {
			return fs.ErrNotExist
		}
		f = file{m, c}
		return nil
	})
	return f, err
}

func (m mount) Truncate(path string, size int64) error {
	return m.use(func() error {
		c, ok := m.d.names[path]
		if !ok {
			return fs.ErrNotExist
		}
		c.data = slices.Clone(c.data[:size])
		return nil
	})
}

func (m mount) Rename(from, to string) error {
	return m.use(func() error {
		c, ok := m.d.names[from]
		if !ok {
			return fs.ErrNotExist
		}
		delete(m.d.names, from)
		m.d.names[to] = c
		return nil
	})
}

func (m mount) Remove(path string) error {
	return m.use(func() error {
		if _, ok := m.d.names[path]; !ok {
			return fs.ErrNotExist
		}
		delete(m.d.names, path)
		return nil
	})
}

func (m mount) SyncFolder(folder string) error {
	return m.use(func() error {
		if m.d.faults.FailSync {
			return ErrSync
		}
		maps.DeleteFunc(m.d.durable, func(p string, _ *content) bool { return filepath.Dir(p) == folder })
		for p, c := range m.d.names {
			if filepath.Dir(p) == folder {
				m.d.durable[p] = c
			}
		}
		return nil
	})
}

// file is an open file of a mount.
type file struct {
	m mount
	c *content
}

func (f file) Write(b []byte) (n int, err error) {
	err = f.m.use(func() error {
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
	_ = f.m.use(func() error {
		delay = f.m.d.faults.SyncDelay
		return nil
	})
	if delay != nil {
		time.Sleep(delay())
	}
	return f.m.use(func() error {
		if f.m.d.faults.FailSync {
			return ErrSync
		}
		f.c.synced = f.c.data
		return nil
	})
}

func (f file) Close() error { return nil }
