// Package quarantine finds parts of prompts and whole requests that crash targets, and refuses
// the requests concerned.
//
// A key is a part of prompts, or a whole request: its method, host, path, team and body. A key
// that crashes targets is in every request whose target it ends, and no target answers a request
// with it. Each loss also ends the other requests at that target, so every key of each of them is
// a suspect; a key is cleared when an answer to a request with it begins. Entry VMs share losses
// and cleared keys through the control VMs, since the requests with one key come to all of them.
package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minLosses is the number of losses from which a key is in quarantine.
	minLosses = 3
	// coincidence is the time within which losses in one availability zone count as one, unless
	// one request was sent after the loss of the other: targets that fail together say nothing
	// about a key whose requests were answered before.
	coincidence = 500 * time.Millisecond
	// sameLoss is the time within which reports of the loss of one target start are about the
	// same loss: a VM may report late. A target may start again under its ID, and takes longer to
	// be lost again.
	sameLoss = 2 * time.Second
	// maxTrials is the number of requests with a key in quarantine that are sent to targets
	// while none of them is answered.
	maxTrials = 3
	// firstPeriod is the length of the quarantine before the first trial, which may show at once
	// that the losses had another cause.
	firstPeriod = 700 * time.Millisecond
	// undecidedPeriod is the time after a trial that was neither answered nor lost.
	undecidedPeriod = 2 * time.Second
	// grantLifetime is the time for which an entry VM may admit a trial that it was granted.
	grantLifetime = 3 * time.Second
	// regrantAfter is the time after which a trial that was granted and not sent may be granted to
	// another VM: the first one must have stopped admitting it, also if the grant came late.
	regrantAfter = 2 * grantLifetime
	// sameGrant is the time within which reports are about the same grant of a trial.
	sameGrant = time.Second
	// listDelay is the time after which the list shows that a target is gone. It may have started
	// again under its ID.
	listDelay = 5 * time.Second
	// wantInterval is the time after which an entry VM asks again for a trial.
	wantInterval = 300 * time.Millisecond
	// retention is the time after which a further loss begins a new count.
	retention = 24 * time.Hour
	// maxKeys and maxLossesPerKey limit the memory; the oldest are removed.
	maxKeys         = 4096
	maxLossesPerKey = 16
	// maxRequestsPerLoss limits the requests with one key that are told apart at one target start; further
	// ones are not remembered.
	maxRequestsPerLoss = 32
)

// periods are the lengths of the quarantine before each trial, counted from the last loss.
var periods = [maxTrials]time.Duration{firstPeriod, 5 * time.Second, time.Minute}

// Target identifies one start of a target.
type Target struct{ Address, Instance, AvailabilityZone string }

// Loss is the loss of a target with a request whose answer had not begun.
type Loss struct {
	Target Target
	// SentAt is when the request was sent, At when the target was lost.
	SentAt, At time.Time
	// TrialKeys are the keys for which the request was a trial.
	TrialKeys []string
}

// Options configures a Table.
type Options struct {
	// ID identifies this VM.
	ID string
	// IsShared reports whether requests of several callers share a key. Nil means that all are shared.
	IsShared func(key string) bool
	// Random returns uniformly distributed numbers from 0 up to 1. It spreads the times after
	// which callers return. Required.
	Random func() float64
}

// Table holds the suspect keys and their losses. It is safe for concurrent use.
type Table struct {
	opts Options

	mu   sync.Mutex // guards the fields below
	keys map[string]*record
	// recurrent holds the keys that had more than one loss, or that other VMs suspect wrongly;
	// suspects holds those with minLosses losses or more.
	recurrent, suspects map[string]*record
	// begins holds when answers last began here to requests with keys.
	begins beginTimes
	// version increases with every change of a record.
	version uint64
	// changed is closed when another key is a suspect.
	changed chan struct{}
}

// record is what is known about one key.
type record struct {
	// losses are the losses since the last answer that began, in order of their times.
	losses []loss
	// trials is the number of trials that were sent since then, trialAt the time of the last one.
	trials  uint32
	trialAt time.Time
	// wantedAt is when this VM last refused a request that might be a trial.
	wantedAt time.Time
	// grantedTo is the entry VM that may admit a trial since grantedAt.
	grantedTo string
	grantedAt time.Time
	// admittedAt is when this VM admitted a trial whose result it doesn't know yet.
	admittedAt time.Time
	// begunAt is when an answer to a request with the key last began; the zero time if none
	// is known. begunHere: this VM has seen it.
	begunAt   time.Time
	begunHere bool
	// releasedAt is when such an answer last ended the quarantine of the key.
	releasedAt time.Time
	// version is the version of the table at the last change of the record.
	version uint64
}

// loss is the loss of a target in the record of one key.
type loss struct {
	target     Target
	sentAt, at time.Time
	// requests identifies those with the key that were lost with the target, by random numbers.
	requests []uint64
	// trial: one of the requests was a trial of the key.
	trial bool
	// here: this VM has seen the loss of one of the requests.
	here bool
}

// isSame reports whether two reports are about one loss. The time of a report grows by its
// delay with each VM that passes it on, and requests are lost at a target that is gone already.
func (l loss) isSame(other loss) bool {
	return l.target.isSameStart(other.target) && (l.at.Sub(other.at).Abs() < sameLoss || slices.ContainsFunc(l.requests, other.has))
}

func (l loss) has(request uint64) bool { return slices.Contains(l.requests, request) }

// merge adds what another report about the same loss says, and reports whether any of it is new.
func (l *loss) merge(report loss) bool {
	isNew := report.trial && !l.trial
	l.trial = l.trial || report.trial
	for _, request := range report.requests {
		if len(l.requests) < maxRequestsPerLoss && !l.has(request) {
			l.requests, isNew = append(l.requests, request), true
		}
	}
	l.here = l.here || isNew && report.here
	return isNew
}

func (t Target) isSameStart(other Target) bool {
	return t.Address == other.Address && t.Instance == other.Instance
}

// follows reports whether the request of l was sent after the earlier loss.
func (l loss) follows(earlier loss) bool { return !l.sentAt.Before(earlier.at) }

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	if opts.IsShared == nil {
		opts.IsShared = func(string) bool { return true }
	}
	return &Table{
		opts:      opts,
		keys:      map[string]*record{},
		recurrent: map[string]*record{},
		suspects:  map[string]*record{},
		changed:   make(chan struct{}),
	}
}

// RecordLoss records the loss of a target with a request that contains keys and whose answer had
// not begun.
func (t *Table) RecordLoss(keys []string, l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := rand.Uint64()
	for _, key := range keys {
		t.addLoss(key, loss{
			target: l.Target, sentAt: l.SentAt, at: l.At, requests: []uint64{id}, trial: slices.Contains(l.TrialKeys, key), here: true,
		})
	}
}

// RecordBegun records that an answer to a request that contains keys has begun, which clears
// them.
func (t *Table) RecordBegun(keys []string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		t.begins.set(key, at)
		if r := t.keys[key]; r != nil && t.clear(key, r, at) {
			r.begunHere = true
		}
	}
}

// addLoss adds a loss, or what is new about it, if it is later than the last answer that began. The caller
// holds mu.
func (t *Table) addLoss(key string, l loss) {
	r := t.keys[key]
	if r == nil {
		r = t.newRecord(key, l.at)
	}
	if begun := t.begins.get(key); !l.at.After(begun) {
		// Another VM doesn't know of the answer that began here.
		t.clear(key, r, begun)
		r.begunAt, r.begunHere = later(r.begunAt, begun), true
		t.touch(r)
		return
	}
	if !l.at.After(r.begunAt) {
		return
	}
	if known := r.find(l); known != nil {
		if known.merge(l) {
			t.touch(r)
		}
		return
	}
	r.insert(l)
	t.touch(r)
	n := len(t.distinct(key, r))
	if n > 1 {
		t.recurrent[key] = r
	}
	if n >= minLosses {
		t.suspects[key] = r
		t.notify()
	}
}

// clear removes the losses of a key up to the time at which an answer began, and reports
// whether there were any. The caller holds mu.
func (t *Table) clear(key string, r *record, at time.Time) bool {
	if !at.After(r.begunAt) {
		return false
	}
	before := len(r.losses)
	r.losses = lossesAfter(r.losses, at)
	if len(r.losses) == before {
		return false
	}
	r.begunAt, r.begunHere = at, false
	r.trials, r.trialAt, r.grantedTo, r.admittedAt = 0, time.Time{}, "", time.Time{}
	if t.suspects[key] != nil && len(t.distinct(key, r)) < minLosses {
		delete(t.suspects, key)
		r.releasedAt = at
	}
	t.touch(r)
	return true
}

func (t *Table) touch(r *record) {
	t.version++
	r.version = t.version
}

// notify wakes the callers of AwaitRefusal. The caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// find returns what is known about a loss, or nil.
func (r *record) find(l loss) *loss {
	if i := slices.IndexFunc(r.losses, l.isSame); i >= 0 {
		return &r.losses[i]
	}
	return nil
}

// insert adds a loss in order of its time, and removes the oldest beyond the limit.
func (r *record) insert(l loss) {
	if n := len(r.losses); n > 0 && l.at.Sub(r.losses[n-1].at) > retention {
		r.losses = nil
	}
	i := len(r.losses)
	for i > 0 && l.at.Before(r.losses[i-1].at) {
		i--
	}
	r.losses = slices.Insert(r.losses, i, l)
	if excess := len(r.losses) - maxLossesPerKey; excess > 0 {
		r.losses = slices.Delete(r.losses, 0, excess)
	}
}

func lossesAfter(losses []loss, at time.Time) []loss {
	return slices.DeleteFunc(losses, func(l loss) bool { return !l.at.After(at) })
}

// lastChange is the time of the last loss or, if there is none left, of the answer that
// cleared the key.
func (r *record) lastChange() time.Time {
	if n := len(r.losses); n > 0 {
		return r.losses[n-1].at
	}
	return r.begunAt
}

// newRecord adds a key, and removes others if there are too many. The caller holds mu.
func (t *Table) newRecord(key string, now time.Time) *record {
	if len(t.keys) >= maxKeys {
		t.removeOld(now)
	}
	r := &record{}
	t.keys[key] = r
	return r
}

// removeOld removes the keys that have no losses or were lost long ago and, if there are
// none, the least suspect ones. The caller holds mu.
func (t *Table) removeOld(now time.Time) {
	for key, r := range t.keys {
		if len(r.losses) == 0 || now.Sub(r.lastChange()) > retention {
			t.remove(key)
		}
	}
	if len(t.keys) < maxKeys {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.keys), t.compareSuspicion)
	for _, key := range keys[:maxKeys/8] {
		t.remove(key)
	}
}

func (t *Table) remove(key string) {
	delete(t.keys, key)
	delete(t.recurrent, key)
	delete(t.suspects, key)
}

// compareSuspicion orders keys by whether they are suspects, whether they are recurrent, and
// then by their last change, the least suspect first. The caller holds mu.
func (t *Table) compareSuspicion(a, b string) int {
	for _, group := range []map[string]*record{t.suspects, t.recurrent} {
		if (group[a] == nil) != (group[b] == nil) {
			if group[a] == nil {
				return -1
			}
			return 1
		}
	}
	return t.keys[a].lastChange().Compare(t.keys[b].lastChange())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
