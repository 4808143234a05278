package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same at the loopback address of each machine.
const (
	portFront   = 8740
	portList    = 8742
	portControl = 8748
	portReady   = 8749
	portPeers   = 7200
	portMetrics = 9180
	portServer  = 8080
)

// readyPath is the path of GET /readyz according to deploy/wire.toml.
const readyPath = "/ready"

// Groups of loopback addresses, which are 127.network.group.number.
const (
	groupCore = iota + 1
	groupEdge
	groupServer
	groupPlatform
)

const (
	// startLimit is the time in which all programs must be ready.
	startLimit = 20 * time.Second
	// operatorLimit is the time in which an order must be acknowledged, ack_ms of the sheets.
	operatorLimit = 4 * time.Second
)

// service is a service of a deployment with its servers.
type service struct {
	name string
	// slots and queue are the numbers of requests that a server runs and keeps waiting.
	slots, queue int
	work         time.Duration
	servers      int
}

// deployment is the size of a deployment.
type deployment struct {
	core, edge int
	services   []service
	// retryExtra is retry_budget_extra of the sheets.
	retryExtra int
}

var zones = []string{"za", "zb", "zc"}

// bed is a running deployment with its stand-ins.
type bed struct {
	rec     *record
	network int
	folder  string

	list    *list
	servers map[string][]*server // by service
	edges   []string             // front addresses
	controls,
	readies []string

	mu       sync.Mutex // guards programs
	programs []*exec.Cmd
	logs     []*os.File
}

// newBed starts the stand-ins and the programs and waits until the core answers.
func newBed(d deployment, rec *record) (*bed, error) {
	b := &bed{rec: rec, servers: map[string][]*server{}}
	var err error
	if b.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := b.start(d); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bed) start(d deployment) error {
	if err := b.findNetwork(); err != nil {
		return err
	}
	number := 0
	for _, s := range d.services {
		for i := range s.servers {
			number++
			x, err := startServer(b.rec, s, fmt.Sprintf("i-%s-%d", s.name, i+1), zones[i%len(zones)], b.address(groupServer, number, portServer))
			if err != nil {
				return err
			}
			b.servers[s.name] = append(b.servers[s.name], x)
			b.list.set(x.entry("ready"))
		}
	}
	for i := range d.core {
		b.controls = append(b.controls, b.address(groupCore, i+1, portControl))
	}
	for i := range d.core {
		if err := b.startProgram(b.coreSettings(i), fmt.Sprintf("core-%d", i+1), "target/chicory-keeper"); err != nil {
			return err
		}
	}
	for i := range d.edge {
		b.edges = append(b.edges, b.address(groupEdge, i+1, portFront))
		b.readies = append(b.readies, b.address(groupEdge, i+1, portReady))
		if err := b.startProgram(b.edgeSettings(i, d), fmt.Sprintf("edge-%d", i+1), "target/chicory-entry"); err != nil {
			return err
		}
	}
	return nil
}

// findNetwork serves the platform's list on the first loopback network that is free.
func (b *bed) findNetwork() error {
	var err error
	for b.network = 60; b.network < 250; b.network++ {
		if b.list, err = serveList(b.address(groupPlatform, 1, portList)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no free loopback network: %w", err)
}

func (b *bed) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.network, group, number)
}

func (b *bed) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", b.ip(group, number), port)
}

// coreSettings fills in deploy/keeper.yaml.
func (b *bed) coreSettings(i int) string {
	ip := b.ip(groupCore, i+1)
	return fmt.Sprintf(`id: "core-%d"
operator_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
seeds: %s
may_found: true
data_folder: %q
`, i+1, ip, portControl, ip, portMetrics, b.address(groupPlatform, 1, portList), portPeers, b.seeds(),
		filepath.Join(b.folder, fmt.Sprintf("disk-%d", i+1)))
}

// edgeSettings fills in deploy/entry.yaml.
func (b *bed) edgeSettings(i int, d deployment) string {
	ip := b.ip(groupEdge, i+1)
	return fmt.Sprintf(`id: "edge-%d"
availability_zone: %q
caller_address: "%s:%d"
ready_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
seeds: %s
stop_grace: 8s
retry:
  ratio: 0.8
  extra: %d
  window: 10s
`, i+1, zones[i%len(zones)], ip, portFront, ip, portReady, ip, portMetrics,
		b.address(groupPlatform, 1, portList), portPeers, b.seeds(), d.retryExtra)
}

// seeds returns the control addresses of three core machines as a YAML list.
func (b *bed) seeds() string {
	return `["` + strings.Join(b.controls[:3], `", "`) + `"]`
}

// startProgram starts a program of the project. It must not end before the bed is closed.
func (b *bed) startProgram(settings, id, program string) error {
	file := filepath.Join(b.folder, id+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.folder, id+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logs = append(b.logs, log)
	if err := cmd.Start(); err != nil {
		return err
	}
	b.programs = append(b.programs, cmd)
	b.rec.note("start %s: %s -settings %s.yaml", id, program, id)
	return nil
}

// close ends all processes that were started.
func (b *bed) close() {
	b.mu.Lock()
	programs := b.programs
	b.mu.Unlock()
	for _, p := range programs {
		_ = p.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	}
	for _, p := range programs {
		_ = p.Wait() // the status is that of the kill
	}
	for _, l := range b.logs {
		_ = l.Close()
	}
	for _, list := range b.servers {
		for _, s := range list {
			s.stop()
		}
	}
	if b.list != nil {
		b.list.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		fmt.Println("logs:", b.folder)
	}
}

var plain = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// putConfig sends a configuration to one core machine after the other until it is acknowledged.
func (b *bed) putConfig(document string, limit time.Duration) error {
	var last error
	for begin, i := time.Now(), 0; time.Since(begin) < limit; i++ {
		req, err := http.NewRequest(http.MethodPut, "http://"+b.controls[i%len(b.controls)]+"/config", strings.NewReader(document))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := plain.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				b.rec.note("operator: configuration acknowledged by %s", b.controls[i%len(b.controls)])
				return nil
			}
			err = errors.New(resp.Status)
		}
		last = err
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %w", last)
}

// awaitReady waits until all edge machines report that they are ready.
func (b *bed) awaitReady() error {
	for begin := time.Now(); time.Since(begin) < startLimit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range b.readies {
			if resp, err := plain.Get("http://" + address + readyPath); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(b.readies) {
			return nil
		}
	}
	return errors.New("the edge machines are not ready")
}
