package clients

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	// The programs are built from these. Without the imports, go test would take an earlier result from its
	// cache although they have changed.
	_ "github.com/chicoryswitch/chicoryswitch/internal/process/entry"
	_ "github.com/chicoryswitch/chicoryswitch/internal/process/keeper"
	_ "github.com/chicoryswitch/chicoryswitch/internal/process/run"
	_ "github.com/chicoryswitch/chicoryswitch/platform"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// programs is the folder of the programs, built once by TestMain.
var programs string

// TestMain builds the programs without the race detector, which needs many times the memory.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "clients"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(programs) }()
	module := "github.com/chicoryswitch/chicoryswitch/cmd/"
	build := exec.Command("go", "build", "-buildvcs=false", "-o", programs+"/", module+"chicory-entry", module+"chicory-keeper")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// program is a running program.
type program struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    *bytes.Buffer // complete once exited is closed
}

// start starts a program and kills it when the test ends. limits are the settings of what clients may
// use.
func start(t *testing.T, name, settings, limits string) *program {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".yaml")
	path := filepath.Join(programs, name)
	assert.NilError(t, os.WriteFile(file, []byte(settings+limits), 0o600))
	p := &program{cmd: exec.Command(path, "-settings", file), exited: make(chan struct{}), log: &bytes.Buffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // the check is that it runs
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			text := p.log.String()
			t.Logf("end of the log of %s:\n%s", name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

// isRunning reports whether the process that was started still runs.
func (p *program) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memory returns a value in bytes of the process's status, such as VmRSS and VmHWM.
func (p *program) memory(t *testing.T, name string) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			assert.NilError(t, err)
			return kb << 10
		}
	}
	t.Fatalf("no %s in the status of the process", name)
	return 0
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (p *program) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// Limits of the tests' configuration. Headers are those of the deployments; bodies are a quarter.
const (
	headerBytes = 16 << 10
	bodyBytes   = 1 << 20
)

const documentFormat = `{"version":1,"routes":[
 {"name":"look","host":"desk.example","path_prefix":"/look/","type":"safe","timeout_ms":20000,"target_latency_ms":200,"priority":2,"service":"desk","max_attempts":2},
 {"name":"pay","host":"desk.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":20000,"target_latency_ms":200,"priority":2,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk","health_path":"/healthz","max_connections":90}],
 "limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":10000,"idle_timeout_ms":90000},
 "tenants":[{"name":"rambla","api_keys":["key-1"],"priority":1}]}`

// Sizes of the tests' machines: a quarter of the smallest entry VM's memory and of a control VM's.
// The budgets are what a process takes by default on such a machine.
const (
	entryMemory        = 144e6 / 4
	keeperMemory       = 280e6 / 4
	entryBudget        = entryMemory / 4
	keeperBudget       = keeperMemory / 4
	maxConnections     = 64
	growthShare        = 0.6
	spareDescriptors   = 32 // for connections to targets and control VMs
	maxKeeperClients   = 30
	maxHeadClients     = 150
	maxBodyClients     = 200
	loadTime           = 4 * time.Second
	answerTime         = 30 * time.Second
	keeperBodyBytes    = 4 << 20 // legal: a configuration may have 8 MiB
	endlessHeaderBytes = 256 << 10
)

// system is one control VM and one entry VM with a target.
type system struct {
	keeper, entry             *program
	operatorAddress, callerAt string
	// The ports that are not for callers and operators.
	monitorAt, keeperMonitorAt, relayAt, peersAt string
	target                                       *standin.Target
}

// startSystem starts the processes and waits until the entry VM serves calls.
func startSystem(t *testing.T) *system {
	t.Helper()
	list := &standin.List{}
	platform := httptest.NewServer(list)
	t.Cleanup(platform.Close)
	target, err := standin.StartTarget(standin.NewFleet(nil), standin.TargetOptions{Instance: "d1", Service: standin.Desk, AvailabilityZone: "a", Address: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	list.Publish(target)

	const keeperIP, entryIP = "127.0.0.61", "127.0.0.62"
	ports := freePorts(t, 4, keeperIP, entryIP)
	at := func(ip string, i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	s := &system{operatorAddress: at(keeperIP, 0), callerAt: at(entryIP, 0), target: target}
	s.monitorAt, s.keeperMonitorAt, s.relayAt, s.peersAt = at(entryIP, 3), at(keeperIP, 1), at(entryIP, 2), at(keeperIP, 2)
	limits := func(budget float64) string {
		return fmt.Sprintf("clients: {memory_bytes: %d, connections: %d}\n", int64(budget), maxConnections)
	}
	s.keeper = start(t, "chicory-keeper", fmt.Sprintf(`id: keeper
operator_address: "%s"
monitor_address: "%s"
platform_address: "%s"
peer_port: %d
seeds: ["%s"]
may_found: true
data_folder: %q
`, at(keeperIP, 0), at(keeperIP, 1), platform.Listener.Addr(), ports[2], at(keeperIP, 0), t.TempDir()), limits(keeperBudget))
	s.entry = start(t, "chicory-entry", fmt.Sprintf(`id: entry
availability_zone: a
caller_address: "%s"
ready_address: "%s"
monitor_address: "%s"
platform_address: "%s"
peer_port: %d
seeds: ["%s"]
`, at(entryIP, 0), at(entryIP, 1), at(entryIP, 3), platform.Listener.Addr(), ports[2], at(keeperIP, 0)), limits(entryBudget))
	s.declare(t)
	s.callOrdinary(t)
	return s
}

// freePorts returns ports that are free at all addresses.
func freePorts(t *testing.T, count int, ips ...string) []int {
	t.Helper()
	var ports []int
	for len(ports) < count {
		ln, err := net.Listen("tcp", ips[0]+":0")
		assert.NilError(t, err)
		port := ln.Addr().(*net.TCPAddr).Port
		t.Cleanup(func() { _ = ln.Close() })
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if free = free && err == nil; err == nil {
				_ = other.Close()
			}
		}
		if free {
			ports = append(ports, port)
		}
		defer func() { _ = ln.Close() }()
	}
	return ports
}

// eventually repeats f until it succeeds.
func eventually(t *testing.T, what string, f func(ctx context.Context) error) {
	t.Helper()
	var err error
	for begin := time.Now(); time.Since(begin) < answerTime; time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err = f(ctx)
		cancel()
		if err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// declare sends the configuration to the control VM, which also is an operator's ordinary request.
func (s *system) declare(t *testing.T) {
	t.Helper()
	document := fmt.Sprintf(documentFormat, headerBytes, bodyBytes)
	eventually(t, "the control VM accepts no configuration", func(ctx context.Context) error {
		status, err := standin.PutConfiguration(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, s.operatorAddress, document)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// callOrdinary sends ordinary calls to the entry VM until one is answered.
func (s *system) callOrdinary(t *testing.T) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	eventually(t, "the entry VM answers no ordinary call", func(ctx context.Context) error {
		n++
		request := standin.Request{Method: "POST", Path: standin.PathPay + "fare", ID: fmt.Sprintf("ordinary-%d-%d", time.Now().UnixNano(), n), Body: strings.Repeat("x", 1000)}
		r, err := request.HTTPRequest(s.callerAt)
		assert.NilError(t, err)
		resp, err := client.Do(r.WithContext(ctx))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// peak polls the descriptors of a process until it is stopped.
type peak struct {
	stop chan struct{}
	done sync.WaitGroup
	most int
}

func watchDescriptors(p *program) *peak {
	w := &peak{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			w.most = max(w.most, p.descriptors())
			select {
			case <-w.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	return w
}

func (w *peak) end() int {
	close(w.stop)
	w.done.Wait()
	return w.most
}
