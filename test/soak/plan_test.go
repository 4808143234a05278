package soak

import (
	"math/rand/v2"
	"time"
)

// Kinds of trouble.
const (
	troubleKill     = "kill"     // SIGKILL, and a start later
	troublePause    = "pause"    // SIGSTOP and SIGCONT: its clock seems to jump
	troubleStop     = "stop"     // SIGTERM, and a start later
	troubleStopKill = "stopkill" // SIGTERM, and SIGKILL before it has ended
	troubleReload   = "reload"   // SIGHUP
	troubleWipe     = "wipe"     // SIGKILL, and a start with an empty disk
	troubleTear     = "tear"     // SIGKILL, and a start with a half-written record in the log
	troubleDelay    = "delay"    // each piece of bytes is held back for a while
	troubleReset    = "reset"    // connections are reset
	troubleCutForth = "cutforth" // bytes to it are held back
	troubleCutBack  = "cutback"  // bytes from it are held back
	troubleCut      = "cut"      // both
	troubleRefuse   = "refuse"   // new connections are reset
	troubleCrash    = "crash"    // a target ends, and another starts at its address
	troubleMute     = "mute"     // a target answers nothing
	troubleFail     = "fail"     // a target answers calls with 500
	troubleLose     = "lose"     // a target's answers are lost
	troubleSpoil    = "spoil"    // a target's answers break off
	troubleSlow     = "slow"     // a target works slowly
	troubleBreak    = "break"    // a target cuts its streams after some events
	troubleLeave    = "leave"    // a target leaves in order
	troubleList     = "list"     // the list can't be read
)

var (
	linkTroubles   = []string{troubleDelay, troubleReset, troubleCutForth, troubleCutBack, troubleCut, troubleRefuse}
	keeperTroubles = append([]string{troubleKill, troublePause, troubleStop, troubleStopKill, troubleReload, troubleWipe, troubleTear}, linkTroubles...)
	entryTroubles  = append([]string{troubleKill, troublePause, troubleStop, troubleStop, troubleStop, troubleStopKill, troubleReload}, linkTroubles...)
	targetTroubles = append([]string{troubleCrash, troubleMute, troubleFail, troubleLose, troubleSpoil, troubleSlow, troubleBreak, troubleLeave}, linkTroubles...)
)

// step is one trouble of a plan.
type step struct {
	at, last time.Duration
	kind     string
	// keeper, entry and target are indexes; -1 for none.
	keeper, entry, target int
}

const (
	// burstPause is the time between two bursts: what is promised for calm times is
	// seen in it.
	burstPause = 7 * time.Second
	// burstLength is the time in which a burst's troubles begin.
	burstLength           = 4 * time.Second
	leastBurst, mostBurst = 6, 18 // troubles
	leastTrouble          = 200 * time.Millisecond
	mostTrouble           = 3 * time.Second
	// wipeDistance keeps two lost disks apart: one at a time is borne.
	wipeDistance = 10 * time.Second
)

// drawPlan draws bursts of troubles that overlap, with calm between them.
func drawPlan(r *rand.Rand, length time.Duration, keepers, entries, targets int) []step {
	var plan []step
	wiped := -wipeDistance
	for begin := time.Duration(0); begin < length; begin += burstLength + burstPause {
		for range leastBurst + r.IntN(mostBurst-leastBurst) {
			s := drawStep(r, begin, keepers, entries, targets)
			switch {
			case s.kind == troubleWipe && s.at < wiped+wipeDistance:
				s.kind = troubleKill
			case s.kind == troubleWipe:
				wiped = s.at
			}
			plan = append(plan, s)
			if s.kind == troubleCrash && r.IntN(2) == 0 {
				plan = append(plan, sameZone(s, targets)...)
			}
		}
	}
	return plan
}

// drawStep draws one trouble of the burst that begins at the time.
func drawStep(r *rand.Rand, begin time.Duration, keepers, entries, targets int) step {
	s := step{
		at:     begin + time.Duration(r.Int64N(int64(burstLength))),
		last:   leastTrouble + time.Duration(r.Int64N(int64(mostTrouble-leastTrouble))),
		keeper: -1, entry: -1, target: -1,
	}
	switch draw := r.IntN(20); {
	case draw < 5:
		s.keeper, s.kind = r.IntN(keepers), pick(r, keeperTroubles)
	case draw < 10:
		s.entry, s.kind = r.IntN(entries), pick(r, entryTroubles)
	case draw < 11:
		s.kind = troubleList
	default:
		s.target, s.kind = pickTarget(r, targets), pick(r, targetTroubles)
	}
	return s
}

// sameZone returns the trouble for the other targets of its availability zone: a zone
// often fails as a whole.
func sameZone(s step, targets int) []step {
	var more []step
	for i := s.target % len(availabilityZones); i < targets; i += len(availabilityZones) {
		if i != s.target {
			other := s
			other.target = i
			more = append(more, other)
		}
	}
	return more
}

// pickTarget draws a target, of each service as often.
func pickTarget(r *rand.Rand, targets int) int {
	if r.IntN(2) == 0 {
		return r.IntN(deskCount)
	}
	return deskCount + r.IntN(targets-deskCount)
}

func pick(r *rand.Rand, kinds []string) string { return kinds[r.IntN(len(kinds))] }

// newRand returns the numbers that a seed gives.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
