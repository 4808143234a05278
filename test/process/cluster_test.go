// Package process_test runs the binaries as separate processes on loopback and kills,
// stops and restarts them. Tests wait for events, never for a fixed time.
package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/ctl"
)

// eventTimeout bounds the wait for one event. Only failing tests reach it.
const eventTimeout = 90 * time.Second

// Offsets of the example's ports from its base port, each for the first VM or replica
// of its kind.
const (
	offsetControlMonitor = 20
	offsetRouterCaller   = 30
	offsetRouterMonitor  = 50
	offsetEngineV1       = 60
	offsetEngineV2       = 70
	offsetServiceV1      = 80
	offsetServiceV2      = 90
)

var binFolder string

// maxClusters bounds how many clusters of 18 processes each run at the same time.
const maxClusters = 4

var (
	clusterSlots = make(chan struct{}, maxClusters)

	portsMu   sync.Mutex // guards usedPorts
	usedPorts = map[int]bool{}
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "chicory-bin")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binFolder = folder
	build := exec.Command("go", "build", "-o", folder+"/", "github.com/chicoryswitch/chicoryswitch/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// cluster is one example deployment and its processes.
type cluster struct {
	t        *testing.T
	folder   string
	basePort int

	mu    sync.Mutex // guards procs
	procs map[string]*exec.Cmd
}

// newCluster writes the example and starts all processes. The stand-in engines
// generate a token every 10 ms.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, folder: t.TempDir(), basePort: freePortRange(t), procs: map[string]*exec.Cmd{}}
	c.runCtl("example", "-folder", c.folder, "-base-port", fmt.Sprint(c.basePort))
	t.Cleanup(c.killAll)
	for i := range 3 {
		c.startStandin(fmt.Sprintf("engine-v1-%d", i), offsetEngineV1+i, "v1")
		c.startStandin(fmt.Sprintf("engine-v2-%d", i), offsetEngineV2+i, "v2")
		c.startStandin(fmt.Sprintf("service-v1-%d", i), offsetServiceV1+i, "v1")
		c.startStandin(fmt.Sprintf("service-v2-%d", i), offsetServiceV2+i, "v2")
	}
	for i := 1; i <= 3; i++ {
		c.startControl(i)
		c.startRouter(i)
	}
	for i := range 3 {
		c.waitReady(offsetControlMonitor + i)
		c.waitReady(offsetRouterMonitor + i)
	}
	c.confirm("changes.yaml")
	return c
}

// freePortRange returns the first of 100 consecutive ports of which none is in use. It
// returns each range only once.
func freePortRange(t *testing.T) int {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	for base := 20000 + os.Getpid()%80*100; base < 32000; base += 100 {
		if !usedPorts[base] && isPortRangeFree(base) {
			usedPorts[base] = true
			return base
		}
	}
	t.Fatal("no free port range")
	return 0
}

func isPortRangeFree(base int) bool {
	for offset := 0; offset < 100; offset += 10 {
		for i := range 3 {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+offset+i))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (c *cluster) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.basePort+offset)
}

// start starts one process and appends its output to a log in the cluster's folder.
func (c *cluster) start(name, binary string, args ...string) {
	c.t.Helper()
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(c.t, err)
	cmd := exec.Command(filepath.Join(binFolder, binary), args...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(c.t, cmd.Start())
	_ = log.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs[name] = cmd
}

func (c *cluster) startStandin(name string, offset int, version string) {
	c.start(name, "chicory-standin", "serve", "-address", c.address(offset), "-version", version, "-token-gap", "10ms")
}

func (c *cluster) startControl(i int) {
	name := fmt.Sprintf("c%d", i)
	c.start(name, "chicory-control", "-settings", filepath.Join(c.folder, name+".yaml"))
}

func (c *cluster) startRouter(i int) {
	name := fmt.Sprintf("r%d", i)
	c.start(name, "chicory-router", "-settings", filepath.Join(c.folder, name+".yaml"))
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.NilError(c.t, c.procs[name].Process.Signal(s))
}

// kill sends SIGKILL to a process and waits until it has exited.
func (c *cluster) kill(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGKILL)
	_ = c.wait(name)
}

// wait waits for a process and returns its exit error.
func (c *cluster) wait(name string) error {
	c.mu.Lock()
	cmd := c.procs[name]
	delete(c.procs, name)
	c.mu.Unlock()
	return cmd.Wait()
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if c.t.Failed() {
		c.showLogs()
	}
}

// showLogs logs the last lines of every process log.
func (c *cluster) showLogs() {
	logs, _ := filepath.Glob(filepath.Join(c.folder, "*.log"))
	for _, l := range logs {
		b, _ := os.ReadFile(l)
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		c.t.Logf("--- %s\n%s", filepath.Base(l), strings.Join(lines[max(len(lines)-15, 0):], "\n"))
	}
}

// runCtl runs one operator command inside the test process and returns its output.
func (c *cluster) runCtl(args ...string) string {
	c.t.Helper()
	out, errOut, status := c.tryCtl(args...)
	assert.Equal(c.t, status, ctl.ExitOK, "%v: %s", args, errOut)
	return out
}

func (c *cluster) tryCtl(args ...string) (out, errOut string, status int) {
	var o, e bytes.Buffer
	status = ctl.Run(args, &o, &e)
	return o.String(), e.String(), status
}

func (c *cluster) ctlConfig() string {
	return filepath.Join(c.folder, "ctl.yaml")
}

// confirm plans the changes of a file, confirms them and waits until they are in force
// on every router.
func (c *cluster) confirm(file string) {
	c.t.Helper()
	planFile := filepath.Join(c.folder, file+".plan")
	c.runCtl("plan", "-config", c.ctlConfig(), "-f", filepath.Join(c.folder, file), "-plan", planFile)
	out := c.runCtl("confirm", "-config", c.ctlConfig(), "-plan", planFile, "-why", "test", "-wait", "60s")
	assert.Assert(c.t, strings.Contains(out, "in force on every live router"), out)
}

// confirmTeam adds a team with a token limit to the configuration and waits until it
// is in force.
func (c *cluster) confirmTeam(name string, tokens int) {
	c.t.Helper()
	text := fmt.Sprintf("changes:\n  - put_team: {name: %s, tokens_per_second: %d}\n", name, tokens)
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.folder, "team.yaml"), []byte(text), 0o644))
	c.confirm("team.yaml")
}

func (c *cluster) waitReady(offset int) {
	c.t.Helper()
	c.runCtl("ready", "-wait", eventTimeout.String(), c.address(offset))
}

// eventually waits until holds returns true, and fails the test after eventTimeout.
func (c *cluster) eventually(event string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("timed out waiting until %s", event)
}

// leader returns the control VM that the status shows as the leader.
func (c *cluster) leader() string {
	c.t.Helper()
	name := ""
	c.eventually("a leader answers", func() bool {
		out, _, status := c.tryCtl("status", "-config", c.ctlConfig())
		for _, line := range strings.Split(out, "\n") {
			if fields := strings.Fields(line); status == ctl.ExitOK && len(fields) > 0 && strings.HasSuffix(line, "leader") {
				name = fields[0]
			}
		}
		return name != ""
	})
	return name
}

// incarnation returns the incarnation of a control VM if it is a voter, and ""
// otherwise.
func (c *cluster) incarnation(name string) string {
	out, _, status := c.tryCtl("status", "-config", c.ctlConfig(), "-o", "json")
	var shown struct {
		Vms []struct {
			ID          string
			Voter       bool
			Incarnation string
		}
	}
	if status != ctl.ExitOK || json.Unmarshal([]byte(out), &shown) != nil {
		return ""
	}
	for _, vm := range shown.Vms {
		if vm.ID == name && vm.Voter {
			return vm.Incarnation
		}
	}
	return ""
}

func (c *cluster) faultClient(offset int) chicoryv1connect.FaultServiceClient {
	return chicoryv1connect.NewFaultServiceClient(http.DefaultClient, "http://"+c.address(offset))
}

func (c *cluster) setFaults(offset int, f *chicoryv1.Faults) {
	c.t.Helper()
	_, err := c.faultClient(offset).SetFaults(context.Background(), connect.NewRequest(&chicoryv1.SetFaultsRequest{Faults: f}))
	assert.NilError(c.t, err)
}

// arrivals returns the number of calls with a key that reached the replicas of the
// service.
func (c *cluster) arrivals(key string) uint32 {
	c.t.Helper()
	n := uint32(0)
	for _, offset := range []int{offsetServiceV1, offsetServiceV2} {
		for i := range 3 {
			resp, err := c.faultClient(offset+i).Arrivals(context.Background(), connect.NewRequest(&chicoryv1.ArrivalsRequest{Key: key}))
			assert.NilError(c.t, err)
			n += resp.Msg.GetWithKey()
		}
	}
	return n
}

// servingEngine returns the index of the v1 engine that runs a generation.
func (c *cluster) servingEngine() int {
	c.t.Helper()
	found := -1
	c.eventually("an engine runs the generation", func() bool {
		for i := range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			resp, err := c.faultClient(offsetEngineV1+i).Arrivals(ctx, connect.NewRequest(&chicoryv1.ArrivalsRequest{}))
			cancel()
			if err == nil && resp.Msg.GetRunning()[c.address(offsetEngineV1+i)] > 0 {
				found = i
			}
		}
		return found >= 0
	})
	return found
}
