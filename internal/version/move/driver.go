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
	// stepPeriod is the time between two steps of the moves.
	stepPeriod = 500 * time.Millisecond
	// warmUpTime is how long a new leader waits before it decides anything, until it has
	// the reports that routers kept while there was no leader.
	warmUpTime = 3 * time.Second
	// catchUpTime is how long after warmUpTime a new leader ends moves of bad versions
	// only, because delayed evidence arrives in few, large reports.
	catchUpTime = 15 * time.Second
	// checkpointPeriod is how often counts are replicated while nothing else changes.
	checkpointPeriod = 30 * time.Second
	proposeTimeout   = 2 * time.Second
)

// Proposer commits steps through the replicated log.
type Proposer interface {
	Propose(ctx context.Context, step *chicoryv1.MoveStep) error
}

// Source provides the state that the driver reads.
type Source interface {
	// OpenMoves returns the moves in the replicated state that have not ended.
	OpenMoves() []*chicoryv1.Move
	// Routers returns the number of live routers, and the number of those that stopped
	// the version on the route.
	Routers(route, version string) (live, stopped int)
	// RelatedRoutes returns the idempotent routes of the same service, if the route has
	// non-idempotent calls, or nil if not.
	RelatedRoutes(route string) []string
}

// Driver advances all open moves while this VM is the control leader. Each term of
// leadership has its own driver and evidence store.
type Driver struct {
	Source   Source
	Store    *evidence.Store
	Proposer Proposer
	Decider  Decider
	Log      *logging.Logger

	started  time.Time
	progress map[string]*moveProgress
}

// moveProgress is the driver's state of one open move.
type moveProgress struct {
	// move is a copy of the replicated move. Its counts are up to checkpointPeriod ahead
	// of the replicated ones.
	move       *chicoryv1.Move
	cursor     evidence.Cursor
	lastStep   time.Time
	lastCommit time.Time
	// pendingEnd is the step that ends the move, until it is known to be committed.
	pendingEnd *chicoryv1.MoveStep
}

// Run advances the moves until ctx is done.
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

// Tick advances each open move by one step. The first call starts the warm-up.
func (d *Driver) Tick(ctx context.Context, now time.Time) {
	if d.progress == nil {
		d.started, d.progress = now, make(map[string]*moveProgress)
	}
	if now.Sub(d.started) < warmUpTime {
		return
	}
	open := d.Source.OpenMoves()
	d.removeEnded(open)
	for _, m := range open {
		if ctx.Err() != nil {
			return
		}
		d.step(ctx, m, now)
	}
}

// removeEnded removes the state of moves that are no longer open.
func (d *Driver) removeEnded(open []*chicoryv1.Move) {
	ids := make(map[string]bool, len(open))
	for _, m := range open {
		ids[m.GetId()] = true
	}
	for id := range d.progress {
		if !ids[id] {
			delete(d.progress, id)
		}
	}
}

// step advances one move. It proposes the result if an event was added or a checkpoint
// is due. A pending end is proposed again until another event is replicated.
func (d *Driver) step(ctx context.Context, replicated *chicoryv1.Move, now time.Time) {
	p := d.progress[replicated.GetId()]
	if p == nil {
		p = &moveProgress{lastStep: now, lastCommit: now}
		d.progress[replicated.GetId()] = p
	}
	if p.pendingEnd != nil && int(p.pendingEnd.GetExpectedEvents()) == len(replicated.GetEvents()) {
		d.propose(ctx, p, p.pendingEnd, now)
		return
	}
	p.pendingEnd = nil
	base := reconcile(replicated, p.move)
	ev := d.evidenceFor(base, p, now)
	next, changed := d.Decider.Step(base, ev, now)
	p.move, p.lastStep = next, now
	if !changed && now.Sub(p.lastCommit) < checkpointPeriod {
		return
	}
	step := &chicoryv1.MoveStep{Move: next, ExpectedEvents: uint32(len(replicated.GetEvents()))}
	if Ended(next) {
		p.pendingEnd = step
	}
	d.propose(ctx, p, step, now)
}

// evidenceFor returns the evidence since the last step of the move.
func (d *Driver) evidenceFor(m *chicoryv1.Move, p *moveProgress, now time.Time) Evidence {
	in := m.GetIntent()
	ev := Evidence{Elapsed: now.Sub(p.lastStep), Incomplete: now.Sub(d.started) < warmUpTime+catchUpTime}
	previous := p.cursor
	ev.Strata, p.cursor = d.Store.StrataSince(previous, in.GetRoute(), in.GetFrom(), in.GetTo())
	for _, route := range d.Source.RelatedRoutes(in.GetRoute()) {
		strata, _ := d.Store.StrataBetween(previous, p.cursor, route, in.GetFrom(), in.GetTo())
		ev.Related = append(ev.Related, strata...)
	}
	ev.Routers, ev.StoppedBy = d.Source.Routers(in.GetRoute(), in.GetTo())
	return ev
}

// propose proposes a step of the move, and logs its new event once it is committed.
func (d *Driver) propose(ctx context.Context, p *moveProgress, step *chicoryv1.MoveStep, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := d.Proposer.Propose(ctx, step); err != nil {
		d.Log.Warn(logging.MoveChanged, logging.Fields{"move": p.move.GetId(), "committed": false, "error": err.Error()})
		return
	}
	p.lastCommit = now
	if len(p.move.GetEvents()) == int(step.GetExpectedEvents()) {
		return
	}
	event := logging.MoveChanged
	if Ended(p.move) {
		event = logging.MoveEnded
	}
	last := p.move.GetEvents()[len(p.move.GetEvents())-1]
	d.Log.Info(event, logging.Fields{
		"move": p.move.GetId(), "route": p.move.GetIntent().GetRoute(), "state": p.move.GetState().String(),
		"share_permille": p.move.GetSharePermille(), "reason": last.GetReason(),
	})
}

// reconcile returns the move to advance. Events, stage and the operator's settings are
// the replicated ones. The counts are those of the driver's copy, which are never older.
func reconcile(replicated, local *chicoryv1.Move) *chicoryv1.Move {
	if local == nil {
		return replicated
	}
	next := proto.Clone(replicated).(*chicoryv1.Move)
	if !Ended(local) {
		next.PolicyState = local.GetPolicyState()
	}
	next.OldEvidence, next.NewEvidence = local.GetOldEvidence(), local.GetNewEvidence()
	if local.GetStageSinceUnixMs() == replicated.GetStageSinceUnixMs() {
		next.StageRequests = local.GetStageRequests()
	}
	return next
}
