// Package disktest is a disk in memory for tests. It forgets what was not
// synced when it crashes, and fails on demand.
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

// Errors that the disk gives.
var (
	ErrUnmounted = errors.New("disk was taken away")
	ErrFull      = errors.New("no space left on device")
	ErrSync      = errors.New("input/output error")
)

// Disk is one disk. It is safe for concurrent use.
type Disk struct {
	mu      sync.Mutex // guards the fields below
	names   map[string]*content
	durable map[string]*content // names that survive a crash
	mounts  int                 // number of the mount that may be used
	faults  Faults
}

// Faults are failures that can be switched on.
type Faults struct {
	// FreeBytes is how much can still be written, if LimitBytes is set. A write
	// beyond it is cut short.
	FreeBytes  int
	LimitBytes bool
	FailSync   bool
	// SyncDelay returns how long a sync takes; nil means no time.
	SyncDelay func() time.Duration
}

type content struct {
	data   []byte
	synced []byte
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*content{}, durable: map[string]*content{}}
}

// SetFaults switches failures on and off.
func (d *Disk) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Mount returns the file system of a new process. Those returned before fail
// from now on.
func (d *Disk) Mount() disk.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mounts++
	return mount{d, d.mounts}
}

// Unmount makes all file systems fail, as when the process is killed. What was
// written stays, synced or not.
func (d *Disk) Unmount() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mounts++
}

// Crash makes all file systems fail and loses a drawn part of what was not
// synced. draw(n) returns a number below n.
func (d *Disk) Crash(draw func(n int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mounts++
	after := map[string]*content{}
	all := map[string]bool{}
	for p := range d.names {
		all[p] = true
	}
	for p := range d.durable {
		all[p] = true
	}
	for _, p := range slices.Sorted(maps.Keys(all)) {
		c := d.names[p]
		if c != d.durable[p] && draw(2) == 0 {
			c = d.durable[p]
		}
		if c != nil {
			after[p] = c.afterCrash(draw)
		}
	}
	d.names = after
	d.durable = maps.Clone(after)
}

// afterCrash keeps what was synced and a drawn part of the rest, perhaps with a
// hole.
func (c *content) afterCrash(draw func(n int) int) *content {
	data := c.synced
	if bytes.HasPrefix(c.data, c.synced) {
		rest := len(c.data) - len(c.synced)
		data = slices.Clone(c.data[:len(c.synced)+draw(rest+1)])
		if n := len(data) - len(c.synced); n > 0 && draw(4) == 0 {
			hole := len(c.synced) + draw(n)
			clear(data[hole : hole+draw(len(data)-hole)])
		}
	}
	return &content{data: data, synced: data}
}

// Wipe makes all file systems fail and empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mounts++
	d.names = map[string]*content{}
	d.durable = map[string]*content{}
}

// Corrupt changes one byte of a file, counted from its end if at is negative.
func (d *Disk) Corrupt(path string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.names[path]
	data := slices.Clone(c.data)
	if at < 0 {
		at += len(data)
	}
	data[at] ^= 0xff
	c.data, c.synced = data, data
}

// Files returns the paths of all files whose name has the suffix, sorted.
func (d *Disk) Files(suffix string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var paths []string
	for p := range d.names {
		if strings.HasSuffix(p, suffix) {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	return paths
}
