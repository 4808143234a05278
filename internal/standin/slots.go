package standin

import (
	"context"
	"sync"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// slots limits the number of concurrent requests. Waiting requests get a slot in the order
// of their priority, then of their arrival.
type slots struct {
	mu      sync.Mutex // guards the fields below
	free    int
	running int
	waiting []*waiter // in the order in which they get a slot
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority chicoryv1.Priority
	ready    chan struct{} // closed when the request gets a slot
}

func newSlots(n int) *slots {
	return &slots{free: n}
}

// acquire waits for a slot. It returns false if ctx ends or done is closed first.
func (s *slots) acquire(ctx context.Context, done <-chan struct{}, p chicoryv1.Priority) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return true
	}
	w := &waiter{priority: p, ready: make(chan struct{})}
	s.insert(w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	case <-done:
	}
	if s.remove(w) {
		return false
	}
	s.release()
	return false
}

// insert adds w to waiting, after all requests of the same or a higher priority. The caller
// holds mu.
func (s *slots) insert(w *waiter) {
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].priority < w.priority {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = w
}

// remove removes w from waiting and reports whether it was still there.
func (s *slots) remove(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.waiting {
		if x == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release passes the slot to the first waiting request, or frees it.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		close(next.ready)
		return
	}
	s.free++
	s.running--
}

func (s *slots) runningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *slots) queuedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
