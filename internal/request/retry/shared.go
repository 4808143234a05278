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
	// ownPart is the part of the bound that entry VMs spend by their own accounts, each
	// its share of it.
	ownPart = 0.3
	// saved is the part of an own account that may be spent at once; the rest comes
	// evenly over the window.
	saved = 0.5
	// resumePart is the part that only resumes may take.
	resumePart = 0.5
	// leastRate keeps resumes from waiting for good, in attempts a second.
	leastRate = 0.1
)

// Own returns the settings of the account of one of the entry VMs. Over any window
// all accounts together allow ownPart of the bound, but each at least one attempt.
func (b Bound) Own(entries int) Settings {
	share := b.Extra * ownPart / float64(max(entries, 1))
	s := Defaults()
	s.Share = min(b.Ratio*ownPart, 1)
	s.Burst = max(share*saved*(1-resumePart), 1)
	s.ResumeBurst = max(share*saved*resumePart, 1)
	s.ResumeRate = max(share*(1-saved)/b.Window.Seconds(), leastRate)
	return s
}

const (
	// sharedPart is the part of the bound that is spent by the common count. The rest is
	// left for what entry VMs spend before they hear of each other, and for each one's
	// own account.
	sharedPart = 0.5
	// hedgePart is the same for hedges, which help least.
	hedgePart = 0.25
	// unheard is the number of rounds of sharing in which what the others spend isn't
	// known yet: it is told in one and passed on in the next.
	unheard = 2
	// othersLifetime is the age at which the others' use is no longer counted on.
	othersLifetime = 1500 * time.Millisecond
	// retryRound is the time after which the others' use is told again.
	retryRound = 150 * time.Millisecond
	// windowSlices divides the window for counting.
	windowSlices = 20
)

// Shared implements request.RetryBudget by one bound that all entry VMs share. While
// their common use, as they tell each other, is well below the bound, any of them
// may spend: losses often meet few of them. Otherwise each keeps to its own account.
type Shared struct {
	bound Bound
	own   *Budget

	mu       sync.Mutex // guards the fields below
	counts   [windowSlices + 1]Use
	slice    int64 // number of the newest slice
	others   Use
	othersAt time.Time
	entries  int
	// spent is what was spent by the common count since the others' use was told.
	spent float64
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

// SetOthers takes in what the other entry VMs sent within the window, and how many
// entry VMs there are, this one included.
func (s *Shared) SetOthers(u Use, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others, s.othersAt, s.entries = u, time.Now(), max(entries, 1)
	s.spent = 0
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
		return true, 0
	}
	// The common bound may allow it as soon as the others' use is told again.
	return false, min(wait, retryRound)
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
	left := part*limit - float64(own.Further+s.others.Further)
	// All entry VMs may be at it: what each spends in a round is a part of what is left.
	if left < 1 || s.spent >= max(left/float64(unheard*s.entries), 1) {
		return false
	}
	s.spent++
	s.current(now).Further++
	return true
}

// current returns the count of the slice of now. The caller holds mu.
func (s *Shared) current(now time.Time) *Use {
	slice := now.UnixNano() / (int64(s.bound.Window) / windowSlices)
	for n := max(s.slice+1, slice-windowSlices); n <= slice; n++ {
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
