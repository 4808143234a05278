package move

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	stepPeriod = 500 * time.Millisecond
	// warmUp is how long a new leader waits for the routers' reports, which they
	// kept while there was no leader, before it decides anything.
	warmUp = 3 * time.Second
	// settleTime is how long after the warm-up a new leader decides on badness only,
	// because evidence that was held back comes in few large reports.
	settleTime = 15 * time.Second
	// checkpointPeriod is how often counts are replicated while nothing else changes.
	checkpointPeriod = 30 * time.Second
	proposeTimeout   = 2 * time.Second
)

// Proposer commits a step through the replicated log.
type Proposer interface {
	Propose(ctx context.Context, step *chicoryv1.MoveStep) error
}

// Source gives the driver what it reads.
type Source interface {
	// OpenMoves returns the moves that are not ended, as replicated.
	OpenMoves() []*chicoryv1.Move
	// Routers returns the number of live routers, and how many of them report that
	// they stopped the version on the route.
	Routers(route, version string) (live, stopped int)
	// RelatedRoutes returns the idempotent routes of the same service when the route
	// is of non-idempotent calls, else none.
	RelatedRoutes(route string) []string
}

// Driver steps all open moves while this VM is leader. It belongs to one term of
// leadership, like its evidence store.
type Driver struct {
	Source   Source
	Store    *evidence.Store
	Proposer Proposer
	Decider  Decider
	Log      *logging.Logger

	started time.Time
	work    map[string]*working
}

// working is the driver's copy of one open move. Its counts are ahead of the
// replicated ones by at most checkpointPeriod.
type working struct {
	move      *chicoryv1.Move
	cursor    evidence.Cursor
	stepped   time.Time
	committed time.Time
	// ending is the proposed end while it is not known to be committed.
	ending *chicoryv1.MoveStep
}

// Run steps the moves until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	t := time.NewTicker(stepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.Tick(ctx, time.Now())
		}
	}
}

// Tick steps every open move once. The first tick starts the warm-up.
func (d *Driver) Tick(ctx context.Context, now time.Time) {
	if d.work == nil {
		d.started, d.work = now, make(map[string]*working)
	}
	if now.Sub(d.started) < warmUp {
		return
	}
	open := d.Source.OpenMoves()
	d.forgetEnded(open)
	for _, m := range open {
		if ctx.Err() != nil {
			return
		}
		d.step(ctx, m, now)
	}
}

func (d *Driver) forgetEnded(open []*chicoryv1.Move) {
	ids := make(map[string]bool, len(open))
	for _, m := range open {
		ids[m.GetId()] = true
	}
	for id := range d.work {
		if !ids[id] {
			delete(d.work, id)
		}
	}
}

// step advances one move and proposes the result if it is worth replicating.
func (d *Driver) step(ctx context.Context, replicated *chicoryv1.Move, now time.Time) {
	w := d.work[replicated.GetId()]
	if w == nil {
		w = &working{stepped: now, committed: now}
		d.work[replicated.GetId()] = w
	}
	if w.ending != nil && int(w.ending.GetExpectedEvents()) == len(replicated.GetEvents()) {
		d.propose(ctx, w, w.ending, now)
		return
	}
	w.ending = nil
	base := reconcile(replicated, w.move)
	ev := d.evidenceFor(base, w, now)
	next, changed := d.Decider.Step(base, ev, now)
	w.move, w.stepped = next, now
	if !changed && now.Sub(w.committed) < checkpointPeriod {
		return
	}
	step := &chicoryv1.MoveStep{Move: next, ExpectedEvents: uint32(len(replicated.GetEvents()))}
	if Ended(next) {
		w.ending = step
	}
	d.propose(ctx, w, step, now)
}

func (d *Driver) evidenceFor(m *chicoryv1.Move, w *working, now time.Time) Evidence {
	in := m.GetIntent()
	ev := Evidence{Elapsed: now.Sub(w.stepped), Unsettled: now.Sub(d.started) < warmUp+settleTime}
	before := w.cursor
	ev.Strata, w.cursor = d.Store.Since(before, in.GetRoute(), in.GetFrom(), in.GetTo())
	for _, route := range d.Source.RelatedRoutes(in.GetRoute()) {
		strata, _ := d.Store.StrataBetween(before, w.cursor, route, in.GetFrom(), in.GetTo())
		ev.Related = append(ev.Related, strata...)
	}
	ev.Routers, ev.StoppedBy = d.Source.Routers(in.GetRoute(), in.GetTo())
	return ev
}

func (d *Driver) propose(ctx context.Context, w *working, step *chicoryv1.MoveStep, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := d.Proposer.Propose(ctx, step); err != nil {
		d.Log.Warn(logging.MoveChanged, logging.Fields{"move": w.move.GetId(), "committed": false, "error": err.Error()})
		return
	}
	w.committed = now
	if len(w.move.GetEvents()) == int(step.GetExpectedEvents()) {
		return
	}
	event := logging.MoveChanged
	if Ended(w.move) {
		event = logging.MoveEnded
	}
	last := w.move.GetEvents()[len(w.move.GetEvents())-1]
	d.Log.Info(event, logging.Fields{
		"move": w.move.GetId(), "route": w.move.GetIntent().GetRoute(), "state": w.move.GetState().String(),
		"share_permille": w.move.GetSharePermille(), "reason": last.GetReason(),
	})
}

// reconcile returns the move to step: the replicated events, stage and operator's
// settings, with the counts of the driver's copy, which are never older.
func reconcile(replicated, copied *chicoryv1.Move) *chicoryv1.Move {
	if copied == nil {
		return replicated
	}
	next := proto.Clone(replicated).(*chicoryv1.Move)
	if !Ended(copied) {
		next.PolicyState = copied.GetPolicyState()
	}
	next.OldEvidence, next.NewEvidence = copied.GetOldEvidence(), copied.GetNewEvidence()
	if copied.GetStageSinceUnixMs() == replicated.GetStageSinceUnixMs() {
		next.StageRequests = copied.GetStageRequests()
	}
	return next
}
