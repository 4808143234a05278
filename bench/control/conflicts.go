package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	applied "github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// The simulated stream of changes: a sixtieth of a day at 12,000 changes per day over
// 14,000 teams. The teams follow a Zipf distribution, so that a few are changed far
// more often than the rest.
const (
	streamTeams      = 14_000
	streamChanges    = 200
	streamDuration   = 24 * time.Hour / 60
	teamZipfExponent = 1.1
	maxAttempts      = 20
)

// operatorStep is the next step of one change: making a plan or confirming it.
type operatorStep struct {
	at      time.Duration
	change  int
	team    string
	attempt int
	plan    *chicoryv1.Plan // nil until the plan is made
}

// stepQueue is a heap of steps, the earliest first.
type stepQueue []operatorStep

// Len implements heap.Interface.
func (s stepQueue) Len() int { return len(s) }

// Less implements heap.Interface.
func (s stepQueue) Less(i, j int) bool { return s[i].at < s[j].at }

// Swap implements heap.Interface.
func (s stepQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *stepQueue) Push(x any) { *s = append(*s, x.(operatorStep)) }

// Pop implements heap.Interface.
func (s *stepQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// measureConflicts compares two designs of confirm on the same stream of changes: in
// one the whole revision must be unchanged since the plan was made, in the other only
// the items that the plan read.
func measureConflicts(b *benchmark) error {
	for _, thinkTime := range []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute} {
		for _, wholeRevision := range []bool{true, false} {
			if err := simulateChanges(b, thinkTime, wholeRevision); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// simulateChanges applies the stream to the production state machine in virtual time.
// The time between a plan and its confirm is exponentially distributed with mean
// thinkTime. A change whose confirm is refused is planned again at once, and abandoned
// after maxAttempts refused confirms.
func simulateChanges(b *benchmark, thinkTime time.Duration, wholeRevision bool) error {
	rng := rand.New(rand.NewPCG(b.seed, 7))
	machine, err := newStreamMachine()
	if err != nil {
		return errors.Trace(err)
	}
	zipf := rand.NewZipf(rng, teamZipfExponent, 1, streamTeams-1)
	queue := &stepQueue{}
	for i := range streamChanges {
		firstAt := time.Duration(rng.Float64() * float64(streamDuration))
		heap.Push(queue, operatorStep{at: firstAt, change: i, team: fmt.Sprintf("team-%05d", zipf.Uint64())})
	}
	confirms, refused, abandoned, index := 0, 0, 0, uint64(0)
	for queue.Len() > 0 {
		step := heap.Pop(queue).(operatorStep)
		if step.plan == nil {
			if step.plan, err = planChange(machine, step); err != nil {
				return errors.Trace(err)
			}
			step.at += time.Duration(rng.ExpFloat64() * float64(thinkTime))
			heap.Push(queue, step)
			continue
		}
		index++
		confirms++
		conflict, err := confirmPlan(machine, step, index, wholeRevision)
		if err != nil {
			return errors.Trace(err)
		}
		if !conflict {
			continue
		}
		refused++
		if step.attempt++; step.attempt == maxAttempts {
			abandoned++
			continue
		}
		step.plan = nil
		heap.Push(queue, step)
	}
	design := "read_set"
	if wholeRevision {
		design = "whole_revision"
	}
	b.printFigure("confirm_conflicts design=%s think=%v changes=%d confirms=%d refused=%d share=%.2f%% confirms_per_change=%.2f given_up=%d",
		design, thinkTime, streamChanges, confirms, refused, 100*float64(refused)/math.Max(1, float64(confirms)), float64(confirms)/streamChanges, abandoned)
	return nil
}

// newStreamMachine returns a state machine with the stream's teams.
func newStreamMachine() (*applied.Machine, error) {
	c := &chicoryv1.Configuration{Revision: 1, ClusterId: "stream"}
	for i := range streamTeams {
		c.Teams = append(c.Teams, &chicoryv1.Team{Name: fmt.Sprintf("team-%05d", i)})
	}
	b, err := proto.Marshal(&chicoryv1.StateSnapshot{Configuration: c})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := applied.New(ledger.DefaultSettings())
	return m, errors.Trace(m.Restore(b))
}

// planChange plans the change of step.
func planChange(machine *applied.Machine, step operatorStep) (*chicoryv1.Plan, error) {
	team := &chicoryv1.Team{Name: step.team, CallsPerSecond: uint32(step.change + 1)}
	change := &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: team}}
	return machine.Plan("op", []*chicoryv1.Change{change}, time.UnixMilli(0))
}

// confirmPlan confirms the plan of step and reports whether it conflicted. With
// wholeRevision, any newer revision is a conflict.
func confirmPlan(machine *applied.Machine, step operatorStep, index uint64, wholeRevision bool) (bool, error) {
	if current, _ := machine.Configuration(); wholeRevision && current.GetRevision() != step.plan.GetBaseRevision() {
		return true, nil
	}
	command, err := proto.Marshal(&chicoryv1.Command{UnixMs: step.at.Milliseconds(), Command: &chicoryv1.Command_Confirm{
		Confirm: &chicoryv1.ConfirmRequest{RequestId: fmt.Sprintf("%d-%d", step.change, step.attempt), Operator: "op", Why: "measure", Plan: step.plan},
	}})
	if err != nil {
		return false, errors.Trace(err)
	}
	result, ok := machine.Apply(index, command).(applied.Result)
	if !ok {
		return false, errors.New("the state machine returned no result for the confirm")
	}
	if result.Err != nil && !fault.Is(result.Err, fault.PlanStale) {
		return false, result.Err
	}
	return result.Err != nil, nil
}
