package dispatchqueue

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// class is a kind of streams.
type class struct {
	priority  int
	objective time.Duration
	// worth is that of a stream that begins in time; a late one has worth*lateShare.
	worth, lateShare float64
	// share is the share of the arrivals.
	share float64
}

// mixes are the kinds of streams of the two deployments that docs/hard-load.md names.
var mixes = map[string][]class{
	"two priorities": {
		{priority: 0, objective: 4 * time.Second, worth: 27, lateShare: 0.33, share: 0.39},
		{priority: 2, objective: 10 * time.Second, worth: 7.1, lateShare: 0.33, share: 0.61},
	},
	"one priority": {
		{priority: 1, objective: 4500 * time.Millisecond, worth: 15, lateShare: 0.46, share: 1},
	},
}

const (
	fleetStep = 20 * time.Millisecond
	fleetTime = 60 * time.Second
	// fleetDeadline is the deadline of all streams.
	fleetDeadline = 25 * time.Second
	// generation is the time of a run after its first event.
	generation = 3 * time.Second
	overload   = 1.7
)

// arrival is a stream of a caller.
type arrival struct {
	class class
	at    time.Time
	vm    int
	work  time.Duration
}

// fleetRun is a simulated fleet of entry VMs at engines with slots. VMs learn of free slots at once, and of each other's
// demand through a leader with a delay.
type fleetRun struct {
	random   *rand.Rand
	queues   []*Queue
	slots    int
	ends     []time.Time // of the runs
	pending  []*Entry    // sent beyond the room; they wait at engines
	freed    bool        // a run has ended at this step
	arrivals []arrival
	byEntry  map[*Entry]arrival
	shared   [][]Demand
	worth    float64
}

func newFleetRun(vms int, mix []class) *fleetRun {
	f := &fleetRun{random: rand.New(rand.NewPCG(1, uint64(vms))), slots: 4 * vms, byEntry: map[*Entry]arrival{}, shared: make([][]Demand, vms)}
	for range vms {
		f.queues = append(f.queues, New())
	}
	meanRun := time.Second + generation
	perSecond := overload * float64(f.slots) / meanRun.Seconds()
	for at := start; ; {
		at = at.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		if at.Sub(start) >= fleetTime {
			return f
		}
		a := arrival{class: mix[0], at: at, vm: f.random.IntN(vms)}
		if f.random.Float64() >= mix[0].share {
			a.class = mix[len(mix)-1]
		}
		a.work = time.Duration((0.5 + f.random.Float64()) * float64(time.Second))
		f.arrivals = append(f.arrivals, a)
	}
}

// bestOffline is the worth of the best order if all arrivals were known: the slots are never idle, and get
// what is worth most for its time. No order reaches more.
func (f *fleetRun) bestOffline() float64 {
	all := slices.Clone(f.arrivals)
	value := func(a arrival) float64 { return a.class.worth / (a.work + generation).Seconds() }
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(value(b), value(a)) })
	left, worth := float64(f.slots)*fleetTime.Seconds(), 0.0
	for _, a := range all {
		used := min((a.work + generation).Seconds(), left)
		worth += a.class.worth * used / (a.work + generation).Seconds()
		left -= used
	}
	return worth
}

// play runs the fleet. There is no leader from noLeaderFrom to noLeaderUntil after the start, and VM 0 is paused for 5 s.
func (f *fleetRun) play(noLeaderFrom, noLeaderUntil time.Duration) {
	next := 0
	for now := start; now.Sub(start) < fleetTime; now = now.Add(fleetStep) {
		runs := len(f.ends)
		f.ends = slices.DeleteFunc(f.ends, func(end time.Time) bool { return !end.After(now) })
		f.freed = len(f.ends) < runs
		for len(f.pending) > 0 && len(f.ends) < f.slots {
			f.run(f.pending[0], now)
			f.pending = f.pending[1:]
		}
		for ; next < len(f.arrivals) && !f.arrivals[next].at.After(now); next++ {
			a := f.arrivals[next]
			e := &Entry{
				Service: service, Team: fmt.Sprint(next % 7), Priority: a.class.priority, Work: a.work,
				Objective: a.at.Add(a.class.objective), Deadline: a.at.Add(fleetDeadline),
			}
			q := f.queues[a.vm]
			if e.WillMissDeadline(q.ExpectedWait(e, now), now) {
				continue
			}
			f.byEntry[e] = a
			q.Join(e, now)
		}
		elapsed := now.Sub(start)
		if elapsed%(100*time.Millisecond) == 0 && (elapsed < noLeaderFrom || elapsed >= noLeaderUntil) {
			f.share(now)
		}
		for _, vm := range f.random.Perm(len(f.queues)) {
			if vm == 0 && elapsed >= 20*time.Second && elapsed < 25*time.Second {
				continue
			}
			f.dispatch(f.queues[vm], now)
		}
	}
}

// share passes on what the VMs shared 100 ms ago, and collects what they share now.
func (f *fleetRun) share(now time.Time) {
	sum := map[int]int{}
	for _, demand := range f.shared {
		for _, d := range demand {
			sum[d.Priority] += d.Requests
		}
	}
	for i, q := range f.queues {
		others := map[int]int{}
		for priority, n := range sum {
			others[priority] = n
		}
		for _, d := range f.shared[i] {
			others[d.Priority] -= d.Requests
		}
		var demand []Demand
		for priority, n := range others {
			demand = append(demand, Demand{Service: service, Priority: priority, Requests: n})
		}
		q.SetRemoteDemand(demand, now)
		f.shared[i] = q.Demand(now)
	}
}

func (f *fleetRun) dispatch(q *Queue, now time.Time) {
	if f.freed {
		q.RoomFreed(now)
	}
	q.RemoveExpired(now)
	room := func(*Entry) bool { return len(f.ends) < f.slots }
	for e := q.Next(now, room); e != nil; e = q.Next(now, room) {
		if len(f.ends) < f.slots {
			f.run(e, now)
		} else {
			f.pending = append(f.pending, e)
		}
	}
}

// run starts a run and adds its worth.
func (f *fleetRun) run(e *Entry, now time.Time) {
	a := f.byEntry[e]
	begins := now.Add(a.work)
	f.ends = append(f.ends, begins.Add(generation))
	switch {
	case begins.After(e.Deadline):
	case begins.After(e.Objective):
		f.worth += a.class.worth * a.class.lateShare
	default:
		f.worth += a.class.worth
	}
}

// TestWorthAtOverload guards against an order that serves much less than could be served. Load pattern: 1.7 times the
// streams that fit, for a minute, at 69 and 300 VMs, while the leader is lost for 5 s and a VM is paused for 5 s.
func TestWorthAtOverload(t *testing.T) {
	for name, mix := range mixes {
		for _, vms := range []int{69, 300} {
			t.Run(fmt.Sprintf("%s at %d VMs", name, vms), func(t *testing.T) {
				f := newFleetRun(vms, mix)
				f.play(30*time.Second, 35*time.Second)
				best := f.bestOffline()
				t.Logf("worth %.0f of %.0f, %.3f", f.worth, best, f.worth/best)
				assert.Assert(t, len(f.pending) == 0, "%d streams wait at engines", len(f.pending))
				assert.Assert(t, f.worth >= 0.9*best, "worth %.0f of %.0f", f.worth, best)
			})
		}
	}
}
