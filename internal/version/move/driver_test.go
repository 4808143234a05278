package move

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// fakeState is a fake of the replicated state. It implements Source and Proposer.
type fakeState struct {
	moves map[string]*chicoryv1.Move
	// quorum says whether proposals can be committed.
	quorum bool
	// answerLost makes Propose return an error although the step is committed.
	answerLost bool
	// rejected is the number of steps that ApplyStep rejected.
	rejected int
}

func (r *fakeState) OpenMoves() []*chicoryv1.Move {
	var out []*chicoryv1.Move
	for _, m := range r.moves {
		if !Ended(m) {
			out = append(out, m)
		}
	}
	return out
}

func (r *fakeState) Routers(string, string) (int, int) { return 9, 0 }

func (r *fakeState) RelatedRoutes(route string) []string {
	if route == "payouts" {
		return []string{"fares"}
	}
	return nil
}

func (r *fakeState) Propose(_ context.Context, step *chicoryv1.MoveStep) error {
	if !r.quorum {
		return errors.New("no quorum")
	}
	id := step.GetMove().GetId()
	next, ok := ApplyStep(r.moves[id], step)
	if !ok {
		r.rejected++
	}
	r.moves[id] = next
	if r.answerLost {
		return errors.New("answer lost")
	}
	return nil
}

func (r *fakeState) newLeader() *Driver {
	return &Driver{Source: r, Store: evidence.NewStore(), Proposer: r, Decider: Decider{Policy: policy.SPRT{}}, Log: logging.Discard()}
}

// report adds one second of evidence for each open move to the store of the leader.
func (r *fakeState) report(d *Driver, now time.Time, errorPercent uint64) {
	for _, m := range r.OpenMoves() {
		st := constantTraffic(errorPercent)(m, now).Strata[0]
		st.Old.Route, st.Old.Version = m.GetIntent().GetRoute(), m.GetIntent().GetFrom()
		st.New.Route, st.New.Version = m.GetIntent().GetRoute(), m.GetIntent().GetTo()
		d.Store.Add(now, "router", "", []*chicoryv1.VersionEvidence{st.Old, st.New})
	}
}

// newFakeState returns a state with a move on a route with idempotent calls, and one on a
// related route with non-idempotent calls.
func newFakeState() *fakeState {
	other := testMove(true)
	other.Id, other.Intent.Route = "n", "payouts"
	return &fakeState{quorum: true, moves: map[string]*chicoryv1.Move{"m": testMove(false), "n": other}}
}

// drive ticks the driver once a second in [from, until]. After each changeEvery, a driver
// of a new leader replaces the current one.
func (r *fakeState) drive(from, until time.Time, errorPercent uint64, changeEvery time.Duration) {
	d := r.newLeader()
	elected := from
	for now := from; !now.After(until); now = now.Add(time.Second) {
		if now.Sub(elected) >= changeEvery {
			d, elected = r.newLeader(), now
		}
		r.report(d, now, errorPercent)
		d.Tick(context.Background(), now)
	}
}

func TestMovesContinueAcrossLeaderChanges(t *testing.T) {
	r := newFakeState()
	r.drive(epoch, epoch.Add(testWindow), 0, 70*time.Second)
	for id, m := range r.moves {
		assert.Equal(t, m.GetState(), done, "%s: %s", id, m.GetReason())
	}
	assert.Equal(t, r.rejected, 0)
}

func TestRollbackWithLostAnswersAndLeaderChanges(t *testing.T) {
	r := newFakeState()
	r.drive(epoch, epoch.Add(10*time.Second), 0, testWindow)
	r.answerLost = true
	r.drive(epoch.Add(11*time.Second), epoch.Add(2*time.Minute), 40, 15*time.Second)
	assert.Equal(t, r.moves["m"].GetState(), takenBack, r.moves["m"].GetReason())
	checkEndsOnce(t, r.moves["m"])
}

// checkEndsOnce checks that the move has exactly one event that ends it.
func checkEndsOnce(t *testing.T, m *chicoryv1.Move) {
	ends := 0
	for _, e := range m.GetEvents() {
		if e.GetState() == done || e.GetState() == takenBack {
			ends++
		}
	}
	assert.Equal(t, ends, 1)
}

// TestDeadlineWithoutQuorum loses the quorum at a given time. The share in force must not
// change until a leader is elected after the deadline, which then ends the move.
func TestDeadlineWithoutQuorum(t *testing.T) {
	cases := map[string]struct {
		until  time.Duration // since the start, with quorum
		errors uint64        // in percent, after the partition
		want   chicoryv1.MoveState
	}{
		"unproved":                   {until: 5 * time.Second, want: takenBack},
		"in a watch, proved":         {until: testWindow / 5, want: done},
		"in a watch, bad afterwards": {until: testWindow / 5, errors: 20, want: takenBack},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFakeState()
			delete(r.moves, "n")
			r.drive(epoch, epoch.Add(c.until), 0, testWindow)
			if c.until == testWindow/5 {
				assert.Equal(t, r.moves["m"].GetState(), watching)
			}
			share := r.moves["m"].GetSharePermille()
			r.quorum = false
			r.drive(epoch.Add(c.until+time.Second), epoch.Add(testWindow+time.Minute), 0, 5*time.Minute)
			assert.Equal(t, r.moves["m"].GetSharePermille(), share, "the share in force changed without a quorum")
			r.quorum = true
			r.drive(epoch.Add(testWindow+2*time.Minute), epoch.Add(testWindow+3*time.Minute), c.errors, time.Hour)
			assert.Equal(t, r.moves["m"].GetState(), c.want, r.moves["m"].GetReason())
			checkEndsOnce(t, r.moves["m"])
		})
	}
}

func TestApplyStepRejectsStaleSteps(t *testing.T) {
	before := testMove(false)
	next, _ := Step(before, Evidence{}, epoch)
	step := &chicoryv1.MoveStep{Move: next, ExpectedEvents: 1}
	taken, err := ApplyAction(before, chicoryv1.MoveActionKind_MOVE_ACTION_KIND_TAKE_BACK, "op", epoch)
	assert.NilError(t, err)
	paused, err := ApplyAction(before, chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE, "op", epoch)
	assert.NilError(t, err)
	for _, current := range []*chicoryv1.Move{taken, paused, nil} {
		got, ok := ApplyStep(current, step)
		assert.Assert(t, !ok && got == current, "a stale step was applied")
	}
	got, ok := ApplyStep(before, step)
	assert.Assert(t, ok && got == next)
	got, ok = ApplyStep(before, &chicoryv1.MoveStep{Move: next, ExpectedEvents: 2})
	assert.Assert(t, !ok && got == before, "a step that expects another number of events was applied")
	rewritten := testMove(false)
	rewritten.Events[0].Reason = "another"
	_, ok = ApplyStep(before, &chicoryv1.MoveStep{Move: rewritten, ExpectedEvents: 1})
	assert.Assert(t, !ok, "past events were rewritten")
}

// TestDriverFollowsOperatorsActions pauses a move and rolls it back in the replicated
// state, while the driver has a copy of its own.
func TestDriverFollowsOperatorsActions(t *testing.T) {
	r := newFakeState()
	delete(r.moves, "n")
	d := r.newLeader()
	drive := func(from, seconds int) {
		for i := from; i < from+seconds; i++ {
			now := epoch.Add(time.Duration(i) * time.Second)
			r.report(d, now, 0)
			d.Tick(context.Background(), now)
		}
	}
	act := func(kind chicoryv1.MoveActionKind, at int) {
		next, err := ApplyAction(r.moves["m"], kind, "op", epoch.Add(time.Duration(at)*time.Second))
		assert.NilError(t, err)
		r.moves["m"] = next
	}
	drive(0, 10)
	act(chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE, 10)
	share := r.moves["m"].GetSharePermille()
	drive(10, 300)
	assert.Assert(t, r.moves["m"].GetPaused())
	assert.Equal(t, r.moves["m"].GetSharePermille(), share, "a paused move grew")
	assert.Assert(t, r.moves["m"].GetNewEvidence().GetRequests() > 0, "checkpoints are missing")
	act(chicoryv1.MoveActionKind_MOVE_ACTION_KIND_TAKE_BACK, 310)
	drive(310, 60)
	assert.Equal(t, r.moves["m"].GetState(), takenBack)
	checkEndsOnce(t, r.moves["m"])
}

// TestUncommittedEndIsProposedAgain loses the quorum before the driver detects a bad
// version. The end must be committed once there is a quorum again, even if the evidence
// is good by then.
func TestUncommittedEndIsProposedAgain(t *testing.T) {
	r := newFakeState()
	delete(r.moves, "n")
	d := r.newLeader()
	tick := func(i int, errorPercent uint64) {
		now := epoch.Add(time.Duration(i) * time.Second)
		r.report(d, now, errorPercent)
		d.Tick(context.Background(), now)
	}
	for i := range 10 {
		tick(i, 0)
	}
	r.quorum = false
	for i := 10; i < 30; i++ {
		tick(i, 40)
	}
	assert.Assert(t, !Ended(r.moves["m"]))
	r.quorum = true
	tick(30, 0)
	assert.Equal(t, r.moves["m"].GetState(), takenBack, r.moves["m"].GetReason())
	checkEndsOnce(t, r.moves["m"])
}
