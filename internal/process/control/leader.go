package control

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/burn"
	"github.com/chicoryswitch/chicoryswitch/internal/process/consensus"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// Periods of the leader's tasks.
const (
	lostRouterPeriod = time.Second
	expirePeriod     = time.Minute
	gaugePeriod      = 10 * time.Second
	commandTimeout   = 5 * time.Second
)

// runLeaderTasks starts the leader's tasks whenever this VM begins to lead and
// ends them when it stops.
func (p *Process) runLeaderTasks() {
	defer p.tasks.Done()
	for p.ctx.Err() == nil {
		changed := p.node.LeadershipChanged()
		if s := p.node.Status(); s.Role == consensus.Leader {
			p.lead(s.Term, changed)
			continue
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
		}
	}
}

// lead runs the leader's tasks until leadership changes.
func (p *Process) lead(term uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(p.ctx)
	store := p.enterTerm(term)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){
		p.runFounding, p.runLostRouters, p.runExpiry, p.runBurnGauges, p.moveDriver(store).Run, p.orderDispatcher().Run,
	} {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			task(ctx)
		}()
	}
	select {
	case <-changed:
	case <-p.ctx.Done():
	}
	cancel()
	tasks.Wait()
}

// enterTerm returns the evidence of a term. The first caller in the term, which
// may be a report that comes before the leader's tasks run, forgets what was learned
// in earlier ones.
func (p *Process) enterTerm(term uint64) *evidence.Store {
	p.termLock.Lock()
	defer p.termLock.Unlock()
	if term > p.term {
		p.term = term
		p.routers.begin(time.Now())
		p.evidence = evidence.NewStore()
	}
	return p.evidence
}

func (p *Process) moveDriver(store *evidence.Store) *move.Driver {
	return &move.Driver{
		Source:   moveSource{p},
		Store:    store,
		Proposer: moveProposer{p},
		Decider:  move.Decider{Policy: policy.SPRT{}},
		Log:      p.log,
	}
}

// runFounding names the cluster if it has no name yet.
func (p *Process) runFounding(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.readBarrier(ctx); err == nil {
			c, _ := p.machine.Configuration()
			if c.GetClusterId() != "" {
				return
			}
			p.commit(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Found{
				Found: &chicoryv1.FoundCommand{ClusterId: rand.Text()},
			}})
		}
		pause.For(ctx, lostRouterPeriod)
	}
}

// runLostRouters puts the open claims of routers that were silent too long in doubt.
func (p *Process) runLostRouters(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range p.lostClaimants(time.Now()) {
			p.log.Warn(logging.RouterLost, logging.Fields{"router": c.RouterID, "incarnation": c.Incarnation})
			p.commit(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_RouterLost{
				RouterLost: &chicoryv1.RouterLostCommand{RouterId: c.RouterID, Incarnation: c.Incarnation},
			}})
		}
		pause.For(ctx, lostRouterPeriod)
	}
}

// lostClaimants returns the lives of routers that hold open claims and were silent
// too long. Routers that are alive report to a new leader within their timeout, so
// none is lost before that.
func (p *Process) lostClaimants(now time.Time) []ledger.Claimant {
	timeout := p.settings.RouterTimeout.Std()
	p.routers.tick(now, timeout)
	if !p.routers.settled(now, timeout) {
		return nil
	}
	var lost []ledger.Claimant
	for _, c := range p.machine.OpenClaimants() {
		if !p.routers.isAlive(c.RouterID, c.Incarnation, now, timeout) {
			lost = append(lost, c)
		}
	}
	return lost
}

// runExpiry drops ledger entries and results that are older than their retention.
func (p *Process) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, expirePeriod)
		p.commit(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Expire{Expire: &chicoryv1.ExpireCommand{}}})
	}
}

// runBurnGauges shows the service-level burn among the metrics.
func (p *Process) runBurnGauges(ctx context.Context) {
	for ctx.Err() == nil {
		burn.SetGauges(p.registry, p.burn.Rows(time.Now(), ""))
		pause.For(ctx, gaugePeriod)
	}
}

// commit proposes a command whose loss does no harm: the task proposes it again.
func (p *Process) commit(ctx context.Context, cmd *chicoryv1.Command) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, _ = p.propose(ctx, cmd)
}

// receiveReport keeps a router's heartbeat and adds its evidence to the term's.
func (p *Process) receiveReport(term uint64, r *chicoryv1.ReportRequest) {
	store := p.enterTerm(term)
	now := time.Now()
	p.routers.receive(r, now)
	if len(r.GetEvidence()) == 0 {
		return
	}
	if store.Add(now, r.GetRouterId(), r.GetReportId(), r.GetEvidence()) {
		p.burn.Add(now, r.GetEvidence(), p.machine.View().Route)
	}
}

// moveSource shows the driver the replicated moves and the live routers.
type moveSource struct {
	p *Process
}

func (s moveSource) OpenMoves() []*chicoryv1.Move {
	return s.p.machine.View().Raw().GetMoves()
}

// RelatedRoutes returns the idempotent routes of the same service when the route
// is of non-idempotent calls, else none.
func (s moveSource) RelatedRoutes(route string) []string {
	v := s.p.machine.View()
	own := v.Route(route)
	if !own.GetNonIdempotent() {
		return nil
	}
	var out []string
	for _, r := range v.Raw().GetRoutes() {
		if r.GetService() == own.GetService() && !r.GetNonIdempotent() {
			out = append(out, r.GetName())
		}
	}
	return out
}

// Routers counts none until every live router has had the time to report: the
// first ones to report to a new leader don't speak for the others.
func (s moveSource) Routers(route, version string) (live, stopped int) {
	if !s.p.routers.settled(time.Now(), s.p.settings.RouterTimeout.Std()) {
		return 0, 0
	}
	name := route + "/" + version
	for _, l := range s.p.routers.list() {
		if time.Since(l.seen) >= s.p.settings.RouterTimeout.Std() {
			continue
		}
		live++
		for _, v := range l.report.GetStoppedVersions() {
			if v == name {
				stopped++
			}
		}
	}
	return live, stopped
}

// moveProposer commits the driver's steps.
type moveProposer struct {
	p *Process
}

func (m moveProposer) Propose(ctx context.Context, step *chicoryv1.MoveStep) error {
	_, err := m.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_MoveStep{MoveStep: step}})
	return err
}
