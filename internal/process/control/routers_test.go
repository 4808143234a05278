package control

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/burn"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const routerTimeout = defaultRouterTimeout

func report(id, incarnation string, revision uint64) *chicoryv1.ReportRequest {
	return &chicoryv1.ReportRequest{RouterId: id, Incarnation: incarnation, Revision: revision}
}

// newLeader returns what a leader knows in term 1, which began now.
func newLeader() *Process {
	p := &Process{
		settings: Defaults(),
		machine:  state.New(ledger.DefaultSettings()),
		routers:  newRouterTable(),
		burn:     burn.NewTracker(),
		evidence: evidence.NewStore(),
	}
	p.enterTerm(1)
	return p
}

// A report of a router's former life may be answered after the first one of the
// next life.
func TestLateReportOfFormerLifeTellsNothing(t *testing.T) {
	table, now := newRouterTable(), time.Now()
	table.begin(now)
	table.receive(report("r1", "first", 3), now)
	table.receive(report("r1", "second", 4), now)
	table.receive(report("r1", "first", 3), now)
	assert.Assert(t, table.isAlive("r1", "second", now, routerTimeout))
	assert.Assert(t, !table.isAlive("r1", "first", now, routerTimeout))
}

// Only routers that report to this leader count, and only once all of them had the
// time to: then those that are silent or leave don't hold up a confirm.
func TestInForceNeedsTheReportsOfEveryLiveRouter(t *testing.T) {
	table, begin := newRouterTable(), time.Now()
	table.begin(begin)
	inForce := func(at time.Time) bool { ok, _ := table.inForce(5, at, routerTimeout); return ok }
	assert.Assert(t, !inForce(begin))
	table.receive(report("r1", "a", 5), begin)
	table.receive(report("silent", "b", 4), begin)
	assert.Assert(t, !inForce(begin.Add(routerTimeout-1)))
	later := begin.Add(routerTimeout)
	table.receive(report("r1", "a", 5), later)
	assert.Assert(t, inForce(later))
	table.receive(report("r2", "c", 4), later)
	assert.Assert(t, !inForce(later))
	leaving := report("r2", "c", 4)
	leaving.Leaving = true
	table.receive(leaving, later)
	assert.Assert(t, inForce(later))
}

// A report may come once this VM leads, but before its tasks begin the term.
func TestReportBeforeTheLeadersTasksIsKept(t *testing.T) {
	p := newLeader()
	r := report("r1", "a", 5)
	r.ReportId, r.Evidence = "x", []*chicoryv1.VersionEvidence{{Route: "book", Version: "v1", Requests: 7}}
	p.receiveReport(2, r)
	strata, _ := p.enterTerm(2).Since(0, "book", "v1", "v2")
	assert.Equal(t, len(strata), 1)
	assert.Equal(t, strata[0].Old.GetRequests(), uint64(7))
	assert.Assert(t, p.routers.isAlive("r1", "a", time.Now(), routerTimeout))
	p.enterTerm(3)
	assert.Assert(t, !p.routers.isAlive("r1", "a", time.Now(), routerTimeout))
}

// The first router that reports to a new leader doesn't speak for all of them.
func TestFewRoutersDontStopVersionForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLeader()
		stopped := report("r1", "a", 5)
		stopped.StoppedVersions = []string{"book/v2"}
		p.receiveReport(1, stopped)
		_, by := moveSource{p}.Routers("book", "v2")
		assert.Equal(t, by, 0)
		time.Sleep(routerTimeout)
		p.receiveReport(1, stopped)
		p.receiveReport(1, report("r2", "b", 5))
		live, by := moveSource{p}.Routers("book", "v2")
		assert.Equal(t, live, 2)
		assert.Equal(t, by, 1)
	})
}

// A leader that stood still got no reports meanwhile: no router is lost by that.
func TestStandstillOfTheLeaderLosesNoRouter(t *testing.T) {
	p := newLeader()
	start := time.Now()
	claim := &chicoryv1.Claim{Team: "t", Key: ledger.NewKey(start), RouterId: "r1", Incarnation: "a", Nonce: "n"}
	command, err := proto.Marshal(&chicoryv1.Command{UnixMs: start.UnixMilli(), Command: &chicoryv1.Command_Claim{
		Claim: &chicoryv1.ClaimRequest{Claims: []*chicoryv1.Claim{claim}},
	}})
	assert.NilError(t, err)
	p.machine.Apply(1, command)
	assert.Equal(t, len(p.machine.OpenClaimants()), 1)
	lostAt := func(d time.Duration) int { return len(p.lostClaimants(start.Add(d))) }
	for d := time.Duration(0); d < 2*routerTimeout; d += lostRouterPeriod {
		p.routers.receive(report("r1", "a", 1), start.Add(d))
		assert.Equal(t, lostAt(d), 0)
	}
	thaw := 5 * routerTimeout
	for d := thaw; d < thaw+routerTimeout; d += lostRouterPeriod {
		assert.Equal(t, lostAt(d), 0)
	}
	assert.Equal(t, lostAt(thaw+routerTimeout+time.Second), 1)
}
