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

// shownConfiguration is the part of "chicoryctl config" that the tests read.
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

// After a hundred changes every process is killed and started again. The revision
// in force is the last one, also at the routers.
func TestNothingRevertsAfterHundredsOfChangesAndRestarts(t *testing.T) {
	c := newCluster(t)
	const changes = 100
	for i := range changes {
		c.confirmTeam(fmt.Sprintf("team-%d", i), i+1)
	}
	before := parseConfiguration(c.ctl("config", "-config", c.config()))
	for i := 1; i <= 3; i++ {
		c.kill(fmt.Sprintf("c%d", i))
		c.kill(fmt.Sprintf("r%d", i))
	}
	for i := 1; i <= 3; i++ {
		c.startControl(i)
		c.startRouter(i)
	}
	for i := range 3 {
		c.waitReady(routerMonitor + i)
	}
	after := parseConfiguration(c.ctl("config", "-config", c.config()))
	assert.DeepEqual(t, after, before)
	b := c.bookUntilAnswered(0)
	assert.Equal(t, b.payload, "book:"+b.key)
}

// The leader's data folder is lost. Once it has been repaired a second VM is lost
// with its disk. Nothing that was confirmed is lost.
func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
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
		out, _, status = c.tryCtl("config", "-config", c.config())
		return status == 0
	})
	assert.Assert(t, containsTeam(out, "early"), out)
	assert.Assert(t, containsTeam(out, "between"), out)
	c.confirmTeam("late", 1)
}

// loseDisk kills a control VM, deletes its data folder, starts it again and waits
// until it votes under its new incarnation.
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
