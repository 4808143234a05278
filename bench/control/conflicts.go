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

// The change stream: a sixtieth of a day at 12,000 changes a day over 14,000 teams,
// of which a few are changed far more often than the rest.
const (
	streamTeams   = 14_000
	streamChanges = 200
	streamLength  = 24 * time.Hour / 60
	teamSkew      = 1.1
	maxTries      = 20
)

// attemptAt is an operator's next step: a plan to make or a plan to confirm.
type attemptAt struct {
	at     time.Duration
	change int
	team   string
	try    int
	plan   *chicoryv1.Plan // nil: make the plan
}

// steps is a heap of attempts by time.
type steps []attemptAt

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *steps) Push(x any) { *s = append(*s, x.(attemptAt)) }

// Pop implements heap.Interface.
func (s *steps) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// measureConflicts compares two designs of confirm on the same change stream:
// the whole revision must be unchanged, or just what the plan read.
func measureConflicts(r *run) error {
	for _, think := range []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute} {
		for _, whole := range []bool{true, false} {
			if err := runStream(r, think, whole); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// runStream applies the stream in virtual time with the state machine's own code.
func runStream(r *run, think time.Duration, whole bool) error {
	rng := rand.New(rand.NewPCG(r.seed, 7))
	m, err := streamMachine()
	if err != nil {
		return errors.Trace(err)
	}
	zipf := rand.NewZipf(rng, teamSkew, 1, streamTeams-1)
	todo := &steps{}
	for i := range streamChanges {
		at := time.Duration(rng.Float64() * float64(streamLength))
		heap.Push(todo, attemptAt{at: at, change: i, team: fmt.Sprintf("team-%05d", zipf.Uint64())})
	}
	confirms, refused, givenUp, index := 0, 0, 0, uint64(0)
	for todo.Len() > 0 {
		s := heap.Pop(todo).(attemptAt)
		if s.plan == nil {
			if s.plan, err = planTeam(m, s); err != nil {
				return errors.Trace(err)
			}
			s.at += time.Duration(rng.ExpFloat64() * float64(think))
			heap.Push(todo, s)
			continue
		}
		index++
		confirms++
		conflict, err := confirmStep(m, s, index, whole)
		if err != nil {
			return errors.Trace(err)
		}
		if !conflict {
			continue
		}
		refused++
		if s.try++; s.try == maxTries {
			givenUp++
			continue
		}
		s.plan = nil
		heap.Push(todo, s)
	}
	design := "read_set"
	if whole {
		design = "whole_revision"
	}
	r.figure("confirm_conflicts design=%s think=%v changes=%d confirms=%d refused=%d share=%.2f%% confirms_per_change=%.2f given_up=%d",
		design, think, streamChanges, confirms, refused, 100*float64(refused)/math.Max(1, float64(confirms)), float64(confirms)/streamChanges, givenUp)
	return nil
}

func streamMachine() (*applied.Machine, error) {
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

func planTeam(m *applied.Machine, s attemptAt) (*chicoryv1.Plan, error) {
	team := &chicoryv1.Team{Name: s.team, CallsPerSecond: uint32(s.change + 1)}
	change := &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: team}}
	return m.Plan("op", []*chicoryv1.Change{change}, time.UnixMilli(0))
}

// confirmStep applies one confirm and reports whether it conflicted.
func confirmStep(m *applied.Machine, s attemptAt, index uint64, whole bool) (bool, error) {
	if c, _ := m.Configuration(); whole && c.GetRevision() != s.plan.GetBaseRevision() {
		return true, nil
	}
	b, err := proto.Marshal(&chicoryv1.Command{UnixMs: s.at.Milliseconds(), Command: &chicoryv1.Command_Confirm{
		Confirm: &chicoryv1.ConfirmRequest{RequestId: fmt.Sprintf("%d-%d", s.change, s.try), Operator: "op", Why: "measure", Plan: s.plan},
	}})
	if err != nil {
		return false, errors.Trace(err)
	}
	res, ok := m.Apply(index, b).(applied.Result)
	if !ok {
		return false, errors.New("no result")
	}
	if res.Err != nil && !fault.Is(res.Err, fault.PlanStale) {
		return false, res.Err
	}
	return res.Err != nil, nil
}
