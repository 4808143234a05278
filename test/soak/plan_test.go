package soak

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Kinds of injected faults.
const (
	faultKill            = "kill"     // SIGKILL, then a restart
	faultPause           = "pause"    // SIGSTOP, then SIGCONT; to the process the clock seems to jump
	faultStop            = "stop"     // SIGTERM, then a restart
	faultStopKill        = "stopkill" // SIGTERM, SIGKILL before the shutdown is complete, then a restart
	faultReload          = "reload"   // SIGHUP
	faultWipe            = "wipe"     // SIGKILL, then a restart with an empty disk
	faultTornRecord      = "tear"     // SIGKILL, then a restart with a partly written record in the log
	faultDelay           = "delay"    // each chunk of bytes is delayed
	faultReset           = "reset"    // open connections are reset
	faultStallInbound    = "cutforth" // bytes to the subject are held back
	faultStallOutbound   = "cutback"  // bytes from the subject are held back
	faultStallBoth       = "cut"      // bytes in both directions are held back
	faultRefuse          = "refuse"   // new connections are reset
	faultCrash           = "crash"    // a target crashes, and another one starts at its address
	faultHang            = "mute"     // a target runs requests and never answers
	faultError           = "fail"     // a target answers calls with status 500
	faultLoseAnswers     = "lose"     // a target's answers are lost
	faultTruncateAnswers = "spoil"    // a target's answers are truncated
	faultMalform         = "malform"  // a target's answers have no valid status or names of fields
	faultSlow            = "slow"     // a target takes five times as long
	faultBreakStreams    = "break"    // a target closes its streams after some events
	faultCopies          = "copies"   // a target refuses most requests and sends second copies of its answers, late
	faultLeave           = "leave"    // a target is listed as leaving, ends and is replaced
	faultRestart         = "restart"  // a target is listed as leaving, ends and starts again under its ID
	faultAnnounce        = "announce" // a target says that it leaves, ends and starts again under its ID; the list shows nothing
	faultBusy            = "busy"     // a target refuses all requests and names when it wants the next one
	faultDeadly          = "deadly"   // a target crashes on a call that crashes all targets
	faultLimit           = "limit"    // a target names a limit of its requests
	faultList            = "list"     // the list of targets can't be read
)

var (
	linkFaults   = []string{faultDelay, faultReset, faultStallInbound, faultStallOutbound, faultStallBoth, faultRefuse}
	keeperFaults = append([]string{faultKill, faultPause, faultStop, faultStopKill, faultReload, faultWipe, faultTornRecord}, linkFaults...)
	entryFaults  = append([]string{faultKill, faultPause, faultStop, faultStop, faultStop, faultStopKill, faultReload}, linkFaults...)
	targetFaults = append([]string{faultCrash, faultHang, faultError, faultLoseAnswers, faultTruncateAnswers, faultSlow, faultBreakStreams, faultLeave}, linkFaults...)
)

// plannedFault is one fault of a plan.
type plannedFault struct {
	at, duration time.Duration
	kind         string
	// keeper, entry and target are indexes, -1 for none. A fault without any of them
	// affects the list of targets.
	keeper, entry, target int
	// limit is the limit that the target names, in requests per second, for faultLimit.
	limit float64
	// service is the service from whose targets a cut separates the entry VM; empty means all.
	service string
	// programs is the folder of the program that runs after the restart; empty means the same one.
	programs string
}

const (
	// burstGap is the time between two bursts of faults. It is long enough to check
	// the guarantees that hold only without faults.
	burstGap = 7 * time.Second
	// burstLength is the time within which the faults of a burst begin.
	burstLength                    = 4 * time.Second
	minBurstFaults, maxBurstFaults = 6, 18 // faults per burst
	minFaultTime                   = 200 * time.Millisecond
	maxFaultTime                   = 3 * time.Second
	// minWipeInterval keeps two disk losses apart: the system tolerates one at a time.
	minWipeInterval = 10 * time.Second
	// limitTime is the duration of faultLimit. It covers a pause between two bursts.
	limitTime    = burstLength + burstGap + time.Second
	maxBurstCuts = 3 // cuts per burst
	// restartTime is the time between the end of a target and its next start under the same ID.
	restartTime = 300 * time.Millisecond
	// busyTime is the time for which a target refuses requests, busySeconds what its refusals name.
	busyTime    = 3 * time.Second
	busySeconds = 2
	minCutTime  = time.Second
	maxCutTime  = 5 * time.Second
	// maxLimit is the highest limit that a target names, in requests per second.
	maxLimit = 10
)

// newPlan returns randomly drawn bursts of overlapping faults, with pauses between the
// bursts.
func newPlan(r *rand.Rand, length time.Duration, keepers, entries, targets int) []plannedFault {
	var plan []plannedFault
	lastWipe := -minWipeInterval
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		for range minBurstFaults + r.IntN(maxBurstFaults-minBurstFaults) {
			f := newPlannedFault(r, begin, keepers, entries, targets)
			switch {
			case f.kind == faultWipe && f.at < lastWipe+minWipeInterval:
				f.kind = faultKill
			case f.kind == faultWipe:
				lastWipe = f.at
			}
			plan = append(plan, f)
			if f.kind == faultCrash && r.IntN(2) == 0 {
				plan = append(plan, zoneFaults(f, targets)...)
			}
		}
	}
	return plan
}

// newPlannedFault draws one fault of the burst that starts at begin.
func newPlannedFault(r *rand.Rand, begin time.Duration, keepers, entries, targets int) plannedFault {
	f := plannedFault{
		at:       begin + time.Duration(r.Int64N(int64(burstLength))),
		duration: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))),
		keeper:   -1, entry: -1, target: -1,
	}
	switch draw := r.IntN(20); {
	case draw < 5:
		f.keeper, f.kind = r.IntN(keepers), randomKind(r, keeperFaults)
	case draw < 10:
		f.entry, f.kind = r.IntN(entries), randomKind(r, entryFaults)
	case draw < 11:
		f.kind = faultList
	default:
		f.target, f.kind = randomTarget(r, targets), randomKind(r, targetFaults)
	}
	return f
}

// zoneFaults returns the same fault for the other targets in the availability zone of
// the faulty target, because a zone often fails as a whole.
func zoneFaults(f plannedFault, targets int) []plannedFault {
	var faults []plannedFault
	for i := f.target % len(availabilityZones); i < targets; i += len(availabilityZones) {
		if i != f.target {
			other := f
			other.target = i
			faults = append(faults, other)
		}
	}
	return faults
}

// newLimitFaults returns, for some bursts, faults with which several targets of a service name
// limits.
func newLimitFaults(r *rand.Rand, length time.Duration, targets int) []plannedFault {
	var plan []plannedFault
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		first, count := randomService(r, targets, 4)
		for i := range r.IntN(count + 1) {
			plan = append(plan, plannedFault{
				at: begin + time.Duration(r.Int64N(int64(burstLength))), duration: limitTime,
				kind: faultLimit, keeper: -1, entry: -1, target: first + i, limit: 0.5 + r.Float64()*(maxLimit-0.5),
			})
		}
	}
	return plan
}

// newRestartFaults returns, for some bursts, planned restarts of all targets of a service, one after
// the other or at the same time.
func newRestartFaults(r *rand.Rand, length time.Duration, targets int) []plannedFault {
	var plan []plannedFault
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		if r.IntN(2) == 0 {
			continue
		}
		first, count := randomService(r, targets, 2)
		gap := time.Duration(r.Int64N(int64(burstLength))) / time.Duration(count)
		for i := range count {
			plan = append(plan, plannedFault{at: begin + time.Duration(i)*gap, kind: faultRestart, keeper: -1, entry: -1, target: first + i})
		}
	}
	return plan
}

// newCopyFaults returns, for some bursts, faults with which all targets of a service refuse requests and
// send late copies.
func newCopyFaults(r *rand.Rand, length time.Duration, targets int) []plannedFault {
	var plan []plannedFault
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		first, count := randomService(r, targets, 2)
		for i := range r.IntN(2) * count {
			plan = append(plan, plannedFault{at: begin, duration: burstLength, kind: faultCopies, keeper: -1, entry: -1, target: first + i})
		}
	}
	return plan
}

// newMalformFaults returns, for some bursts, targets of a service that malform their answers, one or all.
func newMalformFaults(r *rand.Rand, length time.Duration, targets int) []plannedFault {
	var plan []plannedFault
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		f := plannedFault{
			at: begin + time.Duration(r.Int64N(int64(burstLength))), duration: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))),
			kind: faultMalform, keeper: -1, entry: -1,
		}
		first, count := randomService(r, targets, 2)
		switch r.IntN(3) {
		case 0:
			count = 0
		case 1:
			count = 1
		}
		for i := range count {
			f.target = first + i
			plan = append(plan, f)
		}
	}
	return plan
}

// newStateFaults returns, for some bursts, targets that state in their responses that they leave, one at a
// time, and for others all targets of a service that refuse requests for a time.
func newStateFaults(r *rand.Rand, length time.Duration, targets int) []plannedFault {
	var plan []plannedFault
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		f := plannedFault{at: begin + time.Duration(r.Int64N(int64(burstLength-busyTime))), keeper: -1, entry: -1}
		switch r.IntN(3) {
		case 0:
			f.kind, f.target = faultAnnounce, randomTarget(r, targets)
			plan = append(plan, f)
		case 1:
			first, count := randomService(r, targets, 2)
			for i := range 1 + r.IntN(count) {
				f.kind, f.target, f.duration = faultBusy, first+i, busyTime
				plan = append(plan, f)
			}
		}
	}
	return plan
}

// newCutFaults returns, for most bursts, cuts of entry VMs from targets, each with a fault of a VM
// that may have to help meanwhile.
func newCutFaults(r *rand.Rand, length time.Duration, keepers, entries int) []plannedFault {
	var plan []plannedFault
	for begin := time.Duration(0); begin < length; begin += burstLength + burstGap {
		for range r.IntN(maxBurstCuts + 1) {
			f := plannedFault{
				at:       begin + time.Duration(r.Int64N(int64(burstLength))),
				duration: minCutTime + time.Duration(r.Int64N(int64(maxCutTime-minCutTime))),
				kind:     randomKind(r, cutKinds), keeper: -1, target: -1,
				service: randomKind(r, []string{"", "", standin.Desk, standin.Model}),
			}
			for _, f.entry = range entriesToCut(r, entries) {
				plan = append(plan, f)
			}
			plan = append(plan, newFaultDuring(r, f, keepers, entries))
		}
	}
	return plan
}

// entriesToCut returns the indexes of one entry VM, of some or of those of an availability zone.
func entriesToCut(r *rand.Rand, entries int) []int {
	switch first := r.IntN(entries); r.IntN(3) {
	case 0:
		return []int{first}
	case 1:
		return r.Perm(entries)[:1+r.IntN(entries)]
	default:
		var zone []int
		for i := first % len(availabilityZones); i < entries; i += len(availabilityZones) {
			zone = append(zone, i)
		}
		return zone
	}
}

// newFaultDuring draws a fault of an entry VM or of a control VM that begins during a cut.
func newFaultDuring(r *rand.Rand, cut plannedFault, keepers, entries int) plannedFault {
	f := plannedFault{
		at:       cut.at + time.Duration(r.Int64N(int64(cut.duration))),
		duration: minFaultTime + time.Duration(r.Int64N(int64(maxFaultTime-minFaultTime))),
		kind:     randomKind(r, []string{faultKill, faultPause, faultStop}),
		keeper:   -1, entry: -1, target: -1,
	}
	if r.IntN(4) == 0 {
		f.keeper = r.IntN(keepers)
	} else {
		f.entry = r.IntN(entries)
	}
	return f
}

// randomTarget returns the index of a target; each service is drawn with the same
// probability.
func randomTarget(r *rand.Rand, targets int) int {
	if r.IntN(2) == 0 {
		return r.IntN(deskTargets)
	}
	return deskTargets + r.IntN(targets-deskTargets)
}

// randomService returns the index of the first target of a service and the number of its targets; one time in
// n, it is that of the model targets.
func randomService(r *rand.Rand, targets, n int) (first, count int) {
	if r.IntN(n) == 0 {
		return deskTargets, targets - deskTargets
	}
	return 0, deskTargets
}

func randomKind(r *rand.Rand, kinds []string) string { return kinds[r.IntN(len(kinds))] }

// newRand returns the random number generator of a seed.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// newCutRand returns a third generator of a seed, for the cuts from targets.
func newCutRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

// newRestartRand returns a fourth generator of a seed, for the planned restarts of targets and their late
// copies of answers.
func newRestartRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// newStateRand returns a fifth generator of a seed, for what targets state in their responses.
func newStateRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 4)) }

// newUpgradeRand returns a sixth generator of a seed, for the replacement of the programs.
func newUpgradeRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// newMalformRand returns a seventh generator of a seed, for the targets that malform their answers.
func newMalformRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 6)) }

// newLimitRand returns a second generator of a seed, for the faults that newPlan doesn't draw.
func newLimitRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
