package retry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// Usage counts the requests and attempts sent to a service within the window of its
// bound.
type Usage struct {
	Requests int
	// FurtherAttempts counts the attempts beyond the first of each request.
	FurtherAttempts int
}

// Bound limits the further attempts of one service over all entry VMs, in any time
// window of length Window.
type Bound struct {
	// Ratio is the number of further attempts allowed per request. Extra is the number
	// allowed per window in addition.
	Ratio, Extra float64
	Window       time.Duration
}

const (
	// localFraction is the fraction of the bound that is divided between the local
	// budgets of the entry VMs.
	localFraction = 0.3
	// burstFraction is the fraction of a local budget that may be spent at once; the
	// rest accrues evenly over the window.
	burstFraction = 0.5
	// resumeFraction is the fraction of that burst that is reserved for resumes.
	resumeFraction = 0.5
	// minResumeRate, in attempts per second, keeps resumes from waiting forever.
	minResumeRate = 0.1
)

// LocalSettings returns the settings of the local budget of one of the entry VMs. In
// any window all local budgets together allow localFraction of the bound, but each
// allows at least one attempt.
func (b Bound) LocalSettings(entries int) Settings {
	share := b.Extra * localFraction / float64(max(entries, 1))
	s := Defaults()
	s.Share = min(b.Ratio*localFraction, 1)
	s.Burst = max(share*burstFraction*(1-resumeFraction), 1)
	s.ResumeBurst = max(share*burstFraction*resumeFraction, 1)
	s.ResumeRate = max(share*(1-burstFraction)/b.Window.Seconds(), minResumeRate)
	return s
}

const (
	// sharedFraction is the fraction of the bound that may be spent on retries according to the
	// usage of all entry VMs. The rest is left for attempts that entry VMs make before
	// they know each other's usage, and for the local budgets.
	sharedFraction = 0.5
	// The same for resumes, of which all entry VMs together take no more than what is left: their shares
	// are rounded at random, and local budgets are not added. When many streams are lost at once, those
	// that continue from a copy come first, because it expires, and the deferrable ones last.
	copySharedFraction       = 0.85
	resumeSharedFraction     = 0.8
	deferrableSharedFraction = 0.65
	// hedgeFraction is the same for hedges, which have the least benefit.
	hedgeFraction = 0.25
	// unreportedRounds is the number of exchange rounds after which the usage of other
	// entry VMs is known: it is reported in one round and forwarded in the next.
	unreportedRounds = 2
	// resumeRounds is the number of exchange rounds in which all entry VMs together may take what is left
	// for resumes. With 2, those that are not yet reported exceeded it by a quarter.
	resumeRounds = 4
	// remoteUsageLifetime is the age from which the usage of the other entry VMs is no
	// longer relied on.
	remoteUsageLifetime = 1500 * time.Millisecond
	// remoteUsageInterval is the time after which the usage of the other entry VMs is
	// updated again.
	remoteUsageInterval = 150 * time.Millisecond
	// windowSlices is the number of slices into which the window is divided for
	// counting.
	windowSlices = 20
)

// SharedBudget implements request.RetryBudget with one bound for all entry VMs, which
// report their usage to each other. While their total usage is well below the bound,
// each of them may use what is left, because a loss of targets often affects only few
// entry VMs. Otherwise each uses only its local budget.
type SharedBudget struct {
	bound Bound
	local *Budget

	mu          sync.Mutex // guards the fields below
	counts      [windowSlices + 1]Usage
	newestSlice int64 // in slices since the Unix epoch
	remote      Usage
	remoteAt    time.Time
	entries     int
	// peakEntries is the highest number of entry VMs within a window, last seen at peakAt: a new leader
	// first knows only some of them.
	peakEntries int
	peakAt      time.Time
	// unreported holds the further attempts of entry VMs that no longer report them: they are cut off
	// from the leader, or have not reported to a new one yet.
	unreported []unreportedUsage
	// takenSinceReport is the number of attempts taken from the common bound since the
	// remote usage was last updated.
	takenSinceReport float64
	// resumeShare is the number of resumes that this VM may take until the next update.
	resumeShare float64
	random      func() float64
}

// unreportedUsage is a number of further attempts that were made before a time.
type unreportedUsage struct {
	furtherAttempts int
	before          time.Time
}

// NewSharedBudget returns a SharedBudget that uses only local while the usage of the
// other entry VMs isn't known.
func NewSharedBudget(bound Bound, local *Budget) *SharedBudget {
	return &SharedBudget{bound: bound, local: local, random: local.rand}
}

// LocalUsage returns the usage of this entry VM within the window.
func (s *SharedBudget) LocalUsage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sumWindow(time.Now())
}

// SetRemoteUsage sets the total usage of the other entry VMs within the window and the
// number of entry VMs, this one included.
func (s *SharedBudget) SetRemoteUsage(u Usage, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	entries = max(entries, 1)
	s.updateUnreported(u.FurtherAttempts-s.remote.FurtherAttempts, entries-s.entries, now)
	s.remote, s.remoteAt, s.entries = u, now, entries
	s.takenSinceReport = 0
	if entries >= s.peakEntries || now.Sub(s.peakAt) >= s.bound.Window {
		s.peakEntries, s.peakAt = entries, now
	}
	s.resumeShare = s.roundShare(s.left(copySharedFraction, now) / float64(resumeRounds*s.peakEntries))
}

// updateUnreported updates what is no longer reported after a change of the remote further attempts and of
// the number of entry VMs. The caller holds mu.
func (s *SharedBudget) updateUnreported(attempts, entries int, now time.Time) {
	s.unreported = slices.DeleteFunc(s.unreported, func(u unreportedUsage) bool { return now.Sub(u.before) >= s.bound.Window })
	switch {
	case entries < 0 && attempts < 0:
		s.unreported = append(s.unreported, unreportedUsage{-attempts, now})
	case entries > 0:
		// Entry VMs that report again report what they had used.
		for i := range s.unreported {
			reported := min(max(attempts, 0), s.unreported[i].furtherAttempts)
			s.unreported[i].furtherAttempts -= reported
			attempts -= reported
		}
	}
}

// roundShare rounds a share to a whole number at random, with the share as its mean: the sum over many
// entry VMs stays near the sum of their shares, which may be below 1.
func (s *SharedBudget) roundShare(share float64) float64 {
	whole := math.Floor(max(share, 0))
	if s.random() < share-whole {
		whole++
	}
	return whole
}

// UpdateSettings replaces the settings of this entry VM's local budget.
func (s *SharedBudget) UpdateSettings(settings Settings) { s.local.UpdateSettings(settings) }

// OnRequest implements request.RetryBudget.
func (s *SharedBudget) OnRequest() {
	s.mu.Lock()
	s.currentSlice(time.Now()).Requests++
	s.mu.Unlock()
	s.local.OnRequest()
}

// Allow implements request.RetryBudget.
func (s *SharedBudget) Allow(kind request.RetryKind) (ok bool, wait time.Duration) {
	if s.takeShared(kind) {
		return true, 0
	}
	if kind.IsResume() && !s.localResumes() {
		return false, remoteUsageInterval
	}
	if ok, wait = s.local.Allow(kind); ok {
		s.mu.Lock()
		s.currentSlice(time.Now()).FurtherAttempts++
		s.mu.Unlock()
		return true, 0
	}
	// The common bound may allow it as soon as the remote usage is updated.
	return false, min(wait, remoteUsageInterval)
}

// localResumes reports whether resumes use the local budget, because the usage of the other entry VMs is not
// known. While they may have used much of the bound just before, the local budgets would exceed it.
func (s *SharedBudget) localResumes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	stale := now.Sub(s.remoteAt)
	if s.remoteAt.IsZero() || stale > s.bound.Window {
		return true
	}
	return stale > remoteUsageLifetime && s.left(1-localFraction, now) >= 1
}

// takeShared takes one attempt from the common bound and reports whether it could.
func (s *SharedBudget) takeShared(kind request.RetryKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.remoteAt) > remoteUsageLifetime {
		return false
	}
	if kind.IsResume() {
		if s.takenSinceReport >= s.resumeShare || s.left(fractionOf(kind), now) < 1 {
			return false
		}
	} else {
		left := s.left(fractionOf(kind), now)
		// All entry VMs may take attempts at the same time, so each takes only a part of
		// what is left until the next update of the remote usage.
		if left < 1 || s.takenSinceReport >= max(left/float64(unreportedRounds*s.entries), 1) {
			return false
		}
	}
	s.takenSinceReport++
	s.currentSlice(now).FurtherAttempts++
	return true
}

func fractionOf(kind request.RetryKind) float64 {
	switch kind {
	case request.HedgeCall:
		return hedgeFraction
	case request.ResumeFromCopy:
		return copySharedFraction
	case request.ResumeGeneration:
		return resumeSharedFraction
	case request.ResumeDeferrable:
		return deferrableSharedFraction
	}
	return sharedFraction
}

// left returns how many attempts are left of a fraction of the bound, as far as this VM knows the usage of
// the others. The caller holds mu.
func (s *SharedBudget) left(fraction float64, now time.Time) float64 {
	local := s.sumWindow(now)
	limit := s.bound.Ratio*float64(local.Requests+s.remote.Requests) + s.bound.Extra
	used := local.FurtherAttempts + s.remote.FurtherAttempts
	for _, u := range s.unreported {
		if now.Sub(u.before) < s.bound.Window {
			used += u.furtherAttempts
		}
	}
	return fraction*limit - float64(used)
}

// currentSlice returns the counts of the slice that contains now, and clears the slices
// that have left the window. The caller holds mu.
func (s *SharedBudget) currentSlice(now time.Time) *Usage {
	slice := now.UnixNano() / (int64(s.bound.Window) / windowSlices)
	for n := max(s.newestSlice+1, slice-windowSlices); n <= slice; n++ {
		s.counts[n%int64(len(s.counts))] = Usage{}
	}
	s.newestSlice = max(s.newestSlice, slice)
	return &s.counts[s.newestSlice%int64(len(s.counts))]
}

// sumWindow returns the total usage within the window. The caller holds mu.
func (s *SharedBudget) sumWindow(now time.Time) Usage {
	s.currentSlice(now)
	var sum Usage
	for _, c := range s.counts {
		sum.Requests += c.Requests
		sum.FurtherAttempts += c.FurtherAttempts
	}
	return sum
}
