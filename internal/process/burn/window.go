package burn

import "time"

// windows are the lengths over which burn is told, the shortest first.
var windows = []windowSpec{
	{5 * time.Minute, 10 * time.Second},
	{time.Hour, time.Minute},
	{6 * time.Hour, 5 * time.Minute},
	{BudgetPeriod, time.Hour},
}

// BudgetPeriod is the time over which an error budget is counted.
const BudgetPeriod = 3 * 24 * time.Hour

// windowSpec is a window's length and the length of its slots.
type windowSpec struct{ length, slot time.Duration }

func (s windowSpec) slots() int { return int(s.length / s.slot) }

// ring counts one window. The newest slot is partly filled.
type ring struct {
	spec  windowSpec
	slots []count
	// newest is the number of the newest slot since the Unix epoch.
	newest int64
	sum    count
}

func newRing(spec windowSpec) *ring {
	return &ring{spec: spec, slots: make([]count, spec.slots())}
}

// advance drops the slots that have left the window.
func (r *ring) advance(now time.Time) {
	current := now.UnixNano() / int64(r.spec.slot)
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

// add counts c now.
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
