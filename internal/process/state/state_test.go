package state

import (
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// TestMain sets a fixed seed for property tests; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

// start is the base of the entries' times: entry n has the time start plus n seconds.
var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// testReplica applies commands to a Machine as a control VM does.
type testReplica struct {
	*Machine
	index uint64
}

func newTestReplica() *testReplica {
	r := &testReplica{Machine: New(ledger.DefaultSettings())}
	r.apply(&chicoryv1.Command{Command: &chicoryv1.Command_Found{Found: &chicoryv1.FoundCommand{ClusterId: "c"}}})
	return r
}

func (r *testReplica) apply(cmd *chicoryv1.Command) Result {
	r.index++
	cmd.UnixMs = start.Add(time.Duration(r.index) * time.Second).UnixMilli()
	b, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	return r.Apply(r.index, b).(Result)
}

func (r *testReplica) confirm(req *chicoryv1.ConfirmRequest) (*chicoryv1.ConfirmResponse, error) {
	res := r.apply(&chicoryv1.Command{Command: &chicoryv1.Command_Confirm{Confirm: req}})
	return res.Confirm, res.Err
}

func putTeam(name string, tokens uint32) *chicoryv1.Change {
	return &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: &chicoryv1.Team{Name: name, TokensPerSecond: tokens}}}
}

func makePlan(t assert.TestingT, m *Machine, changes ...*chicoryv1.Change) *chicoryv1.Plan {
	p, err := m.Plan("op", changes, start)
	assert.NilError(t, err)
	return p
}

func confirmRequest(id string, p *chicoryv1.Plan) *chicoryv1.ConfirmRequest {
	return &chicoryv1.ConfirmRequest{RequestId: id, Operator: "op", Why: "test", Plan: p}
}

// Two operators plan on the same revision and both confirm: exactly one succeeds, and
// both get their result again when they resend.
func TestConcurrentConfirmsHaveOneWinner(t *testing.T) {
	r := newTestReplica()
	first := makePlan(t, r.Machine, putTeam("desk", 1))
	second := makePlan(t, r.Machine, putTeam("desk", 2))
	assert.Equal(t, first.GetBaseRevision(), second.GetBaseRevision())
	won, err := r.confirm(confirmRequest("a", first))
	assert.NilError(t, err)
	_, err = r.confirm(confirmRequest("b", second))
	assert.Assert(t, fault.Is(err, fault.PlanStale), "%v", err)
	again, err := r.confirm(confirmRequest("a", first))
	assert.NilError(t, err)
	assert.Assert(t, again.GetReplayed())
	assert.Equal(t, again.GetRevision(), won.GetRevision())
	_, err = r.confirm(confirmRequest("b", second))
	assert.Assert(t, fault.Is(err, fault.PlanStale), "%v", err)
	_, err = r.confirm(confirmRequest("a", second))
	assert.Assert(t, fault.Is(err, fault.RequestConflict), "%v", err)
}

// Plans that were made on the same revision and change different items can both be
// confirmed.
func TestConfirmsOfDifferentItemsDoNotConflict(t *testing.T) {
	r := newTestReplica()
	a := makePlan(t, r.Machine, putTeam("a", 1))
	b := makePlan(t, r.Machine, putTeam("b", 1))
	_, err := r.confirm(confirmRequest("a", a))
	assert.NilError(t, err)
	_, err = r.confirm(confirmRequest("b", b))
	assert.NilError(t, err)
}

func TestPlanWithoutReadsIsRefused(t *testing.T) {
	r := newTestReplica()
	p := makePlan(t, r.Machine, putTeam("a", 1))
	p.Reads = nil
	_, err := r.confirm(confirmRequest("a", p))
	assert.Assert(t, fault.Is(err, fault.InvalidArgument), "%v", err)
}

// If one change of a plan is refused, none of its changes is applied.
func TestRefusedPlanChangesNothing(t *testing.T) {
	r := newTestReplica()
	p := makePlan(t, r.Machine, putTeam("a", 1))
	p.Changes = append(p.Changes, &chicoryv1.Change{Change: &chicoryv1.Change_PutRoute{
		PutRoute: &chicoryv1.Route{Name: "r", Service: "none", Version: "v1"},
	}})
	before, _ := r.Configuration()
	_, err := r.confirm(confirmRequest("a", p))
	assert.Assert(t, fault.Is(err, fault.PlanRejected), "%v", err)
	after, _ := r.Configuration()
	assert.Assert(t, before == after)
}

// referenceState is a reference model of the configuration: a plain map of teams, and
// the first result of each confirm.
type referenceState struct {
	teams   map[string]uint32
	results map[string]string
}

// pendingPlan is a plan and the number of writes to its team when it was made.
type pendingPlan struct {
	plan       *chicoryv1.Plan
	team       string
	tokens     uint32
	seenWrites uint64
}

// Runs random plans, late and resent confirms, snapshots and restores against a plain
// map. A confirm must succeed exactly when the item that it read has not changed since,
// a resend must get the first result, and revisions must never decrease.
func TestConfirmsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestReplica()
		reference := referenceState{teams: map[string]uint32{}, results: map[string]string{}}
		writes := map[string]uint64{}
		var plans []pendingPlan
		revision := uint64(0)
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				plans = append(plans, pendingPlan{
					plan: makePlan(t, r.Machine, putTeam(name, uint32(i+1))), team: name, tokens: uint32(i + 1), seenWrites: writes[name],
				})
			case 2, 3:
				if len(plans) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(plans)-1).Draw(t, "plan")
				checkConfirm(t, r, &reference, writes, plans[k], fmt.Sprint("request-", k))
			case 4:
				r = restoreFromSnapshot(t, r)
			}
			c, _ := r.Configuration()
			assert.Assert(t, c.GetRevision() >= revision, "revision decreased from %d to %d", revision, c.GetRevision())
			revision = c.GetRevision()
		}
		c, _ := r.Configuration()
		for _, team := range c.GetTeams() {
			assert.Equal(t, team.GetTokensPerSecond(), reference.teams[team.GetName()])
		}
		assert.Equal(t, len(c.GetTeams()), len(reference.teams))
	})
}

func checkConfirm(t *rapid.T, r *testReplica, reference *referenceState, writes map[string]uint64, p pendingPlan, id string) {
	resp, err := r.confirm(confirmRequest(id, p.plan))
	got := "won"
	if err != nil {
		got = string(fault.Of(err).Kind)
	}
	if first, ok := reference.results[id]; ok {
		assert.Equal(t, got, first, "resend of %s", id)
		assert.Assert(t, err != nil || resp.GetReplayed())
		return
	}
	want := "won"
	if writes[p.team] != p.seenWrites {
		want = string(fault.PlanStale)
	}
	assert.Equal(t, got, want)
	reference.results[id] = want
	if want == "won" {
		reference.teams[p.team] = p.tokens
		writes[p.team]++
	}
}

// restoreFromSnapshot returns a replica restored from r's snapshot and checks that its
// own snapshot is equal.
func restoreFromSnapshot(t assert.TestingT, r *testReplica) *testReplica {
	b, err := r.Snapshot()
	assert.NilError(t, err)
	next := &testReplica{Machine: New(ledger.DefaultSettings()), index: r.index}
	assert.NilError(t, next.Restore(b))
	again, err := next.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, b, again)
	return next
}

// The holder of the order lease renews it under the same fencing number. Another VM
// gets the lease only by naming the current number, with which only one VM can succeed.
func TestFencingNumberOnlyIncreases(t *testing.T) {
	r := newTestReplica()
	lease := func(holder string, expected uint64) Result {
		return r.apply(&chicoryv1.Command{Command: &chicoryv1.Command_Lease{
			Lease: &chicoryv1.LeaseCommand{Holder: holder, DurationMs: 3000, ExpectedFencing: expected},
		}})
	}
	first := lease("c1", 0)
	assert.Equal(t, first.Fencing, uint64(1))
	assert.Assert(t, fault.Is(lease("c2", 0).Err, fault.FencingRefused))
	assert.Equal(t, lease("c1", 0).Fencing, uint64(1))
	assert.Equal(t, lease("c2", 1).Fencing, uint64(2))
	assert.Assert(t, fault.Is(lease("c3", 1).Err, fault.FencingRefused))
	assert.Equal(t, restoreFromSnapshot(t, r).Lease().Fencing, uint64(2))
}

// replicaWithOpenMove returns a replica with one open move, and the replicated state of
// that move.
func replicaWithOpenMove(t *testing.T) (*testReplica, *chicoryv1.Move) {
	t.Helper()
	r := newTestReplica()
	target := func(version string) *chicoryv1.Change {
		return &chicoryv1.Change{Change: &chicoryv1.Change_PutTarget{PutTarget: &chicoryv1.Target{
			Address: "127.0.0.1:" + version[1:], Service: "s", Version: version, AvailabilityZone: "a",
		}}}
	}
	_, err := r.confirm(confirmRequest("base", makePlan(t, r.Machine,
		&chicoryv1.Change{Change: &chicoryv1.Change_PutService{PutService: &chicoryv1.Service{Name: "s", Kind: chicoryv1.ServiceKind_SERVICE_KIND_TRANSACTIONAL}}},
		&chicoryv1.Change{Change: &chicoryv1.Change_PutRoute{PutRoute: &chicoryv1.Route{Name: "r", Service: "s", Version: "v1"}}},
		target("v1"), target("v2"))))
	assert.NilError(t, err)
	in := &chicoryv1.MoveIntent{
		Route: "r", From: "v1", To: "v2", ExpectedRate: 100,
		StartUnixMs: start.Add(time.Minute).UnixMilli(), DeadlineUnixMs: start.Add(time.Hour).UnixMilli(),
	}
	_, err = r.confirm(confirmRequest("move", makePlan(t, r.Machine, &chicoryv1.Change{Change: &chicoryv1.Change_StartMove{StartMove: in}})))
	assert.NilError(t, err)
	return r, r.View().Raw().GetMoves()[0]
}

// A checkpoint of a move's evidence is replicated but creates no revision. Routers
// receive neither the evidence nor the policy's state.
func TestMoveCheckpointDoesNotChangeRevision(t *testing.T) {
	r, m := replicaWithOpenMove(t)
	before, _ := r.Configuration()
	next := proto.CloneOf(m)
	next.PolicyState = []float64{1, 2, 3}
	next.NewEvidence = &chicoryv1.VersionEvidence{Requests: 7}
	res := r.apply(&chicoryv1.Command{Command: &chicoryv1.Command_MoveStep{
		MoveStep: &chicoryv1.MoveStep{Move: next, ExpectedEvents: uint32(len(m.GetEvents()))},
	}})
	assert.Assert(t, res.MoveStepApplied)
	after, _ := r.Configuration()
	assert.Assert(t, before == after)
	assert.DeepEqual(t, r.View().Raw().GetMoves()[0].GetPolicyState(), next.PolicyState)
	assert.Equal(t, len(after.GetMoves()[0].GetPolicyState()), 0)
	assert.Assert(t, after.GetMoves()[0].GetNewEvidence() == nil)
	assert.DeepEqual(t, restoreFromSnapshot(t, r).View().Raw().GetMoves()[0].GetPolicyState(), next.PolicyState)
}

// A configuration built by applying deltas equals the full configuration.
func TestDeltasMatchFullConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestReplica()
		var h config.Holder
		first, _ := r.Configuration()
		_, err := h.ApplyFull(first)
		assert.NilError(t, err)
		for i := range rapid.IntRange(1, 10).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			change := putTeam(name, uint32(i+1))
			view := config.NewView(h.Current().Raw())
			if view.Team(name) != nil && rapid.Bool().Draw(t, "remove") {
				change = &chicoryv1.Change{Change: &chicoryv1.Change_RemoveTeam{RemoveTeam: name}}
			}
			_, err := r.confirm(confirmRequest(fmt.Sprint(i), makePlan(t, r.Machine, change)))
			assert.NilError(t, err)
			next, _ := r.Configuration()
			applied, err := h.ApplyDelta(config.Diff(h.Current().Raw(), next))
			assert.NilError(t, err)
			assert.Assert(t, applied)
			assert.Assert(t, proto.Equal(h.Current().Raw(), next))
		}
	})
}

// A cluster that was bootstrapped again has no record of earlier calls, so it must not
// dispatch a call under an earlier key.
func TestRebootstrappedClusterRefusesEarlierKeys(t *testing.T) {
	r := newTestReplica()
	claim := func(at time.Time) chicoryv1.ClaimVerdict {
		c := &chicoryv1.Claim{Team: "desk", Key: ledger.FormatKey(at, []byte("12345678")), RouterId: "r1", Incarnation: "i", Nonce: "n"}
		res := r.apply(&chicoryv1.Command{Command: &chicoryv1.Command_Claim{Claim: &chicoryv1.ClaimRequest{Claims: []*chicoryv1.Claim{c}}}})
		return res.Claims[0].GetVerdict()
	}
	assert.Equal(t, claim(start.Add(-time.Minute)), chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD)
	assert.Equal(t, claim(start.Add(2*time.Second)), chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH)
}
