package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is one process of chicory-entry or chicory-keeper.
type program struct {
	id       string
	command  []string
	log      string
	files    int // the limit of descriptors; 0 leaves that of this process
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool
}

// start starts the process with its settings.
func (p *program) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(p.command[0], p.command[1:]...)
	if p.files > 0 {
		// The platform limits the descriptors of a process.
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.files))
		cmd.Args = append(cmd.Args, p.command...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopping = cmd, exited, false
	go func() {
		_ = cmd.Wait() // the exit is seen by the closed channel
		close(exited)
	}()
	return nil
}

// running reports whether the process has not ended.
func (p *program) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (p *program) signal(s syscall.Signal) {
	if p.cmd != nil && p.running() {
		_ = p.cmd.Process.Signal(s) // fails only if it has just ended
	}
}

// kill ends the process and waits for it.
func (p *program) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// descriptors returns the number of open descriptors, 0 if it can't be read.
func (p *program) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// deployment is the system's own processes of one small deployment.
type deployment struct {
	network  string // the first two numbers of all addresses
	folder   string
	programs string
	keepers  []*program
	entries  []*program
}

// Memory of the sites' machines, in MB.
const (
	memoryCore    = 256 // of the smaller machines
	memoryCeleste = 284
	memoryGrown   = 184
)

// clientsShare is what a process lets its clients use: a quarter of the machine's memory. It is set, since the
// process would read the memory of the machine that plays the case.
func clientsShare(memory int) int { return memory << 20 / 4 }

// Ports, the same on all machines.
const (
	portCallers  = 8740
	portReady    = 8749
	portControl  = 8748
	portPeers    = 7200
	portMetrics  = 9180
	portPlatform = 8742
	portReplica  = 8080
)

func (d *deployment) keeperIP(n int) string { return fmt.Sprintf("%s.1.%d", d.network, n+1) }
func (d *deployment) entryIP(n int) string  { return fmt.Sprintf("%s.2.%d", d.network, n+1) }
func (d *deployment) platform() string      { return fmt.Sprintf("%s.4.1:%d", d.network, portPlatform) }

// dataFolder is the disk of a control machine.
func (d *deployment) dataFolder(id string) string { return filepath.Join(d.folder, id) }

// seeds returns the addresses of three control machines.
func (d *deployment) seeds(first int) string {
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.keeperIP(first+n), portControl)))
	}
	return "[" + strings.Join(seeds, ",") + "]"
}

// addKeeper prepares a control machine.
func (d *deployment) addKeeper(bootstrap bool) *program {
	n := len(d.keepers)
	id, ip := fmt.Sprintf("core-%d", n+1), d.keeperIP(n)
	settings := fmt.Sprintf(`id: %q
operator_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
seeds: %s
may_found: %t
data_folder: %q
clients: {memory_bytes: %d}
`, id, ip, portControl, ip, portMetrics, d.platform(), portPeers, d.seeds(0), bootstrap, d.dataFolder(id), clientsShare(memoryCore))
	p := d.newProgram(id, "chicory-keeper", settings)
	d.keepers = append(d.keepers, p)
	return p
}

// addEntry prepares an entry machine with a limit of descriptors and the memory in MB that it has.
func (d *deployment) addEntry(files, memory int) *program {
	n := len(d.entries)
	id, ip := fmt.Sprintf("edge-%d", n+1), d.entryIP(n)
	settings := fmt.Sprintf(`id: %q
availability_zone: "zone-a"
caller_address: "%s:%d"
ready_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
seeds: %s
stop_grace: 8s
retry:
  ratio: 0.8
  extra: 150
  window: 10s
clients: {memory_bytes: %d}
`, id, ip, portCallers, ip, portReady, ip, portMetrics, d.platform(), portPeers, d.seeds(0), clientsShare(memory))
	p := d.newProgram(id, "chicory-entry", settings)
	p.files = files
	d.entries = append(d.entries, p)
	return p
}

func (d *deployment) newProgram(id, name, settings string) *program {
	file := filepath.Join(d.folder, id+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		panic(err) // the temporary folder can't be written
	}
	return &program{
		id: id, command: []string{filepath.Join(d.programs, name), "-settings", file},
		log: filepath.Join(d.folder, id+".log"),
	}
}

// start starts all processes.
func (d *deployment) start() error {
	for _, p := range append(d.keepers, d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, p := range append(d.keepers, d.entries...) {
		p.kill()
	}
}

// waitUntil calls f until it returns true or the time is over.
func waitUntil(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
