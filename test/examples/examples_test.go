// Package examples_test checks that the code accepts the example settings and changes
// of both deployments.
package examples_test

import (
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/ctl"
	"github.com/chicoryswitch/chicoryswitch/internal/process/control"
	"github.com/chicoryswitch/chicoryswitch/internal/process/router"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// root is the folder of the examples.
const root = "../../examples"

// deployment describes the expected contents of one example.
type deployment struct {
	folder       string
	control      int
	routers      int
	modelService string
	callService  string
	teams        int
}

var deployments = []deployment{
	{folder: "celeste", control: 3, routers: 6, modelService: "shift-model", callService: "dispatch-desk", teams: 10},
	{folder: "sticla-vie", control: 3, routers: 3, modelService: "pattern-model", callService: "commissions-ledger", teams: 10},
}

func TestSettingsAreAccepted(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.folder, func(t *testing.T) {
			checkControl(t, d)
			checkRouters(t, d)
		})
	}
}

func checkControl(t *testing.T, d deployment) {
	files := settingsFiles(t, d, `c\d\.yaml`)
	assert.Equal(t, len(files), d.control)
	zones := map[settings.AvailabilityZone]bool{}
	for _, f := range files {
		s := control.Defaults()
		assert.NilError(t, settings.Load(f, &s))
		assert.Equal(t, s.ID+".yaml", filepath.Base(f))
		assert.Equal(t, s.PeerAddress, addressOf(s.Control, s.ID), "%s lists another address for its own VM", f)
		zones[s.AvailabilityZone] = true
	}
	assert.Equal(t, len(zones), 3)
}

func checkRouters(t *testing.T, d deployment) {
	files := settingsFiles(t, d, `r\d\.yaml`)
	assert.Equal(t, len(files), d.routers)
	first := control.Defaults()
	assert.NilError(t, settings.Load(filepath.Join(root, d.folder, "c1.yaml"), &first))
	zones := map[settings.AvailabilityZone]bool{}
	addresses := map[settings.Address]bool{}
	for _, f := range files {
		s := router.Defaults()
		assert.NilError(t, settings.Load(f, &s))
		assert.Equal(t, s.ID+".yaml", filepath.Base(f))
		assert.DeepEqual(t, s.Control, first.Control)
		assert.Assert(t, !addresses[s.CallerAddress], "%s: address %s is used twice", f, s.CallerAddress)
		addresses[s.CallerAddress] = true
		zones[s.AvailabilityZone] = true
	}
	assert.Equal(t, len(zones), 3)
}

func addressOf(list []control.VM, id string) settings.Address {
	for _, vm := range list {
		if vm.ID == id {
			return vm.Address
		}
	}
	return ""
}

// settingsFiles returns the YAML files of a deployment whose names match pattern.
func settingsFiles(t *testing.T, d deployment, pattern string) []string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(root, d.folder, "*.yaml"))
	assert.NilError(t, err)
	var out []string
	for _, f := range all {
		if regexp.MustCompile("^" + pattern + "$").MatchString(filepath.Base(f)) {
			out = append(out, f)
		}
	}
	return out
}

func TestChangesAreAcceptedWithoutWarnings(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.folder, func(t *testing.T) {
			changes, err := ctl.ReadChanges(filepath.Join(root, d.folder, "changes.yaml"))
			assert.NilError(t, err)
			out, err := plan.Apply(plan.Input{
				Base: config.NewView(&chicoryv1.Configuration{}), Now: time.Unix(0, 0), MoveID: "move-1",
			}, changes)
			assert.NilError(t, err)
			assert.Equal(t, len(out.Warnings), 0, "%q", out.Warnings)
			checkConfiguration(t, d, out.Next)
		})
	}
}

// checkConfiguration checks that the configuration has the expected number of targets and
// teams, and objectives for every route.
func checkConfiguration(t *testing.T, d deployment, v *config.View) {
	assert.Equal(t, len(v.Targets(d.modelService)), 20)
	assert.Equal(t, len(v.Targets(d.callService)), 3)
	assert.Equal(t, len(v.Raw().GetTeams()), d.teams)
	for _, r := range v.Raw().GetRoutes() {
		assert.Assert(t, r.GetObjectives().GetAvailabilityMillipercent() > 0, "route %s has no objective", r.GetName())
		assert.Assert(t, r.GetObjectives().GetLatencyMillipercent() > 0, "route %s has no objective", r.GetName())
	}
}
