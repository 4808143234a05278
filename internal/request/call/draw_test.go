package call

import (
	"time"

	"pgregory.net/rapid"
)

// step is one event of a history.
type step struct {
	pause time.Duration
	kind  stepKind
	// router, desk and key choose among those of the history.
	router, desk, key int
	// body chooses between two bodies of a key.
	body    int
	timeout time.Duration
	fault   deskFault
	fates   []fate
	clock   time.Duration
}

type stepKind int

const (
	callWithKey stepKind = iota
	callWithKeyAgain
	callOnceOnly
	callLookup
	changeDesk
	restartDesk
	silenceDesk
	cutDesk
	loseProposals
	partitionRouter
	crashRouter
	drainRouter
	closeAdmission
	declareLost
	stepClock
	restoreLedger
	stepKinds
)

// history is a drawn run: what callers send and what fails.
type history struct {
	routers, desks, keys int
	lookups, http1       bool
	steps                []step
}

func drawStep(t *rapid.T) step {
	return step{
		pause:   time.Duration(rapid.SampledFrom([]int{0, 0, 1, 3, 5, 40, 300}).Draw(t, "pause_ms")) * time.Millisecond,
		kind:    stepKind(rapid.IntRange(0, int(stepKinds)-1).Draw(t, "kind")),
		router:  rapid.IntRange(0, 2).Draw(t, "router"),
		desk:    rapid.IntRange(0, 2).Draw(t, "desk"),
		key:     rapid.IntRange(0, 2).Draw(t, "key"),
		body:    rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "body"),
		timeout: time.Duration(rapid.SampledFrom([]int{3, 20, 200, 1000}).Draw(t, "timeout_ms")) * time.Millisecond,
		fault:   deskFault(rapid.IntRange(0, int(deskFaults)-1).Draw(t, "fault")),
		fates: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fate {
			return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate"))
		}), 1, 3).Draw(t, "fates"),
		clock: time.Duration(rapid.SampledFrom([]int{-20, -1, 1, 20}).Draw(t, "clock_s")) * time.Second,
	}
}

func drawHistory(t *rapid.T) history {
	return history{
		routers: rapid.IntRange(2, 3).Draw(t, "routers"),
		desks:   rapid.IntRange(1, 3).Draw(t, "desks"),
		keys:    rapid.IntRange(1, 2).Draw(t, "keys"),
		lookups: rapid.Bool().Draw(t, "lookups"),
		http1:   rapid.IntRange(0, 3).Draw(t, "http1") == 3,
		steps:   rapid.SliceOfN(rapid.Custom(drawStep), 3, 9).Draw(t, "steps"),
	}
}
