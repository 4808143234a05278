// Package disktest provides an in-memory disk for tests, which can lose unsynced data in
// a simulated crash and inject I/O errors.
package disktest

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

// Errors returned by file operations on a Disk.
var (
	ErrUnmounted = errors.New("file system is unmounted")
	ErrFull      = errors.New("no space left on device")
	ErrSync      = errors.New("input/output error")
)

// Disk is a simulated disk. It is safe for concurrent use.
type Disk struct {
	mu           sync.Mutex // guards the fields below
	files        map[string]*content
	syncedFiles  map[string]*content // directory entries that survive a crash
	currentMount int                 // id of the only mount that is usable
	faults       Faults
}

// Faults are the I/O faults that can be injected.
type Faults struct {
	// FreeBytes is the number of bytes that can still be written if LimitBytes is set.
	// A larger write is truncated and fails.
	FreeBytes  int
	LimitBytes bool
	FailSync   bool
	// SyncDelay returns how long a sync takes; nil means no delay.
	SyncDelay func() time.Duration
}

type content struct {
	data   []byte
	synced []byte
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*content{}, syncedFiles: map[string]*content{}}
}

// SetFaults replaces the injected faults.
func (d *Disk) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Mount returns a file system for a new process. All file systems returned before stop
// working.
func (d *Disk) Mount() disk.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentMount++
	return mount{d, d.currentMount}
}

// Unmount makes all mounted file systems fail, as if the process had been killed.
// Written data is kept whether or not it was synced.
func (d *Disk) Unmount() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentMount++
}

// Crash makes all mounted file systems fail and loses a random part of the unsynced
// data, as a crash of the VM does. intn(n) returns a number in [0, n).
func (d *Disk) Crash(intn func(n int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentMount++
	after := map[string]*content{}
	all := map[string]bool{}
	for p := range d.files {
		all[p] = true
	}
	for p := range d.syncedFiles {
		all[p] = true
	}
	for _, p := range slices.Sorted(maps.Keys(all)) {
		c := d.files[p]
		if c != d.syncedFiles[p] && intn(2) == 0 {
			c = d.syncedFiles[p]
		}
		if c != nil {
			after[p] = c.afterCrash(intn)
		}
	}
	d.files = after
	d.syncedFiles = maps.Clone(after)
}

// afterCrash returns the synced data followed by a random part of the unsynced data, in
// which a range may be zeroed.
func (c *content) afterCrash(intn func(n int) int) *content {
	data := c.synced
	if bytes.HasPrefix(c.data, c.synced) {
		rest := len(c.data) - len(c.synced)
		data = slices.Clone(c.data[:len(c.synced)+intn(rest+1)])
		if n := len(data) - len(c.synced); n > 0 && intn(4) == 0 {
			hole := len(c.synced) + intn(n)
			clear(data[hole : hole+intn(len(data)-hole)])
		}
	}
	return &content{data: data, synced: data}
}

// Wipe makes all mounted file systems fail and deletes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentMount++
	d.files = map[string]*content{}
	d.syncedFiles = map[string]*content{}
}

// Corrupt inverts the byte of a file at offset, which counts from the end if negative.
func (d *Disk) Corrupt(path string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.files[path]
	data := slices.Clone(c.data)
	if offset < 0 {
		offset += len(data)
	}
	data[offset] ^= 0xff
	c.data, c.synced = data, data
}

// Files returns the sorted paths of all files whose names end in suffix.
func (d *Disk) Files(suffix string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var paths []string
	for p := range d.files {
		if strings.HasSuffix(p, suffix) {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	return paths
}
