package call

import (
	"time"

	"pgregory.net/rapid"
)

// step is an event of a history.
type step struct {
	pause time.Duration
	kind  stepKind
	// Index of the router, target and key, modulo their number in the history.
	routerIndex, targetIndex, keyIndex int
	// payloadVariant selects one of two payloads of a key. A resend with the other one
	// conflicts.
	payloadVariant int
	timeout        time.Duration
	targetFault    targetFault
	proposalFaults []proposalFault
	clockOffset    time.Duration
}

type stepKind int

const (
	stepCallWithKey      stepKind = iota
	stepCallWithKeyAgain          // same as stepCallWithKey, which is thereby drawn more often
	stepCallOnce
	stepCallIdempotent
	stepSetTargetFault
	stepRestartTarget
	stepBlackholeTarget
	stepCloseTargetConns
	stepFaultProposals
	stepPartitionRouter
	stepCrashRouter
	stepDrainRouter
	stepToggleAdmission
	stepDeclareRouterLost
	stepChangeClock
	stepRestoreLedger
	numStepKinds
)

// history is a randomly generated sequence of calls and faults.
type history struct {
	routers, targets, keys int
	canLookupKeys, http1   bool
	steps                  []step
}

func drawStep(t *rapid.T) step {
	return step{
		pause:          time.Duration(rapid.SampledFrom([]int{0, 0, 1, 3, 5, 40, 300}).Draw(t, "pause_ms")) * time.Millisecond,
		kind:           stepKind(rapid.IntRange(0, int(numStepKinds)-1).Draw(t, "kind")),
		routerIndex:    rapid.IntRange(0, 2).Draw(t, "router"),
		targetIndex:    rapid.IntRange(0, 2).Draw(t, "desk"),
		keyIndex:       rapid.IntRange(0, 2).Draw(t, "key"),
		payloadVariant: rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "body"),
		timeout:        time.Duration(rapid.SampledFrom([]int{3, 20, 200, 1000}).Draw(t, "timeout_ms")) * time.Millisecond,
		targetFault:    targetFault(rapid.IntRange(0, int(numTargetFaults)-1).Draw(t, "fault")),
		proposalFaults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) proposalFault {
			return proposalFault(rapid.IntRange(0, int(numProposalFaults)-1).Draw(t, "fate"))
		}), 1, 3).Draw(t, "fates"),
		clockOffset: time.Duration(rapid.SampledFrom([]int{-20, -1, 1, 20}).Draw(t, "clock_s")) * time.Second,
	}
}

func drawHistory(t *rapid.T) history {
	return history{
		routers:       rapid.IntRange(2, 3).Draw(t, "routers"),
		targets:       rapid.IntRange(1, 3).Draw(t, "desks"),
		keys:          rapid.IntRange(1, 2).Draw(t, "keys"),
		canLookupKeys: rapid.Bool().Draw(t, "lookups"),
		http1:         rapid.IntRange(0, 3).Draw(t, "http1") == 3,
		steps:         rapid.SliceOfN(rapid.Custom(drawStep), 3, 9).Draw(t, "steps"),
	}
}
