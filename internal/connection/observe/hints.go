package observe

import (
	"sync"
	"time"
)

// maxHintsPerPrefix is the maximum number of targets stored for one prefix.
const maxHintsPerPrefix = 8

// maxPrefixes is the maximum number of prefixes stored. At the limit a new prefix
// replaces an arbitrary one.
const maxPrefixes = 1 << 16

// hint records that a target may have a prefix cached until the hint expires.
type hint struct {
	address string
	expires time.Time
}

// Hints maps prefix hashes to the targets that may have the prefix cached. Cache events
// arrive late and some are lost, so a hint may be missing or outdated; the only cost of
// that is an extra prefill. It is safe for concurrent use.
type Hints struct {
	lifetime time.Duration
	mu       sync.RWMutex // guards byPrefix and byTarget
	byPrefix map[uint64][]hint
	byTarget map[string]map[uint64]struct{}
}

// NewHints returns an empty set of hints that expire after lifetime.
func NewHints(lifetime time.Duration) *Hints {
	return &Hints{
		lifetime: lifetime,
		byPrefix: map[uint64][]hint{},
		byTarget: map[string]map[uint64]struct{}{},
	}
}

// Add records that the target has the prefix cached or will soon have it.
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
		h.evictArbitraryPrefix()
	}
	h.byPrefix[prefix] = append(list, hint{address, expires})
	if h.byTarget[address] == nil {
		h.byTarget[address] = map[uint64]struct{}{}
	}
	h.byTarget[address][prefix] = struct{}{}
}

// evictArbitraryPrefix removes all hints of one arbitrary prefix. The caller holds mu.
func (h *Hints) evictArbitraryPrefix() {
	for prefix, list := range h.byPrefix {
		for _, x := range list {
			delete(h.byTarget[x.address], prefix)
		}
		delete(h.byPrefix, prefix)
		return
	}
}

// Remove records that the target evicted the prefix from its cache.
func (h *Hints) Remove(prefix uint64, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(prefix, address)
}

// remove implements Remove. The caller holds mu.
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

// LimitLifetime makes the target's hints expire after remaining at the latest, because
// some of its cache events may have been lost.
func (h *Hints) LimitLifetime(address string, remaining time.Duration, now time.Time) {
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

// RemoveTarget removes all hints of a target that was removed from the configuration.
func (h *Hints) RemoveTarget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for prefix := range h.byTarget[address] {
		h.remove(prefix, address)
	}
	delete(h.byTarget, address)
}

// Has reports whether an unexpired hint says that the target has the prefix cached.
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

// Targets appends to dst the addresses of the targets with an unexpired hint for the
// prefix.
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
