package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that are the same on all VMs.
type ports struct{ control, peer, monitor, caller, ready int }

// system is one running deployment: keepers and entries as processes, and the platform beside them.
type system struct {
	folder   string
	ports    ports
	keepers  []*program
	entries  []*program
	platform *platform
	record   *record
}

// program is one process of the project.
type program struct {
	name, ip string
	args     []string
	folder   string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// freePorts returns ports that nothing listens on at any of the addresses.
func freePorts(ips []string) (ports, error) {
	var found []int
	for base := 21000 + os.Getpid()%8000; len(found) < 5 && base < 60000; base += 7 {
		if portIsFree(ips, base) {
			found = append(found, base)
		}
	}
	if len(found) < 5 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func portIsFree(ips []string, port int) bool {
	for _, ip := range ips {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close() // nothing was accepted
	}
	return true
}

// seedCount is the number of seeds.
const seedCount = 3

// startSystem starts the platform, three keepers and the entries.
func startSystem(folder string, entries int, rec *record) (*system, error) {
	s, err := newSystem(folder, seedCount, entries, rec)
	if err != nil {
		return nil, err
	}
	for _, p := range append(append([]*program{}, s.keepers...), s.entries...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// newSystem starts the platform and prepares the keepers, the first ones of which are the seeds, and the
// entries. The settings are those that the templates of the deploy folder give.
func newSystem(folder string, keepers, entries int, rec *record) (*system, error) {
	s := &system{folder: folder, record: rec, platform: newPlatform()}
	var all []string
	for i := range keepers {
		all = append(all, fmt.Sprintf("127.0.51.%d", i+1))
	}
	for i := range entries {
		all = append(all, fmt.Sprintf("127.0.52.%d", i+1))
	}
	var err error
	if s.ports, err = freePorts(all); err != nil {
		return nil, err
	}
	if err := s.platform.listen(); err != nil {
		return nil, err
	}
	seeds := s.addresses(0, 1, 2)
	for i := range keepers {
		if err := s.addKeeper(i, seeds); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		name, ip := fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("127.0.52.%d", i+1)
		settings := fmt.Sprintf("id: %s\navailability_zone: zone-%c\ncaller_address: %s:%d\nready_address: %s:%d\nmonitor_address: %s:%d\nplatform_address: %s\npeer_port: %d\nseeds: [%s]\nstop_grace: 8s\nretry: {ratio: 0.8, extra: 150, window: 10s}\n",
			name, 'a'+i%3, ip, s.ports.caller, ip, s.ports.ready, ip, s.ports.monitor, s.platform.address, s.ports.peer, strings.Join(seeds, ", "))
		p, err := s.program("chicory-entry", name, ip, settings)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, p)
	}
	return s, nil
}

// addKeeper prepares the keeper with the index.
func (s *system) addKeeper(index int, seeds []string) error {
	name, ip := fmt.Sprintf("control-%d", index+1), fmt.Sprintf("127.0.51.%d", index+1)
	settings := fmt.Sprintf("id: %s\noperator_address: %s:%d\nmonitor_address: %s:%d\nplatform_address: %s\npeer_port: %d\nseeds: [%s]\nmay_found: true\ndata_folder: %s\n",
		name, ip, s.ports.control, ip, s.ports.monitor, s.platform.address, s.ports.peer, strings.Join(seeds, ", "), filepath.Join(s.folder, name))
	p, err := s.program("chicory-keeper", name, ip, settings)
	s.keepers = append(s.keepers, p)
	return err
}

// addresses returns the operator addresses of keepers, as the settings have them.
func (s *system) addresses(keepers ...int) []string {
	var out []string
	for _, i := range keepers {
		out = append(out, fmt.Sprintf("%q", fmt.Sprintf("127.0.51.%d:%d", i+1, s.ports.control)))
	}
	return out
}

func (s *system) program(binary, name, ip, settings string) (*program, error) {
	path := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return &program{name: name, ip: ip, folder: s.folder, args: []string{filepath.Join("target", binary), "-settings", path}}, nil
}

// start starts the process.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the record tells whether the process answered
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // fails only after the process has ended
	}
}

// kill ends the process and waits for its end.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (s *system) caller(entry int) string {
	return fmt.Sprintf("%s:%d", s.entries[entry].ip, s.ports.caller)
}

func (s *system) control(keeper int) string {
	return fmt.Sprintf("%s:%d", s.keepers[keeper].ip, s.ports.control)
}

// stop ends all processes.
func (s *system) stop() {
	for _, p := range append(append([]*program{}, s.entries...), s.keepers...) {
		if p.cmd != nil {
			p.kill()
		}
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begin: time.Now()}, nil
}

// add writes a line with the time since the begin.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.begin).Seconds()) // close returns the error
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
