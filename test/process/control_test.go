package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/ctl"
)

// shownConfiguration is the part of the output of "chicoryctl config" that the tests
// read.
type shownConfiguration struct {
	Revision string
	Teams    []struct{ Name string }
}

func parseConfiguration(out string) shownConfiguration {
	var c shownConfiguration
	_ = json.Unmarshal([]byte(out), &c)
	return c
}

func containsTeam(out, name string) bool {
	for _, team := range parseConfiguration(out).Teams {
		if team.Name == name {
			return true
		}
	}
	return false
}

// All control and router processes are killed and restarted after a hundred changes.
// The configuration must be the same as before, and the routers must serve with it.
func TestConfigurationSurvivesChangesAndRestarts(t *testing.T) {
	c := newCluster(t)
	const changes = 100
	for i := range changes {
		c.confirmTeam(fmt.Sprintf("team-%d", i), i+1)
	}
	before := parseConfiguration(c.runCtl("config", "-config", c.ctlConfig()))
	for i := 1; i <= 3; i++ {
		c.kill(fmt.Sprintf("c%d", i))
		c.kill(fmt.Sprintf("r%d", i))
	}
	for i := 1; i <= 3; i++ {
		c.startControl(i)
		c.startRouter(i)
	}
	for i := range 3 {
		c.waitReady(offsetRouterMonitor + i)
	}
	after := parseConfiguration(c.runCtl("config", "-config", c.ctlConfig()))
	assert.DeepEqual(t, after, before)
	b := c.bookUntilAnswered(0)
	assert.Equal(t, b.payload, "book:"+b.key)
}

// The leader's data folder is lost. Once that VM votes again, the next leader loses
// its data folder too. No confirmed change may be lost.
func TestSecondDiskLossAfterRepairLosesNothing(t *testing.T) {
	c := newCluster(t)
	c.confirmTeam("early", 1)
	first := c.leader()
	c.loseDisk(first)
	c.confirmTeam("between", 1)
	second := c.leader()
	assert.Assert(t, second != first)
	c.loseDisk(second)
	out := ""
	c.eventually("the configuration can be read", func() bool {
		var status int
		out, _, status = c.tryCtl("config", "-config", c.ctlConfig())
		return status == 0
	})
	assert.Assert(t, containsTeam(out, "early"), out)
	assert.Assert(t, containsTeam(out, "between"), out)
	c.confirmTeam("late", 1)
}

// loseDisk kills a control VM, deletes its data folder, restarts it and waits until it
// votes under its new incarnation.
func (c *cluster) loseDisk(name string) {
	c.t.Helper()
	var number int
	_, err := fmt.Sscanf(name, "c%d", &number)
	assert.NilError(c.t, err)
	before := c.incarnation(name)
	c.kill(name)
	assert.NilError(c.t, os.RemoveAll(filepath.Join(c.folder, "data-"+name)))
	c.startControl(number)
	c.eventually(name+" votes again", func() bool {
		now := c.incarnation(name)
		return now != "" && now != before
	})
}

// A target that serves another version than the configured one must be ordered to load
// the configured version.
func TestTargetIsOrderedToItsVersion(t *testing.T) {
	c := newCluster(t)
	text := fmt.Sprintf("changes:\n  - put_target: {address: %q, service: dispatch, version: v3, availability_zone: a}\n", c.address(offsetServiceV2))
	assert.NilError(t, os.WriteFile(filepath.Join(c.folder, "target.yaml"), []byte(text), 0o644))
	c.confirm("target.yaml")
	target := chicoryv1connect.NewTargetServiceClient(http.DefaultClient, "http://"+c.address(offsetServiceV2))
	c.eventually("the target serves v3", func() bool {
		resp, err := target.Load(context.Background(), connect.NewRequest(&chicoryv1.LoadRequest{}))
		return err == nil && resp.Msg.GetVersion() == "v3"
	})
}

// A peer whose certificate is not from the system's authority must be refused
// everything, and a peer of another role everything that its role does not allow.
func TestPeersNeedCertificateOfTheirRole(t *testing.T) {
	c := newCluster(t)
	foreignKeys := filepath.Join(t.TempDir(), "keys")
	c.runCtl("certs", "-folder", foreignKeys, "-role", "operator", "mallory")
	control := c.address(10) + "," + c.address(11) + "," + c.address(12)
	readConfig := func(folder, id string) int {
		_, _, status := c.tryCtl("config", "-control", control, "-certificate", filepath.Join(folder, id+".pem"),
			"-key", filepath.Join(folder, id+"-key.pem"), "-authority", filepath.Join(folder, "ca.pem"))
		return status
	}
	keys := filepath.Join(c.folder, "keys")
	assert.Equal(t, readConfig(keys, "operator"), ctl.ExitOK)
	assert.Assert(t, readConfig(foreignKeys, "mallory") != ctl.ExitOK)
	assert.Assert(t, readConfig(keys, "r1") != ctl.ExitOK)
}
