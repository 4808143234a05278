// Package speed estimates how long work takes at each incarnation of a target, compared with
// what is usual for its service.
//
// It is for services of which some targets are 0.6 to 1.6 times as fast as others for as long
// as they run, while others are slowed by a factor of 2.5 for fractions of a second. An estimate
// therefore has two parts: a lasting one, learned from durations and from the mean of what the
// target states, and a momentary one, what the target stated last. A service whose targets
// state nothing has no estimates: all its factors are 1.
package speed

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// statedLifetime is how long a service has estimates after a target last stated its pace.
	statedLifetime = 5 * time.Minute
	// maxRatio bounds the duration of one observation relative to the usual one. Longer ones
	// are ignored: a pause of a second is no speed.
	maxRatio = 6
	// maxDeviation limits the difference, as a logarithm, that one observation makes.
	maxDeviation = 0.8
	// maxLog bounds factors to 1/4 and 4.
	maxLog = 1.386
	// lastingLog is the logarithm of 2, beyond which a difference is not expected to last. What
	// exceeds it loses its weight within excessLifetime instead of lifetime, so that a target
	// that was very slow once is tried again soon.
	lastingLog     = 0.693
	excessLifetime = 10 * time.Second
	// lifetime is the time in which an estimate without observations loses all but 1/e of its
	// weight. An entry VM of a large deployment places a stream on the same engine once in
	// minutes, and other entry VMs place one every few seconds.
	lifetime = 2 * time.Minute
	// maxWeight limits the weight of past observations, so that an estimate follows a change
	// within some streams.
	maxWeight = 32
	// priorWeight is the weight of the assumption that a target is as fast as usual. A
	// stream of 140 events makes 8 observations.
	priorWeight = 4
	// usualVariance is the variance of the logarithms of observations at which the weight of
	// that assumption doubles.
	usualVariance = 0.1
	// statedWeight is the weight of a stated pace in the lasting part, and maxStatedWeight that of
	// all of them: it is not known whether a target's lasting speed is part of what it states, and
	// measured durations, where there are some, count for more.
	statedWeight    = 0.5
	maxStatedWeight = 4
	// momentaryShare is the weight of a stated pace in the momentary part when it arrives. It
	// is below 1 because a stream lasts for many times as long as a state.
	momentaryShare = 0.2
	// momentaryLifetime is the time in which that weight decreases to 1/e.
	momentaryLifetime = 150 * time.Millisecond
	// statedMemory is the number of stated values in the mean of what a target states.
	statedMemory = 32
	// refreshInterval is the time between two computations of a target's lasting factor, and
	// centerInterval that between two of the median of a service.
	refreshInterval = 250 * time.Millisecond
	centerInterval  = 5 * time.Second
)

// Table holds the estimates of one process. It is safe for concurrent use. A nil *Table knows
// nothing, and all its factors are 1.
type Table struct {
	// stated: a target of any service has stated its pace.
	stated atomic.Bool

	mu        sync.Mutex // guards the fields below
	byAddress map[string]*entry
	services  map[string]*service
	// changed holds the entries with local observations that were not shared.
	changed map[*entry]struct{}
}

// service is what is usual for a service.
type service struct {
	// statedAt is when a target of the service last stated its pace.
	statedAt time.Time
	// gaps, calls and perToken are the usual gap between events, duration of a call, and time to
	// the first event per prompt token.
	gaps, calls, perToken baseline
	// stated is the mean of the logarithms of what the targets state.
	stated movingMean
	// center is the median of the estimates of all targets at centeredAt.
	center     float64
	centeredAt time.Time
}

// entry is the estimate of one incarnation of a target.
type entry struct {
	address, instance string
	service           *service
	// measured and stated are based on durations and on stated values that this process has
	// observed, remote on the observations of others.
	measured, stated, remote estimate
	pace                     statedPace
	// lasting is the lasting part of the factor at refreshedAt.
	lasting     float64
	refreshedAt time.Time
	shared      sharedState
}

// NewTable returns a table without targets.
func NewTable() *Table {
	return &Table{byAddress: map[string]*entry{}, services: map[string]*service{}, changed: map[*entry]struct{}{}}
}

// Update replaces the list of targets. Estimates are kept only for listed incarnations, which
// bounds the size of the table.
func (t *Table) Update(targets []*chicoryv1.ListedTarget) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byAddress := make(map[string]*entry, len(targets))
	services := map[string]*service{}
	for _, target := range targets {
		name := target.GetService()
		if services[name] == nil {
			services[name] = t.services[name]
		}
		if services[name] == nil {
			services[name] = &service{}
		}
		e := t.byAddress[target.GetAddress()]
		if e == nil || e.instance != target.GetInstance() || e.service != services[name] {
			e = &entry{address: target.GetAddress(), instance: target.GetInstance(), service: services[name], lasting: 1}
		}
		byAddress[target.GetAddress()] = e
	}
	for e := range t.changed {
		if byAddress[e.address] != e {
			delete(t.changed, e)
		}
	}
	t.byAddress, t.services = byAddress, services
}

// find returns the entry of an incarnation if its service has estimates, or nil. The caller
// holds mu.
func (t *Table) find(address, instance string, now time.Time) *entry {
	e := t.byAddress[address]
	if e == nil || e.instance != instance || !e.service.isStated(now) {
		return nil
	}
	return e
}

func (s *service) isStated(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) < statedLifetime
}

// ObserveEvents records the mean gap between some events of a stream while the target ran a
// number of requests.
func (t *Table) ObserveEvents(address, instance string, gap time.Duration, running int, now time.Time) {
	t.observe(address, instance, gap.Seconds(), running, now, func(s *service) *baseline { return &s.gaps })
}

// ObserveFirstEvent records the time to the first event of a stream whose prompt was the only one
// that the target had to process.
func (t *Table) ObserveFirstEvent(address, instance string, promptTokens int, wait time.Duration, now time.Time) {
	if promptTokens < minPromptTokens {
		return
	}
	t.observe(address, instance, wait.Seconds()/float64(promptTokens), 1, now, func(s *service) *baseline { return &s.perToken })
}

// minPromptTokens is the length of a prompt from which the time to the first event shows more
// than the duration of a round trip.
const minPromptTokens = 500

// ObserveCall records the duration of a complete call while the target ran a number of requests.
func (t *Table) ObserveCall(address, instance string, latency time.Duration, running int, now time.Time) {
	t.observe(address, instance, latency.Seconds(), running, now, func(s *service) *baseline { return &s.calls })
}

// observe records one duration. usual returns what it is compared with.
func (t *Table) observe(address, instance string, duration float64, running int, now time.Time, usual func(*service) *baseline) {
	if t == nil || !t.stated.Load() || duration <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(address, instance, now)
	if e == nil {
		return
	}
	value, b := math.Log(duration), usual(e.service)
	ratio, known := value-b.at(running), b.isKnown()
	// The usual duration is learned from all targets, each corrected by its own estimate: which
	// targets run many requests depends on their speed.
	b.add(running, value-e.lastingLog(now))
	if known && math.Abs(ratio) <= math.Log(maxRatio) {
		e.measured.add(ratio, 1, maxWeight, now)
		t.recordChange(e)
	}
}

// recordChange records that an entry has a new local observation. The caller holds mu.
func (t *Table) recordChange(e *entry) {
	e.refreshedAt = time.Time{}
	t.changed[e] = struct{}{}
}

// ObserveStated records a pace that a target states, in percent of the usual duration.
func (t *Table) ObserveStated(address, instance string, percent int, now time.Time) {
	if t == nil || percent <= 0 {
		return
	}
	t.stated.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byAddress[address]
	if e == nil || e.instance != instance {
		return
	}
	e.service.statedAt = now
	t.center(now)
	value := min(max(math.Log(float64(percent)/100), -maxLog), maxLog)
	e.pace.add(value, now)
	e.service.stated.add(value, baselineMemory)
	e.stated.add(value-e.service.stated.mean, statedWeight, maxStatedWeight, now)
	t.recordChange(e)
}

// Factor returns how long work is expected to take at an incarnation of a target from now on, as
// a multiple of what is usual for its service; 1 if nothing is known.
func (t *Table) Factor(address, instance string, now time.Time) float64 {
	if t == nil || !t.stated.Load() {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(address, instance, now); e != nil {
		return e.factor(now)
	}
	return 1
}

// Gap returns the expected mean gap between the events of a stream while the target runs a
// number of requests; 0 if nothing is known.
func (t *Table) Gap(address, instance string, running int, now time.Time) time.Duration {
	if t == nil || !t.stated.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(address, instance, now)
	if e == nil {
		return 0
	}
	if !e.service.gaps.isKnown() {
		return 0
	}
	return time.Duration(math.Exp(e.service.gaps.at(running)) * e.factor(now) * float64(time.Second))
}

// factor returns the product of both parts of the estimate.
func (e *entry) factor(now time.Time) float64 {
	if e.refreshedAt.IsZero() || now.Sub(e.refreshedAt) >= refreshInterval {
		e.lasting, e.refreshedAt = math.Exp(e.lastingLog(now)), now
	}
	return min(max(e.lasting*e.pace.momentary(now), math.Exp(-maxLog)), math.Exp(maxLog))
}

// lastingLog returns the logarithm of the lasting part.
func (e *entry) lastingLog(now time.Time) float64 {
	sum := e.combined(now)
	log := (sum.log - e.service.center) * sum.share()
	if log > lastingLog {
		log = lastingLog + (log-lastingLog)*math.Exp(-float64(max(now.Sub(sum.at), 0))/float64(excessLifetime))
	}
	return log
}

// local returns the estimate that is based on the observations of this process.
func (e *entry) local(now time.Time) estimate { return mean(now, &e.measured, &e.stated) }

// combined returns the estimate that is based on all observations.
func (e *entry) combined(now time.Time) estimate {
	return mean(now, &e.measured, &e.stated, &e.remote)
}

// center computes the medians of the services whose last ones are older than centerInterval. A
// service's usual speed is that of its median target, and unknown targets count as usual. The
// caller holds mu.
func (t *Table) center(now time.Time) {
	due := map[*service][]float64{}
	for _, s := range t.services {
		if s.isStated(now) && now.Sub(s.centeredAt) >= centerInterval {
			s.centeredAt, due[s] = now, nil
		}
	}
	if len(due) == 0 {
		return
	}
	for _, e := range t.byAddress {
		if logs, ok := due[e.service]; ok {
			sum := e.combined(now)
			due[e.service] = append(logs, sum.log*sum.share())
			e.refreshedAt = time.Time{}
		}
	}
	for s, logs := range due {
		slices.Sort(logs)
		if n := len(logs); n > 0 {
			s.center = (logs[(n-1)/2] + logs[n/2]) / 2
		}
	}
}
