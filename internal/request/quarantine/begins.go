package quarantine

import "time"

// maxBegins is the number of keys in one generation of beginTimes.
const maxBegins = 4096

// beginTimes holds when answers last began to requests with keys. It forgets the keys whose
// answers began longest ago. The zero value is empty.
type beginTimes struct{ recent, previous map[string]time.Time }

func (b *beginTimes) set(key string, at time.Time) {
	if len(b.recent) >= maxBegins || b.recent == nil {
		b.recent, b.previous = map[string]time.Time{}, b.recent
	}
	b.recent[key] = at
}

// get returns the zero time if no answer has begun, or none is known any more.
func (b *beginTimes) get(key string) time.Time {
	if at, ok := b.recent[key]; ok {
		return at
	}
	return b.previous[key]
}
