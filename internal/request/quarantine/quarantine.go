// Package quarantine finds parts of prompts that crash engines, and refuses requests that
// contain one.
//
// A part that crashes engines is in every request whose engine it ends, and no answer to a
// request with it gets beyond its first event. Each loss also ends the other
// requests on that engine, so every part of each of them is a suspect; a part is cleared
// when an answer to a request with it begins. Entry VMs share losses and cleared parts
// through the control VMs, since the requests with one part come to all of them.
package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minLosses is the number of losses at different times from which a part is in
	// quarantine.
	minLosses = 3
	// coincidence is the time within which several losses count as one: the engines of an
	// availability zone that fail together say nothing about a part.
	coincidence = 500 * time.Millisecond
	// sameLoss is the time within which reports of the loss of one engine start are about
	// the same loss: a VM may report late. An engine may start again under its ID, and takes
	// longer to be lost again.
	sameLoss = 2 * time.Second
	// minPeriod is the length of the quarantine after minLosses losses. Each further loss
	// doubles it, up to maxPeriod.
	minPeriod = time.Minute
	maxPeriod = 8 * time.Minute
	// trialPeriod is the time for which further requests wait for the result of a trial.
	trialPeriod = 30 * time.Second
	// retention is the time after which a further loss begins a new count. It is longer than
	// any quarantine.
	retention = 2 * maxPeriod
	// maxParts and maxLossesPerPart limit the memory; the oldest are removed.
	maxParts         = 4096
	maxLossesPerPart = 16
)

// Engine identifies one start of an engine.
type Engine struct{ Address, Instance string }

// Options configures a Table.
type Options struct {
	// Random returns uniformly distributed numbers from 0 up to 1. It spreads the ends of
	// a quarantine over the entry VMs. Required.
	Random func() float64
}

// Table holds the suspect parts and their losses. It is safe for concurrent use.
type Table struct {
	// spread is the factor by which this VM extends each quarantine, so that few VMs send
	// a trial before its result is known to all.
	spread float64

	mu    sync.Mutex // guards the fields below
	parts map[string]*part
	// recurrent holds the parts that had losses at different times, and that other VMs may
	// know; suspects holds those with minLosses losses or more.
	recurrent, suspects map[string]*part
	// begins holds when answers began here to requests with parts that are no suspects yet.
	begins beginTimes
	// version increases with every change of a part.
	version uint64
	// changed is closed when another part is a suspect.
	changed chan struct{}
}

// part is what is known about one part of prompts.
type part struct {
	// losses are the losses since the last answer that began, in order of their times.
	losses []loss
	// trialAt is when a request with the part was last admitted as a trial.
	trialAt time.Time
	// begunAt is when an answer to a request with the part last began; the zero time if
	// none has since the first loss. begunHere: this VM has seen it.
	begunAt   time.Time
	begunHere bool
	// version is the version of the table at the last change of the part.
	version uint64
}

// loss is the loss of an engine with a request whose answer had not begun.
type loss struct {
	// id is random and identifies the report of the loss.
	id     uint64
	engine Engine
	at     time.Time
	// here: this VM has seen the loss.
	here bool
}

// isSame reports whether two reports are about one loss. The time of a report grows by its
// delay with each VM that passes it on.
func (l loss) isSame(other loss) bool {
	return l.id == other.id || l.engine == other.engine && l.at.Sub(other.at).Abs() < sameLoss
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		spread:    1 + opts.Random()/2,
		parts:     map[string]*part{},
		recurrent: map[string]*part{},
		suspects:  map[string]*part{},
		changed:   make(chan struct{}),
	}
}

// RecordLoss records the loss of an engine with a request that contains parts and whose
// answer had not begun.
func (t *Table) RecordLoss(parts []string, engine Engine, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		t.addLoss(id, loss{id: rand.Uint64(), engine: engine, at: at, here: true})
	}
}

// RecordBegun records that an answer to a request that contains parts has begun, which
// clears them.
func (t *Table) RecordBegun(parts []string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		t.begins.set(id, at)
		if p := t.parts[id]; p != nil && t.clear(id, p, at) {
			p.begunHere = true
		}
	}
}

// addLoss adds a loss that is new and later than the last answer that began. The caller
// holds mu.
func (t *Table) addLoss(id string, l loss) {
	p := t.parts[id]
	if p == nil {
		p = t.newPart(id, l.at)
	}
	if begun := t.begins.get(id); !l.at.After(begun) {
		// Another VM doesn't know of the answer that began here.
		t.clear(id, p, begun)
		p.begunAt, p.begunHere = later(p.begunAt, begun), true
		t.touch(p)
		return
	}
	if !l.at.After(p.begunAt) || p.has(l) {
		return
	}
	p.insert(l)
	t.touch(p)
	if len(distinctTimes(p.losses)) > 1 {
		t.recurrent[id] = p
	}
	if len(p.losses) >= minLosses {
		t.suspects[id] = p
		t.notify()
	}
}

// clear removes the losses of a part up to the time at which an answer began, and reports
// whether there were any. The caller holds mu.
func (t *Table) clear(id string, p *part, at time.Time) bool {
	if !at.After(p.begunAt) {
		return false
	}
	before := len(p.losses)
	p.losses = lossesAfter(p.losses, at)
	if len(p.losses) == before {
		return false
	}
	p.begunAt, p.begunHere, p.trialAt = at, false, time.Time{}
	if len(p.losses) < minLosses {
		delete(t.suspects, id)
	}
	t.touch(p)
	return true
}

func (t *Table) touch(p *part) {
	t.version++
	p.version = t.version
}

// notify wakes the callers of AwaitRefusal. The caller holds mu.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (p *part) has(l loss) bool {
	return slices.ContainsFunc(p.losses, l.isSame)
}

// insert adds a loss in order of its time, and removes the oldest beyond the limit.
func (p *part) insert(l loss) {
	if n := len(p.losses); n > 0 && l.at.Sub(p.losses[n-1].at) > retention {
		p.losses = nil
	}
	i := len(p.losses)
	for i > 0 && l.at.Before(p.losses[i-1].at) {
		i--
	}
	p.losses = slices.Insert(p.losses, i, l)
	if excess := len(p.losses) - maxLossesPerPart; excess > 0 {
		p.losses = slices.Delete(p.losses, 0, excess)
	}
}

func lossesAfter(losses []loss, at time.Time) []loss {
	return slices.DeleteFunc(losses, func(l loss) bool { return !l.at.After(at) })
}

// lastChange is the time of the last loss or, if there is none left, of the answer that
// cleared the part.
func (p *part) lastChange() time.Time {
	if n := len(p.losses); n > 0 {
		return p.losses[n-1].at
	}
	return p.begunAt
}

// newPart adds a part, and removes others if there are too many. The caller holds mu.
func (t *Table) newPart(id string, now time.Time) *part {
	if len(t.parts) >= maxParts {
		t.removeOld(now)
	}
	p := &part{}
	t.parts[id] = p
	return p
}

// removeOld removes the parts that have no losses or were lost long ago and, if there are
// none, the least suspect ones. The caller holds mu.
func (t *Table) removeOld(now time.Time) {
	for id, p := range t.parts {
		if len(p.losses) == 0 || now.Sub(p.lastChange()) > retention {
			t.remove(id)
		}
	}
	if len(t.parts) < maxParts {
		return
	}
	ids := slices.SortedFunc(maps.Keys(t.parts), t.compareSuspicion)
	for _, id := range ids[:maxParts/8] {
		t.remove(id)
	}
}

func (t *Table) remove(id string) {
	delete(t.parts, id)
	delete(t.recurrent, id)
	delete(t.suspects, id)
}

// compareSuspicion orders parts by whether they are recurrent, and then by their last change,
// the least suspect first. The caller holds mu.
func (t *Table) compareSuspicion(a, b string) int {
	if (t.recurrent[a] == nil) != (t.recurrent[b] == nil) {
		if t.recurrent[a] == nil {
			return -1
		}
		return 1
	}
	return t.parts[a].lastChange().Compare(t.parts[b].lastChange())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
