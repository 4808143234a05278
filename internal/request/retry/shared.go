package retry

import (
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// Use is what was sent to a service within the window of its bound.
type Use struct {
	Requests int
	// Further counts attempts beyond the first of each request.
	Further int
}

// Bound limits further attempts of one service over all entry VMs, in any window.
type Bound struct {
	// Ratio is the number of further attempts for each request, Extra what may be added.
	Ratio, Extra float64
	Window       time.Duration
}

const (
	// sharedPart is the part of the bound that is spent by the common count. The rest is
	// left for what other entry VMs spend before they hear of each other, and is spent
	// by each one's own account.
	sharedPart = 0.6
	// hedgePart is the same for hedges, which help least.
	hedgePart = 0.3
	// othersLifetime is the age at which the others' use is no longer counted on.
	othersLifetime = 1500 * time.Millisecond
	// slices divides the window for counting.
	slices = 20
)

// Shared implements request.RetryBudget by one bound that all entry VMs share. While
// their common use, as they tell each other, is well below the bound, any of them
// may spend: losses often meet few of them. Otherwise each keeps to its own account.
type Shared struct {
	bound Bound
	own   *Budget

	mu       sync.Mutex // guards the fields below
	counts   [slices + 1]Use
	slice    int64 // number of the newest slice
	others   Use
	othersAt time.Time
}

// NewShared returns a budget that keeps to own where the others' use isn't known.
func NewShared(bound Bound, own *Budget) *Shared {
	return &Shared{bound: bound, own: own}
}

// Own returns what this entry VM sent within the window.
func (s *Shared) Own() Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used(time.Now())
}

// SetOthers takes in what the other entry VMs sent within the window.
func (s *Shared) SetOthers(u Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others, s.othersAt = u, time.Now()
}

// Adjust gives this entry VM's own account new settings.
func (s *Shared) Adjust(settings Settings) { s.own.Adjust(settings) }

// OnRequest implements request.RetryBudget.
func (s *Shared) OnRequest() {
	s.mu.Lock()
	s.current(time.Now()).Requests++
	s.mu.Unlock()
	s.own.OnRequest()
}

// Allow implements request.RetryBudget.
func (s *Shared) Allow(kind request.RetryKind) (ok bool, wait time.Duration) {
	if s.spend(kind) {
		return true, 0
	}
	if ok, wait = s.own.Allow(kind); ok {
		s.mu.Lock()
		s.current(time.Now()).Further++
		s.mu.Unlock()
	}
	return ok, wait
}

// spend takes one attempt from the common bound.
func (s *Shared) spend(kind request.RetryKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.othersAt) > othersLifetime {
		return false
	}
	part := sharedPart
	if kind == request.HedgeCall {
		part = hedgePart
	}
	own := s.used(now)
	limit := s.bound.Ratio*float64(own.Requests+s.others.Requests) + s.bound.Extra
	if float64(own.Further+s.others.Further)+1 > part*limit {
		return false
	}
	s.current(now).Further++
	return true
}

// current returns the count of the slice of now. The caller holds mu.
func (s *Shared) current(now time.Time) *Use {
	slice := now.UnixNano() / (int64(s.bound.Window) / slices)
	for n := max(s.slice+1, slice-slices); n <= slice; n++ {
		s.counts[n%int64(len(s.counts))] = Use{}
	}
	s.slice = max(s.slice, slice)
	return &s.counts[s.slice%int64(len(s.counts))]
}

// used sums the window up. The caller holds mu.
func (s *Shared) used(now time.Time) Use {
	s.current(now)
	var sum Use
	for _, c := range s.counts {
		sum.Requests += c.Requests
		sum.Further += c.Further
	}
	return sum
}
