package declared

import (
	"sync"
	"sync/atomic"
)

// Holder holds the current view. The version only increases while the process runs.
type Holder struct {
	view atomic.Pointer[View]
	mu   sync.Mutex // serializes updates
}

// Current returns the current view, or nil if there is none yet.
func (h *Holder) Current() *View { return h.view.Load() }

// Version returns the current version, or 0 if there is none yet.
func (h *Holder) Version() uint64 {
	if v := h.view.Load(); v != nil {
		return v.Version()
	}
	return 0
}

// Update makes c the current configuration if its version is higher than the current one,
// and reports whether it did.
func (h *Holder) Update(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Version() {
		return false
	}
	h.view.Store(NewView(c))
	return true
}
