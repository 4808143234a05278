package quarantine

import "time"

// maxBegins is the number of parts in one generation of beginTimes.
const maxBegins = 4096

// beginTimes holds when answers last began to requests with parts. It forgets the parts whose
// answers began longest ago. The zero value is empty.
type beginTimes struct{ recent, previous map[string]time.Time }

func (b *beginTimes) set(part string, at time.Time) {
	if len(b.recent) >= maxBegins || b.recent == nil {
		b.recent, b.previous = map[string]time.Time{}, b.recent
	}
	b.recent[part] = at
}

// get returns the zero time if no answer has begun, or none is known any more.
func (b *beginTimes) get(part string) time.Time {
	if at, ok := b.recent[part]; ok {
		return at
	}
	return b.previous[part]
}
