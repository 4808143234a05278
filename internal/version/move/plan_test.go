package move

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

func TestPlanWarnsOfTooFewRequests(t *testing.T) {
	route := &chicoryv1.Route{Name: "fares", Version: "1"}
	in := testMove(false).GetIntent()
	effects, warnings, err := Plan(in, route, epoch, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(warnings), 0, "%v", warnings)
	assert.Assert(t, strings.Contains(strings.Join(effects, "\n"), "4.5%"))
	in = proto.Clone(in).(*chicoryv1.MoveIntent)
	in.ExpectedRate = 1
	_, warnings, err = Plan(in, route, epoch, 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(strings.Join(warnings, "\n"), "too little traffic"))
	in.ExpectedRate = 0
	_, warnings, err = Plan(in, route, epoch, 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(strings.Join(warnings, "\n"), "not known"))
}

func TestPlanLowersTheCap(t *testing.T) {
	route := &chicoryv1.Route{Name: "fares", Version: "1", NonIdempotent: true}
	in := proto.Clone(testMove(false).GetIntent()).(*chicoryv1.MoveIntent)
	in.CapPermille = 500
	_, warnings, err := Plan(in, route, epoch, 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(warnings[0], "lowered from 500 to 10"))
	assert.Equal(t, New("m", in, route, "op", "", epoch).GetIntent().GetCapPermille(), uint32(NonIdempotentMaxCapPermille))
}

func TestPlanRejects(t *testing.T) {
	cases := map[string]func(*chicoryv1.MoveIntent){
		"another route":   func(in *chicoryv1.MoveIntent) { in.Route = "x" },
		"wrong from":      func(in *chicoryv1.MoveIntent) { in.From = "0" },
		"same version":    func(in *chicoryv1.MoveIntent) { in.To = "1" },
		"no to":           func(in *chicoryv1.MoveIntent) { in.To = "" },
		"short window":    func(in *chicoryv1.MoveIntent) { in.DeadlineUnixMs = in.StartUnixMs + 1000 },
		"past start":      func(in *chicoryv1.MoveIntent) { in.StartUnixMs = epoch.Add(-2 * time.Hour).UnixMilli() },
		"large error":     func(in *chicoryv1.MoveIntent) { in.BadErrorPermille = 1000 },
		"small latency":   func(in *chicoryv1.MoveIntent) { in.BadLatencyPercent = 110 },
		"negative rate":   func(in *chicoryv1.MoveIntent) { in.ExpectedRate = -1 },
		"cap above whole": func(in *chicoryv1.MoveIntent) { in.CapPermille = 1001 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			in := proto.Clone(testMove(false).GetIntent()).(*chicoryv1.MoveIntent)
			in.CapPermille, in.BadErrorPermille, in.BadLatencyPercent = 0, 0, 0
			change(in)
			_, _, err := Plan(in, &chicoryv1.Route{Name: "fares", Version: "1"}, epoch, 0)
			assert.Assert(t, fault.Is(err, fault.PlanRejected), "%v", err)
		})
	}
}
