package declared

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the view in force. Its version only grows while the process runs.
type Holder struct {
	view atomic.Pointer[View]
	mu   sync.Mutex // serializes swaps
}

// Current returns the view in force, or nil before the first one.
func (h *Holder) Current() *View { return h.view.Load() }

// Version returns the version in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	if v := h.view.Load(); v != nil {
		return v.Version()
	}
	return 0
}

// Put takes c into force if its version is higher than the one in force, and
// reports whether it did.
func (h *Holder) Put(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Version() {
		return false
	}
	h.view.Store(NewView(c))
	return true
}
