package standin

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// PrefixHash returns the hash that identifies a prompt in cache events and for prefix
// affinity.
func PrefixHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// cacheEvent says that a prompt was added to the cache or evicted from it.
type cacheEvent struct {
	sequence uint64
	hash     uint64
	evicted  bool
}

// prefixCache is an LRU set of prompt hashes that publishes its changes to listeners.
type prefixCache struct {
	mu        sync.Mutex // guards the fields below
	limit     int
	order     *list.List // prompt hashes (uint64), most recently used first
	items     map[uint64]*list.Element
	sequence  uint64
	listeners map[chan cacheEvent]struct{}
}

// cacheEventBuffer is the number of unread events that a listener can have.
const cacheEventBuffer = 256

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		limit:     limit,
		order:     list.New(),
		items:     map[uint64]*list.Element{},
		listeners: map[chan cacheEvent]struct{}{},
	}
}

// use marks the prompt as most recently used, adding it if needed, and reports whether it
// was cached. If the cache is full, the least recently used prompt is evicted.
func (c *prefixCache) use(hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.items[hash]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.items[hash] = c.order.PushFront(hash)
	c.publish(hash, false)
	if c.order.Len() > c.limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.items, oldest.Value.(uint64))
		c.publish(oldest.Value.(uint64), true)
	}
	return false
}

// publish sends an event to all listeners. A listener whose buffer is full misses it. The
// caller holds mu.
func (c *prefixCache) publish(hash uint64, evicted bool) {
	c.sequence++
	for l := range c.listeners {
		select {
		case l <- cacheEvent{c.sequence, hash, evicted}:
		default:
		}
	}
}

// listen returns a channel of events and a function that stops sending to it.
func (c *prefixCache) listen() (<-chan cacheEvent, func()) {
	l := make(chan cacheEvent, cacheEventBuffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners[l] = struct{}{}
	return l, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.listeners, l)
	}
}
