package intake

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// stallTime is how long a client may send nothing before its unfinished request is given up
	// where others need the room. A caller at 10 Mbit/s beside others has a new packet each few
	// milliseconds.
	stallTime = 300 * time.Millisecond
	// evictionDelay is how long a request waits for room before the largest unfinished one is given up.
	evictionDelay = 100 * time.Millisecond
	// maxWait bounds the time that a request waits for room, so that a share that is taken by
	// requests that are being served gives a refusal and no connection that hangs.
	maxWait = 2 * time.Second
	// checkInterval is how often a request that waits looks for clients that have stalled.
	checkInterval = 20 * time.Millisecond
	// selectInterval is the least time between two searches for a request to give up, which look at all
	// unfinished ones: 700 of them take about 10 µs.
	selectInterval = 2 * time.Millisecond
)

// Hold is the memory of one request: its head or its body. It is unfinished while its client must
// send more, and may be given up until then.
type Hold struct {
	use *Use
	// giveUp interrupts the reads of the request. It is called at most once.
	giveUp func()

	// Guarded by the budget's lock.
	bytes    int64
	begun    time.Time
	progress time.Time // when the client last sent something
	waiting  bool      // the request waits for room, not for its client
	givenUp  bool
	released bool // nothing is reserved any more
}

// Begin returns the hold of an unfinished request. giveUp is called if the request must be given
// up, and makes its reads fail.
func (u *Use) Begin(giveUp func()) *Hold {
	now := time.Now()
	h := &Hold{use: u, giveUp: giveUp, begun: now, progress: now}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.unfinished[h] = true
	return h
}

// Progress records that the client has sent something.
func (h *Hold) Progress() {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	h.progress = time.Now()
}

// GivenUp reports whether the request was given up.
func (h *Hold) GivenUp() bool {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	return h.givenUp
}

// Grow reserves n more bytes. While there is no room it waits, and gives up others that are stalled,
// or larger than this one. It fails with ErrNoRoom if this request is to be refused.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	begin := time.Now()
	for {
		ok, released, err := h.tryGrow(n, time.Since(begin))
		if ok || err != nil {
			return errors.Trace(err)
		}
		timer := time.NewTimer(checkInterval)
		select {
		case <-released:
		case <-timer.C:
		case <-ctx.Done():
			err = ErrNoRoom
		}
		timer.Stop()
		if err != nil {
			h.endWait()
			return errors.Trace(err)
		}
	}
}

func (h *Hold) endWait() {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	h.waiting = false
}

// tryGrow makes one attempt, after a wait of waited. If there is no room it selects a request to
// give up; released is closed when there may be room.
func (h *Hold) tryGrow(n int64, waited time.Duration) (ok bool, released <-chan struct{}, err error) {
	b := h.use.budget
	b.mu.Lock()
	now := time.Now()
	var victim *Hold
	defer func() {
		if victim != nil {
			victim.giveUp() // takes locks of connections, so it is called without the budget's
		}
	}()
	defer b.mu.Unlock()
	if h.givenUp || h.released {
		h.waiting = false
		return false, nil, ErrNoRoom
	}
	if h.use.tryReserve(n) {
		h.bytes += n
		h.waiting, h.progress = false, now
		return true, nil, nil
	}
	h.waiting = true
	if h.bytes+n > min(h.use.limit, b.total) || waited >= maxWait {
		h.waiting = false
		return false, nil, ErrNoRoom
	}
	if now.Sub(h.use.selected) < selectInterval {
		return false, b.released, nil
	}
	h.use.selected = now
	selected := h.use.selectVictim(h, n, now, waited >= evictionDelay)
	if selected == h {
		h.waiting = false
		return false, nil, ErrNoRoom
	}
	if selected != nil {
		selected.givenUp = true
		victim = selected
	}
	return false, b.released, nil
}

// selectVictim returns the unfinished request to give up so that wants can grow by n: one that has
// stalled, the largest of these, or, if largest is true, the largest one, which may be wants itself. It
// returns nil if what was given up already makes enough room. The caller holds the budget's lock.
func (u *Use) selectVictim(wants *Hold, n int64, now time.Time, largest bool) *Hold {
	var freed int64
	var worst *Hold
	var worstStalled bool
	for h := range u.unfinished {
		if h.givenUp {
			freed += h.bytes
			continue
		}
		stalled := h != wants && !h.waiting && now.Sub(h.progress) >= stallTime
		size := h.bytes
		if h == wants {
			size += n // it would have that size
		}
		if size == 0 || !stalled && !largest {
			continue
		}
		if worst == nil || isWorse(stalled, worstStalled, size, worst.sizeFor(wants, n), h.begun, worst.begun) {
			worst, worstStalled = h, stalled
		}
	}
	if freed >= n {
		return nil
	}
	return worst
}

func (h *Hold) sizeFor(wants *Hold, n int64) int64 {
	if h == wants {
		return h.bytes + n
	}
	return h.bytes
}

// isWorse orders stalled requests before others, then large before small, then new before old.
func isWorse(stalled, otherStalled bool, size, otherSize int64, begun, otherBegun time.Time) bool {
	if stalled != otherStalled {
		return stalled
	}
	if size != otherSize {
		return size > otherSize
	}
	return begun.After(otherBegun)
}

// Shrink returns n reserved bytes.
func (h *Hold) Shrink(n int64) {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	if h.released {
		return
	}
	h.bytes -= n
	h.use.release(n)
}

// Finish states that the request was received completely, so that it is not given up any more. It
// reports false if it was given up before.
func (h *Hold) Finish() bool {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	if h.givenUp {
		return false
	}
	delete(h.use.unfinished, h)
	return true
}

// Release returns all that is reserved, and ends the hold: it doesn't grow after that. It may be called
// more than once.
func (h *Hold) Release() {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	delete(h.use.unfinished, h)
	h.use.release(h.bytes)
	h.bytes, h.released = 0, true
}
