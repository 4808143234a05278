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
	fleetTime = 40 * time.Second
	// checkInterval is the time between two decisions of a VM that sees no change.
	checkInterval = 100 * time.Millisecond
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

// fleetRun is a simulated fleet of entry VMs at engines with slots. VMs share the number of their runs and what waits at
// them every 100 ms, and learn of that of the others 100 ms later. A stream that is sent without a free slot waits at the
// engines.
type fleetRun struct {
	random   *rand.Rand
	queues   []*Queue
	slots    int
	arrivals []arrival
	byEntry  map[*Entry]arrival
	worth    float64

	running []fleetStream // in slots
	pending []fleetStream // at engines, without a slot
	// sent is the number of streams of each VM at engines, freed how many of them have ended since the last step.
	sent, freed []int
	// shared is what the VMs shared last, known what all know, 100 ms older.
	shared, known fleetState
	// worst is the highest number of streams that waited at engines.
	worst int
}

// fleetStream is a stream at the engines.
type fleetStream struct {
	entry *Entry
	vm    int
	end   time.Time
}

// fleetState is what VMs share.
type fleetState struct {
	sent   []int
	total  int // of sent
	demand [][]Demand
}

func newFleetRun(vms int, mix []class) *fleetRun {
	f := &fleetRun{
		random: rand.New(rand.NewPCG(1, uint64(vms))), slots: 4 * vms, byEntry: map[*Entry]arrival{},
		sent: make([]int, vms), freed: make([]int, vms),
	}
	f.shared = fleetState{sent: make([]int, vms), demand: make([][]Demand, vms)}
	f.known = f.shared
	for range vms {
		f.queues = append(f.queues, New(f.random.Float64))
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

// bestOffline is the worth of the best order if all arrivals were known: as many slots as streams have arrived, and at most
// all, are never idle, and they get what is worth most for its time. No order reaches more.
func (f *fleetRun) bestOffline() float64 {
	all := slices.Clone(f.arrivals)
	value := func(a arrival) float64 { return a.class.worth / (a.work + generation).Seconds() }
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(value(b), value(a)) })
	left, worth := 0.0, 0.0
	for now, arrived := start, 0; now.Sub(start) < fleetTime; now = now.Add(fleetStep) {
		for arrived < len(f.arrivals) && !f.arrivals[arrived].at.After(now) {
			arrived++
		}
		left += float64(min(arrived, f.slots)) * fleetStep.Seconds()
	}
	for _, a := range all {
		used := min((a.work + generation).Seconds(), left)
		worth += value(a) * used
		left -= used
	}
	return worth
}

// play runs the fleet. There is no leader from noLeaderFrom to noLeaderUntil after the start, and VM 0 is paused for 5 s.
func (f *fleetRun) play(noLeaderFrom, noLeaderUntil time.Duration) {
	next := 0
	for now := start; now.Sub(start) < fleetTime; now = now.Add(fleetStep) {
		f.endRuns(now)
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
		shares := elapsed%(100*time.Millisecond) == 0 && (elapsed < noLeaderFrom || elapsed >= noLeaderUntil)
		if shares {
			f.share(now)
		}
		for _, vm := range f.random.Perm(len(f.queues)) {
			if vm == 0 && elapsed >= 12*time.Second && elapsed < 17*time.Second {
				continue
			}
			f.dispatch(vm, shares, now)
		}
		f.worst = max(f.worst, len(f.pending))
	}
}

// endRuns ends runs and gives their slots to streams that wait at engines.
func (f *fleetRun) endRuns(now time.Time) {
	f.running = slices.DeleteFunc(f.running, func(r fleetStream) bool {
		if r.end.After(now) {
			return false
		}
		f.sent[r.vm]--
		f.freed[r.vm]++
		return true
	})
	for len(f.pending) > 0 && len(f.running) < f.slots {
		f.run(f.pending[0], now)
		f.pending = f.pending[1:]
	}
}

// share passes on what the VMs shared 100 ms ago, and collects what they share now.
func (f *fleetRun) share(now time.Time) {
	f.known = f.shared
	f.shared = fleetState{sent: slices.Clone(f.sent), demand: make([][]Demand, len(f.queues))}
	for _, n := range f.shared.sent {
		f.shared.total += n
	}
	sum := map[int]int{}
	for _, demand := range f.known.demand {
		for _, d := range demand {
			sum[d.Priority] += d.Requests
		}
	}
	for i, q := range f.queues {
		others := map[int]int{}
		for priority, n := range sum {
			others[priority] = n
		}
		for _, d := range f.known.demand[i] {
			others[d.Priority] -= d.Requests
		}
		var demand []Demand
		for priority, n := range others {
			demand = append(demand, Demand{Service: service, Priority: priority, Requests: n})
		}
		q.SetRemoteDemand(demand, now)
		f.shared.demand[i] = q.Demand(now)
	}
}

// room is the number of free slots that a VM knows of.
func (f *fleetRun) room(vm int) int {
	return f.slots - f.sent[vm] - (f.known.total - f.known.sent[vm])
}

func (f *fleetRun) dispatch(vm int, shared bool, now time.Time) {
	q := f.queues[vm]
	if q.Len() == 0 {
		f.freed[vm] = 0
		return
	}
	room := f.room(vm)
	if room <= 0 && f.freed[vm] == 0 && now.Sub(start)%checkInterval != 0 {
		return
	}
	if f.freed[vm] > 0 || shared {
		q.RoomFreed(f.freed[vm], now)
		f.freed[vm] = 0
	}
	if now.Sub(start)%OfferInterval == 0 {
		q.Offer(service, max(room, 0), now)
	}
	q.RemoveExpired(now)
	hasRoom := func(*Entry) bool { return room > 0 }
	for e := q.Next(now, hasRoom); e != nil; e = q.Next(now, hasRoom) {
		room--
		f.sent[vm]++
		if s := (fleetStream{entry: e, vm: vm}); len(f.running) < f.slots {
			f.run(s, now)
		} else {
			f.pending = append(f.pending, s)
		}
	}
}

// run starts a run in a slot and adds its worth, or the part of it that is before the end of the simulation.
func (f *fleetRun) run(s fleetStream, now time.Time) {
	a := f.byEntry[s.entry]
	begins := now.Add(a.work)
	s.end = begins.Add(generation)
	f.running = append(f.running, s)
	worth := a.class.worth
	if begins.After(s.entry.Objective) {
		worth *= a.class.lateShare
	}
	if begins.After(s.entry.Deadline) {
		worth = 0
	}
	f.worth += worth * min(start.Add(fleetTime).Sub(now).Seconds()/s.end.Sub(now).Seconds(), 1)
}

// TestWorthAtOverload guards against an order that serves much less than could be served, and against VMs that all send a
// stream to the engine that becomes free. Load pattern: 1.7 times the streams that fit, for 40 s, at 69 and 300 VMs, while
// a VM is paused for 5 s and the leader is lost: for the time of an election, or for 5 s, in which VMs know only the loads
// from before.
func TestWorthAtOverload(t *testing.T) {
	for name, mix := range mixes {
		for _, c := range []struct {
			vms      int
			noLeader time.Duration
			// share is the required share of the best worth, waiting the allowed streams at engines as a share of the slots.
			share, waiting float64
		}{
			{69, 1500 * time.Millisecond, 0.9, 0.75},
			{300, 1500 * time.Millisecond, 0.9, 0.75},
			{69, 5 * time.Second, 0.8, 2},
		} {
			t.Run(fmt.Sprintf("%s at %d VMs, no leader for %v", name, c.vms, c.noLeader), func(t *testing.T) {
				f := newFleetRun(c.vms, mix)
				f.play(20*time.Second, 20*time.Second+c.noLeader)
				best := f.bestOffline()
				t.Logf("worth %.0f of %.0f, %.3f; at most %d streams waited at engines with %d slots", f.worth, best, f.worth/best, f.worst, f.slots)
				assert.Assert(t, f.worth >= c.share*best, "worth %.0f of %.0f", f.worth, best)
				assert.Assert(t, float64(f.worst) <= c.waiting*float64(f.slots), "%d streams waited at engines with %d slots", f.worst, f.slots)
			})
		}
	}
}
