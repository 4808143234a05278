package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Names of the programs.
const (
	keeperProgram = "chicory-keeper"
	entryProgram  = "chicory-entry"
)

// stopGrace is the time between SIGTERM and SIGKILL, as settings state it.
const stopGrace = 8 * time.Second

// program is one VM's program. Its process is started, signalled and awaited here
// and nowhere else.
type program struct {
	id, path, settings string
	log                *os.File
	history            *history

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd  // nil while none runs
	exited  chan struct{}
	// told is set once the process was told to end.
	told bool
	// starts counts processes; killed has the numbers of those that got SIGKILL.
	starts int
	killed map[int]bool
	// over ends all starts.
	over bool
}

func newProgram(folder, id, path, settings string, h *history) (*program, error) {
	file := filepath.Join(folder, id+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	log, err := os.Create(filepath.Join(folder, id+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &program{id: id, path: path, settings: file, log: log, history: h, killed: map[int]bool{}}, nil
}

// start starts a process if none runs.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil || p.over {
		return nil
	}
	cmd := exec.Command(p.path, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "program %q", p.id)
	}
	p.starts++
	p.process, p.told, p.exited = cmd, false, make(chan struct{})
	go p.await(cmd, p.starts, p.exited)
	return nil
}

// await notes a process that ends by itself, or badly.
func (p *program) await(cmd *exec.Cmd, start int, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.told:
		p.history.note("%s ended by itself: %v", p.id, err)
	case err != nil && !p.killed[start]:
		p.history.note("%s did not end in order: %v", p.id, err)
	}
	p.process = nil
	close(exited)
}

// signal sends a signal to the running process, if there is one, and returns a channel
// that closes when it is gone.
func (p *program) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		gone := make(chan struct{})
		close(gone)
		return gone
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.told = true
	}
	if s == syscall.SIGKILL {
		p.killed[p.starts] = true
	}
	_ = p.process.Process.Signal(s) // fails only if it is gone already
	return p.exited
}

// kill ends the process at once and waits for that.
func (p *program) kill() { <-p.signal(syscall.SIGKILL) }

// stop ends the process in order and reports when it was gone. One that takes longer
// than its grace is a finding, unless it was frozen meanwhile, and is killed.
func (p *program) stop() time.Time {
	gone := p.signal(syscall.SIGTERM)
	begin := time.Now()
	select {
	case <-gone:
	case <-time.After(stopGrace + measureSlack):
		p.history.mu.Lock()
		if p.history.calm(begin, time.Now(), func(t *trouble) bool { return t.subject == p.id && t.kind == troublePause }) {
			p.history.find("%s still runs %v after it was told to stop", p.id, stopGrace)
		}
		p.history.mu.Unlock()
		p.kill()
	}
	return time.Now()
}

// current returns the number of the running start, 0 if none runs.
func (p *program) current() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return 0
	}
	return p.starts
}

// end kills the process for good.
func (p *program) end() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	p.kill()
	_ = p.log.Close()
}
