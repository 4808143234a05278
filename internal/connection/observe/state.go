// Package observe keeps what a router knows of each target from outside its own
// requests: load reports, signs that the target leaves, silence, and hints about
// cached prompt prefixes. One task per target fills it, and one task reads the
// platform's list.
package observe

import (
	"sync"
	"sync/atomic"
	"time"
)

// Report is one load report as the router uses it.
type Report struct {
	Version string
	// Load is the number of running and queued requests.
	Load int
	// Capacity is the number of requests that the target runs at once; 0 means unknown.
	Capacity int
	Leaving  bool
	// TakenAt is when the target took the figures.
	TakenAt time.Time
	// others is a moving average of the requests of other routers.
	others float64
}

// othersWeight is the weight of a new report in that average. Calls are shorter
// than the time between reports, so one report alone says little of the next moment.
const othersWeight = 0.4

// samplesKept is the number of in-flight counts that a state remembers; at the
// default poll interval they reach back 4 s.
const samplesKept = 16

// sample is an in-flight count at a time.
type sample struct {
	at  time.Time
	own int64
}

// State is what is known of one target. It is safe for concurrent use.
type State struct {
	address        string
	reportLifetime time.Duration
	silentAfter    time.Duration

	inFlight        atomic.Int64
	report          atomic.Pointer[Report]
	platformLeaving atomic.Bool
	// silentSince is the Unix time in nanoseconds of the start of the first poll
	// that failed since the last answer; 0 while polls are answered.
	silentSince atomic.Int64

	mu      sync.Mutex // guards samples
	samples []sample
}

// Address returns the target's IP:port.
func (s *State) Address() string { return s.address }

// Begin counts one request that this router gives to the target.
func (s *State) Begin() { s.inFlight.Add(1) }

// End counts the end of a request.
func (s *State) End() { s.inFlight.Add(-1) }

// InFlight returns the number of this router's requests at the target.
func (s *State) InFlight() int64 { return s.inFlight.Load() }

// Report returns the last report, or nil when there was none.
func (s *State) Report() *Report { return s.report.Load() }

// Sample remembers the in-flight count of now, so that a lagging report can be
// compared with the count of its own time. The poller calls it before each poll.
func (s *State) Sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == samplesKept {
		copy(s.samples, s.samples[1:])
		s.samples = s.samples[:samplesKept-1]
	}
	s.samples = append(s.samples, sample{now, s.inFlight.Load()})
}

// SetReport puts r in force and ends a silence.
func (s *State) SetReport(r Report) {
	r.others = float64(max(int64(r.Load)-s.ownAt(r.TakenAt), 0))
	if last := s.report.Load(); last != nil && r.TakenAt.Sub(last.TakenAt) < s.reportLifetime {
		r.others = last.others + othersWeight*(r.others-last.others)
	}
	s.report.Store(&r)
	s.silentSince.Store(0)
}

// ownAt returns the in-flight count at t: that of the last sample not after t,
// or the oldest one.
func (s *State) ownAt(t time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return s.inFlight.Load()
	}
	own := s.samples[0].own
	for _, x := range s.samples {
		if x.at.After(t) {
			break
		}
		own = x.own
	}
	return own
}

// PollFailed notes that a poll that began at begin got no answer.
func (s *State) PollFailed(begin time.Time) {
	s.silentSince.CompareAndSwap(0, begin.UnixNano())
}

// PollAnswered notes that the target answered, be it with an error.
func (s *State) PollAnswered() {
	s.silentSince.Store(0)
}

// SilentSince returns the start of a silence that has lasted for the time that
// the settings name, and whether there is one.
func (s *State) SilentSince(now time.Time) (time.Time, bool) {
	since := s.silentSince.Load()
	if since == 0 || now.UnixNano()-since < int64(s.silentAfter) {
		return time.Time{}, false
	}
	return time.Unix(0, since), true
}

// SetPlatformLeaving notes what the platform's list says.
func (s *State) SetPlatformLeaving(leaving bool) {
	s.platformLeaving.Store(leaving)
}

// Leaving reports whether the target or the platform says that it leaves, and who.
// The target's last word counts however old it is.
func (s *State) Leaving() (by string, leaving bool) {
	if r := s.report.Load(); r != nil && r.Leaving {
		return "own report", true
	}
	if s.platformLeaving.Load() {
		return "platform list", true
	}
	return "", false
}

// Load estimates the requests at the target now: this router's own, and those of
// others as reports show them.
func (s *State) Load(now time.Time) float64 {
	own := float64(s.inFlight.Load())
	r := s.report.Load()
	if r == nil || now.Sub(r.TakenAt) > s.reportLifetime {
		return own
	}
	return own + r.others
}
