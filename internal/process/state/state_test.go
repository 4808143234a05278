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
	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m))
}

// start is the time of the first entry.
var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// replica applies commands as one control VM does.
type replica struct {
	*Machine
	index uint64
}

func newReplica() *replica {
	r := &replica{Machine: New(ledger.DefaultSettings())}
	r.do(&chicoryv1.Command{Command: &chicoryv1.Command_Found{Found: &chicoryv1.FoundCommand{ClusterId: "c"}}})
	return r
}

func (r *replica) do(cmd *chicoryv1.Command) Result {
	r.index++
	cmd.UnixMs = start.Add(time.Duration(r.index) * time.Second).UnixMilli()
	b, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	return r.Apply(r.index, b).(Result)
}

func (r *replica) confirm(req *chicoryv1.ConfirmRequest) (*chicoryv1.ConfirmResponse, error) {
	res := r.do(&chicoryv1.Command{Command: &chicoryv1.Command_Confirm{Confirm: req}})
	return res.Confirm, res.Err
}

func putTeam(name string, tokens uint32) *chicoryv1.Change {
	return &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: &chicoryv1.Team{Name: name, TokensPerSecond: tokens}}}
}

func planOf(t assert.TestingT, m *Machine, changes ...*chicoryv1.Change) *chicoryv1.Plan {
	p, err := m.Plan("op", changes, start)
	assert.NilError(t, err)
	return p
}

func confirmOf(id string, p *chicoryv1.Plan) *chicoryv1.ConfirmRequest {
	return &chicoryv1.ConfirmRequest{RequestId: id, Operator: "op", Why: "test", Plan: p}
}

// Two operators plan on the same revision and race: exactly one wins, and both
// learn it again when they resend.
func TestRaceOfEqualNumbersHasOneWinner(t *testing.T) {
	r := newReplica()
	first := planOf(t, r.Machine, putTeam("desk", 1))
	second := planOf(t, r.Machine, putTeam("desk", 2))
	assert.Equal(t, first.GetBaseRevision(), second.GetBaseRevision())
	won, err := r.confirm(confirmOf("a", first))
	assert.NilError(t, err)
	_, err = r.confirm(confirmOf("b", second))
	assert.Assert(t, fault.Is(err, fault.PlanStale), "%v", err)
	again, err := r.confirm(confirmOf("a", first))
	assert.NilError(t, err)
	assert.Assert(t, again.GetReplayed())
	assert.Equal(t, again.GetRevision(), won.GetRevision())
	_, err = r.confirm(confirmOf("b", second))
	assert.Assert(t, fault.Is(err, fault.PlanStale), "%v", err)
	_, err = r.confirm(confirmOf("a", second))
	assert.Assert(t, fault.Is(err, fault.RequestConflict), "%v", err)
}

// Operators who touch different items don't get into each other's way.
func TestConfirmsOfOtherItemsDoNotConflict(t *testing.T) {
	r := newReplica()
	a := planOf(t, r.Machine, putTeam("a", 1))
	b := planOf(t, r.Machine, putTeam("b", 1))
	_, err := r.confirm(confirmOf("a", a))
	assert.NilError(t, err)
	_, err = r.confirm(confirmOf("b", b))
	assert.NilError(t, err)
}

func TestPlanWithoutItsReadsIsRefused(t *testing.T) {
	r := newReplica()
	p := planOf(t, r.Machine, putTeam("a", 1))
	p.Reads = nil
	_, err := r.confirm(confirmOf("a", p))
	assert.Assert(t, fault.Is(err, fault.InvalidArgument), "%v", err)
}

// A plan of which one change is refused changes nothing.
func TestNothingIsHalfApplied(t *testing.T) {
	r := newReplica()
	p := planOf(t, r.Machine, putTeam("a", 1))
	p.Changes = append(p.Changes, &chicoryv1.Change{Change: &chicoryv1.Change_PutRoute{
		PutRoute: &chicoryv1.Route{Name: "r", Service: "none", Version: "v1"},
	}})
	before, _ := r.Configuration()
	_, err := r.confirm(confirmOf("a", p))
	assert.Assert(t, fault.Is(err, fault.PlanRejected), "%v", err)
	after, _ := r.Configuration()
	assert.Assert(t, before == after)
}

// naive is the configuration as one plain map, with a whole copy kept for every plan.
type naive struct {
	teams   map[string]uint32
	results map[string]string
}

// drawnPlan is a plan and what it saw of the teams it changes.
type drawnPlan struct {
	plan *chicoryv1.Plan
	name string
	to   uint32
	saw  uint64
}

// Against a naive single copy: drawn plans, confirms late and resent, snapshots
// and restores in between. Every confirm wins exactly when the item that it read
// has not changed since, resends get the first result, revisions only grow.
func TestConfirmsAgainstNaiveMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		n := naive{teams: map[string]uint32{}, results: map[string]string{}}
		writes := map[string]uint64{}
		var plans []drawnPlan
		revision := uint64(0)
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				plans = append(plans, drawnPlan{
					plan: planOf(t, r.Machine, putTeam(name, uint32(i+1))), name: name, to: uint32(i + 1), saw: writes[name],
				})
			case 2, 3:
				if len(plans) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(plans)-1).Draw(t, "plan")
				checkConfirm(t, r, &n, writes, plans[k], fmt.Sprint("request-", k))
			case 4:
				r = restored(t, r)
			}
			c, _ := r.Configuration()
			assert.Assert(t, c.GetRevision() >= revision, "revision went from %d to %d", revision, c.GetRevision())
			revision = c.GetRevision()
		}
		c, _ := r.Configuration()
		for _, team := range c.GetTeams() {
			assert.Equal(t, team.GetTokensPerSecond(), n.teams[team.GetName()])
		}
		assert.Equal(t, len(c.GetTeams()), len(n.teams))
	})
}

func checkConfirm(t *rapid.T, r *replica, n *naive, writes map[string]uint64, p drawnPlan, id string) {
	resp, err := r.confirm(confirmOf(id, p.plan))
	got := "won"
	if err != nil {
		got = string(fault.Of(err).Kind)
	}
	if first, ok := n.results[id]; ok {
		assert.Equal(t, got, first, "resend of %s", id)
		assert.Assert(t, err != nil || resp.GetReplayed())
		return
	}
	want := "won"
	if writes[p.name] != p.saw {
		want = string(fault.PlanStale)
	}
	assert.Equal(t, got, want)
	n.results[id] = want
	if want == "won" {
		n.teams[p.name] = p.to
		writes[p.name]++
	}
}

// restored returns a replica made from r's snapshot, whose own snapshot is equal.
func restored(t assert.TestingT, r *replica) *replica {
	b, err := r.Snapshot()
	assert.NilError(t, err)
	next := &replica{Machine: New(ledger.DefaultSettings()), index: r.index}
	assert.NilError(t, next.Restore(b))
	again, err := next.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, b, again)
	return next
}

// The order lease: its holder renews it under one number; another VM gets it only
// by naming that number, which only one can do.
func TestLeaseNumbersOnlyGrow(t *testing.T) {
	r := newReplica()
	lease := func(holder string, expected uint64) Result {
		return r.do(&chicoryv1.Command{Command: &chicoryv1.Command_Lease{
			Lease: &chicoryv1.LeaseCommand{Holder: holder, DurationMs: 3000, ExpectedFencing: expected},
		}})
	}
	first := lease("c1", 0)
	assert.Equal(t, first.Fencing, uint64(1))
	assert.Assert(t, fault.Is(lease("c2", 0).Err, fault.FencingRefused))
	assert.Equal(t, lease("c1", 0).Fencing, uint64(1))
	assert.Equal(t, lease("c2", 1).Fencing, uint64(2))
	assert.Assert(t, fault.Is(lease("c3", 1).Err, fault.FencingRefused))
	assert.Equal(t, restored(t, r).Lease().Fencing, uint64(2))
}

// openMove returns a replica with one open move and the move's replicated state.
func openMove(t *testing.T) (*replica, *chicoryv1.Move) {
	t.Helper()
	r := newReplica()
	target := func(version string) *chicoryv1.Change {
		return &chicoryv1.Change{Change: &chicoryv1.Change_PutTarget{PutTarget: &chicoryv1.Target{
			Address: "127.0.0.1:" + version[1:], Service: "s", Version: version, AvailabilityZone: "a",
		}}}
	}
	_, err := r.confirm(confirmOf("base", planOf(t, r.Machine,
		&chicoryv1.Change{Change: &chicoryv1.Change_PutService{PutService: &chicoryv1.Service{Name: "s", Kind: chicoryv1.ServiceKind_SERVICE_KIND_TRANSACTIONAL}}},
		&chicoryv1.Change{Change: &chicoryv1.Change_PutRoute{PutRoute: &chicoryv1.Route{Name: "r", Service: "s", Version: "v1"}}},
		target("v1"), target("v2"))))
	assert.NilError(t, err)
	in := &chicoryv1.MoveIntent{
		Route: "r", From: "v1", To: "v2", ExpectedRate: 100,
		StartUnixMs: start.Add(time.Minute).UnixMilli(), DeadlineUnixMs: start.Add(time.Hour).UnixMilli(),
	}
	_, err = r.confirm(confirmOf("move", planOf(t, r.Machine, &chicoryv1.Change{Change: &chicoryv1.Change_StartMove{StartMove: in}})))
	assert.NilError(t, err)
	return r, r.View().Raw().GetMoves()[0]
}

// A checkpoint of a move's evidence is replicated and is no new revision; routers
// get neither evidence nor the policy's numbers.
func TestCheckpointOfAMoveIsNoRevision(t *testing.T) {
	r, m := openMove(t)
	before, _ := r.Configuration()
	next := proto.CloneOf(m)
	next.PolicyState = []float64{1, 2, 3}
	next.NewEvidence = &chicoryv1.VersionEvidence{Requests: 7}
	res := r.do(&chicoryv1.Command{Command: &chicoryv1.Command_MoveStep{
		MoveStep: &chicoryv1.MoveStep{Move: next, ExpectedEvents: uint32(len(m.GetEvents()))},
	}})
	assert.Assert(t, res.Stepped)
	after, _ := r.Configuration()
	assert.Assert(t, before == after)
	assert.DeepEqual(t, r.View().Raw().GetMoves()[0].GetPolicyState(), next.PolicyState)
	assert.Equal(t, len(after.GetMoves()[0].GetPolicyState()), 0)
	assert.Assert(t, after.GetMoves()[0].GetNewEvidence() == nil)
	assert.DeepEqual(t, restored(t, r).View().Raw().GetMoves()[0].GetPolicyState(), next.PolicyState)
}

// Deltas lead to the same configuration as whole ones.
func TestDeltasAgainstWholeConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
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
			_, err := r.confirm(confirmOf(fmt.Sprint(i), planOf(t, r.Machine, change)))
			assert.NilError(t, err)
			next, _ := r.Configuration()
			applied, err := h.ApplyDelta(config.Diff(h.Current().Raw(), next))
			assert.NilError(t, err)
			assert.Assert(t, applied)
			assert.Assert(t, proto.Equal(h.Current().Raw(), next))
		}
	})
}

// A cluster founded anew knows of no earlier call, so it runs none under an
// earlier key.
func TestFoundedAnewRefusesEarlierKeys(t *testing.T) {
	r := newReplica()
	claim := func(at time.Time) chicoryv1.ClaimVerdict {
		c := &chicoryv1.Claim{Team: "desk", Key: ledger.FormatKey(at, []byte("12345678")), RouterId: "r1", Incarnation: "i", Nonce: "n"}
		res := r.do(&chicoryv1.Command{Command: &chicoryv1.Command_Claim{Claim: &chicoryv1.ClaimRequest{Claims: []*chicoryv1.Claim{c}}}})
		return res.Claims[0].GetVerdict()
	}
	assert.Equal(t, claim(start.Add(-time.Minute)), chicoryv1.ClaimVerdict_CLAIM_VERDICT_TOO_OLD)
	assert.Equal(t, claim(start.Add(2*time.Second)), chicoryv1.ClaimVerdict_CLAIM_VERDICT_DISPATCH)
}
