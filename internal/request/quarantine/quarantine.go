// Package quarantine finds parts of prompts that crash engines, and refuses requests that
// contain one.
//
// A part that crashes engines is in every request whose engine is lost before the answer
// begins, and no answer to a request with it ever begins. Each loss also ends the other
// requests on that engine, so every part of each of them is a suspect; a part is cleared
// when an answer to a request with it begins. Entry VMs share losses and cleared parts
// through the control VMs, since the requests with one part come to all of them.
package quarantine

import (
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
	// the same loss. An engine may start again under its ID.
	sameLoss = time.Second
	// minPeriod is the length of the quarantine after minLosses losses. Each further loss
	// doubles it, up to maxPeriod.
	minPeriod = time.Minute
	maxPeriod = 8 * time.Minute
	// retention is the time after which a further loss begins a new count. It is longer than
	// any quarantine.
	retention = 2 * maxPeriod
	// maxParts and maxLossesPerPart limit the memory; the oldest are removed.
	maxParts         = 1024
	maxLossesPerPart = 16
)

// Engine identifies one start of an engine.
type Engine struct{ Address, Instance string }

// trialAddress is the address of the losses that stand for trials.
const trialAddress = "trial"

// Options configures a Table. All fields are required.
type Options struct {
	// ID identifies this VM.
	ID string
	// Random returns uniformly distributed numbers from 0 up to 1. It spreads the ends of
	// a quarantine over the entry VMs.
	Random func() float64
}

// Table holds the suspect parts and their losses. It is safe for concurrent use.
type Table struct {
	id string
	// spread is the factor by which this VM extends each quarantine, so that few VMs send
	// a trial before its result is known to all.
	spread float64

	mu    sync.Mutex // guards the fields below
	parts map[string]*part
	// version increases with every change of a part.
	version uint64
	// changed is closed at the next loss.
	changed chan struct{}
}

// part is what is known about one part of prompts.
type part struct {
	// losses are the losses since the last answer that began, in order of their times.
	losses []loss
	// begunAt is when an answer to a request with the part last began; the zero time if
	// none has since the first loss.
	begunAt time.Time
	// version is the version of the table at the last change of the part.
	version uint64
	// recurrent: the part had several losses, and other VMs may know it.
	recurrent bool
}

// loss is the loss of an engine with a request whose answer had not begun.
type loss struct {
	engine Engine
	at     time.Time
}

func (l loss) isSame(other loss) bool {
	return l.engine == other.engine && l.at.Sub(other.at).Abs() < sameLoss
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		id:      opts.ID,
		spread:  1 + opts.Random()/2,
		parts:   map[string]*part{},
		changed: make(chan struct{}),
	}
}

// RecordLoss records the loss of an engine with a request that contains parts and whose
// answer had not begun.
func (t *Table) RecordLoss(parts []string, engine Engine, at time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		t.addLoss(id, loss{engine, at})
	}
	t.notify()
}

// RecordBegun records that an answer to a request that contains parts has begun, which
// clears them.
func (t *Table) RecordBegun(parts []string, at time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		t.clear(id, at)
	}
}

// addLoss adds a loss that is new and later than the last answer that began. The caller
// holds mu.
func (t *Table) addLoss(id string, l loss) {
	p := t.parts[id]
	if p == nil {
		t.removeOld(l.at)
		p = &part{}
		t.parts[id] = p
	}
	if !l.at.After(p.begunAt) || p.has(l) {
		return
	}
	p.insert(l)
	p.recurrent = p.recurrent || len(p.losses) > 1
	t.touch(p)
}

// clear removes the losses of a part up to the time at which an answer began. The caller
// holds mu.
func (t *Table) clear(id string, at time.Time) {
	p := t.parts[id]
	if p == nil || !at.After(p.begunAt) {
		return
	}
	before := len(p.losses)
	p.begunAt = at
	p.losses = lossesAfter(p.losses, at)
	if len(p.losses) != before {
		t.touch(p)
	}
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
	for _, known := range p.losses {
		if known.isSame(l) {
			return true
		}
	}
	return false
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
	p.losses = append(p.losses, loss{})
	copy(p.losses[i+1:], p.losses[i:])
	p.losses[i] = l
	if excess := len(p.losses) - maxLossesPerPart; excess > 0 {
		p.losses = append([]loss(nil), p.losses[excess:]...)
	}
}

func lossesAfter(losses []loss, at time.Time) []loss {
	for i, l := range losses {
		if l.at.After(at) {
			return append([]loss(nil), losses[i:]...)
		}
	}
	return nil
}

// lastChange is the time of the last loss or, if there is none left, of the answer that
// cleared the part.
func (p *part) lastChange() time.Time {
	if n := len(p.losses); n > 0 {
		return p.losses[n-1].at
	}
	return p.begunAt
}

// removeOld makes room for one part. The caller holds mu.
func (t *Table) removeOld(now time.Time) {
	if len(t.parts) < maxParts {
		return
	}
	oldest := ""
	for id, p := range t.parts {
		if now.Sub(p.lastChange()) > retention {
			delete(t.parts, id)
			continue
		}
		if oldest == "" || t.isOlder(p, t.parts[oldest]) {
			oldest = id
		}
	}
	if len(t.parts) >= maxParts {
		delete(t.parts, oldest)
	}
}

// isOlder reports whether a is removed before b: a part with one loss before one that other
// VMs may know, and then the one whose last change is longer ago.
func (t *Table) isOlder(a, b *part) bool {
	if a.recurrent != b.recurrent {
		return b.recurrent
	}
	return a.lastChange().Before(b.lastChange())
}
