// Package observe monitors targets independently of the requests that a router sends
// to them. For each target it tracks load reports, whether the target is leaving, failed
// polls, and hints about cached prompt prefixes. One goroutine per target polls it, and
// one more reads the platform's VM list.
package observe

import (
	"sync"
	"sync/atomic"
	"time"
)

// Report is a target's load report.
type Report struct {
	Version string
	// Load is the number of requests that are running or queued at the target.
	Load int
	// Capacity is the number of requests that the target can run concurrently; 0 means
	// unknown.
	Capacity int
	Leaving  bool
	// MeasuredAt is the time at which the target measured its load.
	MeasuredAt time.Time
	// remoteLoad is a moving average of the number of requests from other routers.
	remoteLoad float64
}

// remoteLoadWeight is the weight of a new report in the moving average of the load from
// other routers. Calls are shorter than the interval between reports, so a single report
// predicts the load poorly.
const remoteLoadWeight = 0.4

// maxSamples is the number of in-flight samples kept per target, which cover 4 s at the
// default poll interval.
const maxSamples = 16

// sample is the number of in-flight requests at a point in time.
type sample struct {
	at       time.Time
	inFlight int64
}

// State holds the observed state of one target. It is safe for concurrent use.
type State struct {
	address        string
	reportLifetime time.Duration
	silentAfter    time.Duration

	inFlight        atomic.Int64
	report          atomic.Pointer[Report]
	platformLeaving atomic.Bool
	// silentSince is the start time, in Unix nanoseconds, of the first poll that failed
	// after the last response; 0 while polls are answered.
	silentSince atomic.Int64

	mu      sync.Mutex // guards samples
	samples []sample
}

// Address returns the target's IP:port.
func (s *State) Address() string { return s.address }

// RequestStarted counts a request that this router sends to the target.
func (s *State) RequestStarted() { s.inFlight.Add(1) }

// RequestEnded counts the end of a request.
func (s *State) RequestEnded() { s.inFlight.Add(-1) }

// InFlight returns the number of requests from this router in flight at the target.
func (s *State) InFlight() int64 { return s.inFlight.Load() }

// Report returns the latest report, or nil if there is none yet.
func (s *State) Report() *Report { return s.report.Load() }

// SampleInFlight records the current number of in-flight requests, so that a delayed
// report can be compared with the number at the time of its measurement. The poller
// calls it before each poll.
func (s *State) SampleInFlight(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == maxSamples {
		copy(s.samples, s.samples[1:])
		s.samples = s.samples[:maxSamples-1]
	}
	s.samples = append(s.samples, sample{now, s.inFlight.Load()})
}

// SetReport stores r as the latest report and marks the target as responsive.
func (s *State) SetReport(r Report) {
	r.remoteLoad = float64(max(int64(r.Load)-s.inFlightAt(r.MeasuredAt), 0))
	if last := s.report.Load(); last != nil && r.MeasuredAt.Sub(last.MeasuredAt) < s.reportLifetime {
		r.remoteLoad = last.remoteLoad + remoteLoadWeight*(r.remoteLoad-last.remoteLoad)
	}
	s.report.Store(&r)
	s.silentSince.Store(0)
}

// inFlightAt returns the number of in-flight requests at t: that of the last sample not
// after t, or of the oldest sample if all are later.
func (s *State) inFlightAt(t time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return s.inFlight.Load()
	}
	count := s.samples[0].inFlight
	for _, x := range s.samples {
		if x.at.After(t) {
			break
		}
		count = x.inFlight
	}
	return count
}

// PollFailed records that a poll started at start got no response.
func (s *State) PollFailed(start time.Time) {
	s.silentSince.CompareAndSwap(0, start.UnixNano())
}

// PollAnswered records that the target responded, possibly with an error.
func (s *State) PollAnswered() {
	s.silentSince.Store(0)
}

// SilentSince returns the time since which polls have failed, and whether they have
// failed for at least Settings.SilentAfter.
func (s *State) SilentSince(now time.Time) (time.Time, bool) {
	since := s.silentSince.Load()
	if since == 0 || now.UnixNano()-since < int64(s.silentAfter) {
		return time.Time{}, false
	}
	return time.Unix(0, since), true
}

// SetPlatformLeaving records whether the target is leaving according to the platform's
// VM list.
func (s *State) SetPlatformLeaving(leaving bool) {
	s.platformLeaving.Store(leaving)
}

// Leaving reports whether the target is leaving, and whether that is known from its own
// report or from the platform's list. The latest report counts regardless of its age.
func (s *State) Leaving() (by string, leaving bool) {
	if r := s.report.Load(); r != nil && r.Leaving {
		return "own report", true
	}
	if s.platformLeaving.Load() {
		return "platform list", true
	}
	return "", false
}

// Load estimates the current number of requests at the target: those of this router
// plus the average number from other routers according to the reports.
func (s *State) Load(now time.Time) float64 {
	local := float64(s.inFlight.Load())
	r := s.report.Load()
	if r == nil || now.Sub(r.MeasuredAt) > s.reportLifetime {
		return local
	}
	return local + r.remoteLoad
}
