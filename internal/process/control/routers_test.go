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

func newReport(id, incarnation string, revision uint64) *chicoryv1.ReportRequest {
	return &chicoryv1.ReportRequest{RouterId: id, Incarnation: incarnation, Revision: revision}
}

// newLeaderProcess returns the process of a leader at the start of term 1, without its
// network services.
func newLeaderProcess() *Process {
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

// A late report of a router's former incarnation may arrive after the first report of
// its next incarnation.
func TestLateReportOfPastIncarnationIsIgnored(t *testing.T) {
	table, now := newRouterTable(), time.Now()
	table.reset(now)
	table.receive(newReport("r1", "first", 3), now)
	table.receive(newReport("r1", "second", 4), now)
	table.receive(newReport("r1", "first", 3), now)
	assert.Assert(t, table.isLive("r1", "second", now, routerTimeout))
	assert.Assert(t, !table.isLive("r1", "first", now, routerTimeout))
}

// A revision is not in force before all live routers have had time to report to this
// leader. After that, routers that are silent or leaving must not delay a confirm.
func TestInForceNeedsReportsOfEveryLiveRouter(t *testing.T) {
	table, start := newRouterTable(), time.Now()
	table.reset(start)
	inForce := func(at time.Time) bool { ok, _ := table.inForce(5, at, routerTimeout); return ok }
	assert.Assert(t, !inForce(start))
	table.receive(newReport("r1", "a", 5), start)
	table.receive(newReport("silent", "b", 4), start)
	assert.Assert(t, !inForce(start.Add(routerTimeout-1)))
	later := start.Add(routerTimeout)
	table.receive(newReport("r1", "a", 5), later)
	assert.Assert(t, inForce(later))
	table.receive(newReport("r2", "c", 4), later)
	assert.Assert(t, !inForce(later))
	leaving := newReport("r2", "c", 4)
	leaving.Leaving = true
	table.receive(leaving, later)
	assert.Assert(t, inForce(later))
}

// A report may arrive after this VM becomes the leader, but before the leader's tasks
// run.
func TestReportBeforeLeaderTasksIsKept(t *testing.T) {
	p := newLeaderProcess()
	r := newReport("r1", "a", 5)
	r.ReportId, r.Evidence = "x", []*chicoryv1.VersionEvidence{{Route: "book", Version: "v1", Requests: 7}}
	p.receiveReport(2, r)
	strata, _ := p.enterTerm(2).StrataSince(0, "book", "v1", "v2")
	assert.Equal(t, len(strata), 1)
	assert.Equal(t, strata[0].Old.GetRequests(), uint64(7))
	assert.Assert(t, p.routers.isLive("r1", "a", time.Now(), routerTimeout))
	p.enterTerm(3)
	assert.Assert(t, !p.routers.isLive("r1", "a", time.Now(), routerTimeout))
}

// A version that the first router to report to a new leader has stopped does not count
// as stopped before the other routers have had time to report.
func TestStoppedVersionsIgnoredUntilSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLeaderProcess()
		stopped := newReport("r1", "a", 5)
		stopped.StoppedVersions = []string{"book/v2"}
		p.receiveReport(1, stopped)
		_, stoppedBy := moveSource{p}.Routers("book", "v2")
		assert.Equal(t, stoppedBy, 0)
		time.Sleep(routerTimeout)
		p.receiveReport(1, stopped)
		p.receiveReport(1, newReport("r2", "b", 5))
		live, stoppedBy := moveSource{p}.Routers("book", "v2")
		assert.Equal(t, live, 2)
		assert.Equal(t, stoppedBy, 1)
	})
}

// A leader whose process was stalled received no reports meanwhile. Routers must not
// count as lost because of that.
func TestLeaderStallLosesNoRouter(t *testing.T) {
	p := newLeaderProcess()
	start := time.Now()
	claim := &chicoryv1.Claim{Team: "t", Key: ledger.NewKey(start), RouterId: "r1", Incarnation: "a", Nonce: "n"}
	command, err := proto.Marshal(&chicoryv1.Command{UnixMs: start.UnixMilli(), Command: &chicoryv1.Command_Claim{
		Claim: &chicoryv1.ClaimRequest{Claims: []*chicoryv1.Claim{claim}},
	}})
	assert.NilError(t, err)
	p.machine.Apply(1, command)
	assert.Equal(t, len(p.machine.RoutersWithOpenClaims()), 1)
	lostAt := func(d time.Duration) int { return len(p.lostClaimants(start.Add(d))) }
	for d := time.Duration(0); d < 2*routerTimeout; d += lostRouterCheckInterval {
		p.routers.receive(newReport("r1", "a", 1), start.Add(d))
		assert.Equal(t, lostAt(d), 0)
	}
	resumed := 5 * routerTimeout
	for d := resumed; d < resumed+routerTimeout; d += lostRouterCheckInterval {
		assert.Equal(t, lostAt(d), 0)
	}
	assert.Equal(t, lostAt(resumed+routerTimeout+time.Second), 1)
}
