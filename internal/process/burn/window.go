package burn

import "time"

// windows are the windows over which burn rates are computed, the shortest first.
var windows = []windowSpec{
	{5 * time.Minute, 10 * time.Second},
	{time.Hour, time.Minute},
	{6 * time.Hour, 5 * time.Minute},
	{BudgetPeriod, time.Hour},
}

// BudgetPeriod is the period that an error budget covers.
const BudgetPeriod = 3 * 24 * time.Hour

// windowSpec is the length of a window and of the slots that divide it.
type windowSpec struct{ length, slotLength time.Duration }

func (s windowSpec) slotCount() int { return int(s.length / s.slotLength) }

// ring counts requests over one sliding window, in a ring buffer of slots. The newest
// slot is still being filled.
type ring struct {
	spec  windowSpec
	slots []count
	// newest is the number of the newest slot, counted from the Unix epoch.
	newest int64
	sum    count // of all slots
}

func newRing(spec windowSpec) *ring {
	return &ring{spec: spec, slots: make([]count, spec.slotCount())}
}

// advance drops the slots that have left the window.
func (r *ring) advance(now time.Time) {
	current := now.UnixNano() / int64(r.spec.slotLength)
	if current-r.newest >= int64(len(r.slots)) {
		clear(r.slots)
		r.sum, r.newest = count{}, current
		return
	}
	for r.newest < current {
		r.newest++
		i := r.newest % int64(len(r.slots))
		r.sum.requests -= r.slots[i].requests
		r.sum.bad -= r.slots[i].bad
		r.slots[i] = count{}
	}
}

// add adds c to the slot of the time now.
func (r *ring) add(now time.Time, c count) {
	r.advance(now)
	i := r.newest % int64(len(r.slots))
	r.slots[i] = r.slots[i].plus(c)
	r.sum = r.sum.plus(c)
}

// total returns the count over the window.
func (r *ring) total(now time.Time) count {
	r.advance(now)
	return r.sum
}
