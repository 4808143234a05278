package observe

import (
	"sync"
	"time"
)

// maxHintsPerPrefix bounds the targets remembered for one prefix.
const maxHintsPerPrefix = 8

// maxPrefixes bounds the prefixes remembered; beyond it, new ones replace others.
const maxPrefixes = 1 << 16

// hint says that a target may have a prefix cached until it expires.
type hint struct {
	address string
	expires time.Time
}

// Hints maps prefix hashes to targets that may have them cached. Cache events
// come late and with gaps, so a hint may be wrong in both ways; a wrong one costs
// a prefill and nothing else. It is safe for concurrent use.
type Hints struct {
	lifetime time.Duration
	mu       sync.RWMutex // guards byPrefix and byTarget
	byPrefix map[uint64][]hint
	byTarget map[string]map[uint64]struct{}
}

// NewHints returns an empty set whose entries last for lifetime.
func NewHints(lifetime time.Duration) *Hints {
	return &Hints{
		lifetime: lifetime,
		byPrefix: map[uint64][]hint{},
		byTarget: map[string]map[uint64]struct{}{},
	}
}

// Add notes that the target has the prefix cached, or will have it soon.
func (h *Hints) Add(prefix uint64, address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	expires := now.Add(h.lifetime)
	list := h.byPrefix[prefix]
	for i := range list {
		if list[i].address == address {
			list[i].expires = expires
			return
		}
	}
	if len(list) >= maxHintsPerPrefix {
		h.remove(prefix, list[0].address)
		list = h.byPrefix[prefix]
	}
	if len(list) == 0 && len(h.byPrefix) >= maxPrefixes {
		h.evictAny()
	}
	h.byPrefix[prefix] = append(list, hint{address, expires})
	if h.byTarget[address] == nil {
		h.byTarget[address] = map[uint64]struct{}{}
	}
	h.byTarget[address][prefix] = struct{}{}
}

// evictAny drops one prefix. The caller holds mu.
func (h *Hints) evictAny() {
	for prefix, list := range h.byPrefix {
		for _, x := range list {
			delete(h.byTarget[x.address], prefix)
		}
		delete(h.byPrefix, prefix)
		return
	}
}

// Remove notes that the target evicted the prefix.
func (h *Hints) Remove(prefix uint64, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(prefix, address)
}

// remove is Remove for a caller that holds mu.
func (h *Hints) remove(prefix uint64, address string) {
	delete(h.byTarget[address], prefix)
	list := h.byPrefix[prefix]
	kept := list[:0]
	for _, x := range list {
		if x.address != address {
			kept = append(kept, x)
		}
	}
	if len(kept) == 0 {
		delete(h.byPrefix, prefix)
		return
	}
	h.byPrefix[prefix] = kept
}

// Shorten lets the target's hints expire after remaining, as its events have a gap.
func (h *Hints) Shorten(address string, remaining time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := now.Add(remaining)
	for prefix := range h.byTarget[address] {
		list := h.byPrefix[prefix]
		for i := range list {
			if list[i].address == address && list[i].expires.After(limit) {
				list[i].expires = limit
			}
		}
	}
}

// DropTarget forgets all hints of a target, for one that restarted or left.
func (h *Hints) DropTarget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for prefix := range h.byTarget[address] {
		h.remove(prefix, address)
	}
	delete(h.byTarget, address)
}

// Has reports whether there is a live hint that the target has the prefix.
func (h *Hints) Has(prefix uint64, address string, now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, x := range h.byPrefix[prefix] {
		if x.address == address {
			return now.Before(x.expires)
		}
	}
	return false
}

// Targets appends to dst the addresses with a live hint for the prefix.
func (h *Hints) Targets(dst []string, prefix uint64, now time.Time) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, x := range h.byPrefix[prefix] {
		if now.Before(x.expires) {
			dst = append(dst, x.address)
		}
	}
	return dst
}
