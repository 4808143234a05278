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

// Intervals of the leader's tasks, and the timeout of the commands that they propose.
const (
	lostRouterCheckInterval = time.Second
	expiryInterval          = time.Minute
	burnGaugeInterval       = 10 * time.Second
	commandTimeout          = 5 * time.Second
)

// runLeaderTasks starts the leader's tasks whenever this VM becomes the leader and
// ends them when it is no longer the leader.
func (p *Process) runLeaderTasks() {
	defer p.tasks.Done()
	for p.ctx.Err() == nil {
		changed := p.node.LeadershipChanged()
		if s := p.node.Status(); s.Role == consensus.Leader {
			p.runTerm(s.Term, changed)
			continue
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
		}
	}
}

// runTerm runs the leader's tasks until leadership changes or the process stops.
func (p *Process) runTerm(term uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(p.ctx)
	store := p.enterTerm(term)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){
		p.runClusterInit, p.runLostRouterDetection, p.runExpiry, p.runBurnGauges, p.moveDriver(store).Run, p.orderDispatcher().Run,
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

// enterTerm returns the evidence store of a term. The first call in a new term, which
// may be for a report that arrives before the leader's tasks run, discards the reports
// and the evidence of earlier terms.
func (p *Process) enterTerm(term uint64) *evidence.Store {
	p.termMu.Lock()
	defer p.termMu.Unlock()
	if term > p.term {
		p.term = term
		p.routers.reset(time.Now())
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

// runClusterInit gives the cluster a random identity if it has none yet.
func (p *Process) runClusterInit(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.readBarrier(ctx); err == nil {
			c, _ := p.machine.Configuration()
			if c.GetClusterId() != "" {
				return
			}
			p.proposeBestEffort(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Found{
				Found: &chicoryv1.FoundCommand{ClusterId: rand.Text()},
			}})
		}
		pause.For(ctx, lostRouterCheckInterval)
	}
}

// runLostRouterDetection marks the open claims of routers that sent no report for too
// long as in doubt.
func (p *Process) runLostRouterDetection(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range p.lostClaimants(time.Now()) {
			p.log.Warn(logging.RouterLost, logging.Fields{"router": c.RouterID, "incarnation": c.Incarnation})
			p.proposeBestEffort(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_RouterLost{
				RouterLost: &chicoryv1.RouterLostCommand{RouterId: c.RouterID, Incarnation: c.Incarnation},
			}})
		}
		pause.For(ctx, lostRouterCheckInterval)
	}
}

// lostClaimants returns the incarnations of routers that hold open claims and sent no
// report for too long. Live routers report to a new leader within RouterTimeout, so
// none counts as lost before that.
func (p *Process) lostClaimants(now time.Time) []ledger.RouterIncarnation {
	timeout := p.settings.RouterTimeout.Std()
	p.routers.tick(now, timeout)
	if !p.routers.settled(now, timeout) {
		return nil
	}
	var lost []ledger.RouterIncarnation
	for _, c := range p.machine.RoutersWithOpenClaims() {
		if !p.routers.isLive(c.RouterID, c.Incarnation, now, timeout) {
			lost = append(lost, c)
		}
	}
	return lost
}

// runExpiry periodically deletes ledger entries and results that are older than their
// retention.
func (p *Process) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, expiryInterval)
		p.proposeBestEffort(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_Expire{Expire: &chicoryv1.ExpireCommand{}}})
	}
}

// runBurnGauges exports the burn rates as metrics.
func (p *Process) runBurnGauges(ctx context.Context) {
	for ctx.Err() == nil {
		burn.SetGauges(p.registry, p.burn.Rows(time.Now(), ""))
		pause.For(ctx, burnGaugeInterval)
	}
}

// proposeBestEffort proposes a command and ignores errors: the calling task proposes
// it again.
func (p *Process) proposeBestEffort(ctx context.Context, cmd *chicoryv1.Command) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, _ = p.propose(ctx, cmd)
}

// receiveReport records a router's heartbeat and adds its evidence to that of the
// term. Evidence of a report that was received before is not counted again.
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

// moveSource gives the move driver the replicated moves and the live routers.
type moveSource struct {
	p *Process
}

func (s moveSource) OpenMoves() []*chicoryv1.Move {
	return s.p.machine.View().Raw().GetMoves()
}

// RelatedRoutes returns the idempotent routes of the same service for a route with
// non-idempotent calls, and none for other routes.
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

// Routers returns the number of live routers and how many of them stopped the version.
// Both are 0 until every live router has had time to report, because the first routers
// to report to a new leader are not representative of the others.
func (s moveSource) Routers(route, version string) (live, stopped int) {
	if !s.p.routers.settled(time.Now(), s.p.settings.RouterTimeout.Std()) {
		return 0, 0
	}
	name := route + "/" + version
	for _, e := range s.p.routers.list() {
		if time.Since(e.lastSeen) >= s.p.settings.RouterTimeout.Std() {
			continue
		}
		live++
		for _, v := range e.report.GetStoppedVersions() {
			if v == name {
				stopped++
			}
		}
	}
	return live, stopped
}

// moveProposer commits the steps of the move driver through the replicated log.
type moveProposer struct {
	p *Process
}

func (m moveProposer) Propose(ctx context.Context, step *chicoryv1.MoveStep) error {
	_, err := m.p.propose(ctx, &chicoryv1.Command{Command: &chicoryv1.Command_MoveStep{MoveStep: step}})
	return err
}
