package soak

import (
	"io"
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

// stopGrace is the time from SIGTERM to SIGKILL; the settings of the entry VMs state
// it too.
const stopGrace = 8 * time.Second

// program is the program of one VM. Only its methods start, signal and wait for the
// process.
type program struct {
	id, path, settings string
	log                *os.File
	history            *history

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd  // nil while none is running
	exited  chan struct{}
	// stopping is set once the process was sent SIGTERM or SIGKILL.
	stopping bool
	// starts counts the processes that were started; killed holds the numbers of those
	// that were sent SIGKILL.
	starts int
	killed map[int]bool
	// closed prevents further starts.
	closed bool
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

// start starts a process unless one is running.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil || p.closed {
		return nil
	}
	logged, err := p.log.Seek(0, io.SeekCurrent)
	if err != nil {
		return errors.Annotatef(err, "log of program %q", p.id)
	}
	cmd := exec.Command(p.path, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "program %q", p.id)
	}
	p.starts++
	p.process, p.stopping, p.exited = cmd, false, make(chan struct{})
	go p.waitExit(cmd, p.starts, logged, p.exited)
	return nil
}

// waitExit waits for the process, whose log begins at the offset logged, and reports an unexpected exit or an
// exit with an error.
func (p *program) waitExit(cmd *exec.Cmd, start int, logged int64, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.stopping:
		p.history.addViolation("%s exited unexpectedly: %v", p.id, err)
	case err != nil && !p.killed[start] && !(endedBySIGTERM(cmd) && !p.logsSince(logged)):
		p.history.addViolation("%s exited with an error: %v", p.id, err)
	}
	p.process = nil
	close(exited)
}

// endedBySIGTERM reports whether the signal itself has ended a process.
func endedBySIGTERM(cmd *exec.Cmd) bool {
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// logsSince reports whether the program has logged anything since an offset of its log. One that has not
// can't handle signals yet, and has nothing to drain.
func (p *program) logsSince(offset int64) bool {
	info, err := p.log.Stat()
	return err != nil || info.Size() > offset
}

// signal sends a signal to the running process, if any, and returns a channel that is
// closed when the process has exited.
func (p *program) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		gone := make(chan struct{})
		close(gone)
		return gone
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping = true
	}
	if s == syscall.SIGKILL {
		p.killed[p.starts] = true
	}
	_ = p.process.Process.Signal(s) // fails only if the process has exited already
	return p.exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *program) kill() { <-p.signal(syscall.SIGKILL) }

// stop sends SIGTERM, waits and returns the time of the exit. If the process takes
// longer than stopGrace it is killed, which is a violation unless the process was
// paused meanwhile.
func (p *program) stop() time.Time {
	gone := p.signal(syscall.SIGTERM)
	begin := time.Now()
	select {
	case <-gone:
	case <-time.After(stopGrace + timingTolerance):
		p.history.mu.Lock()
		if p.history.faultFree(begin, time.Now(), func(f *fault) bool { return f.subject == p.id && f.kind == faultPause }) {
			p.history.addViolationLocked("%s was still running %v after SIGTERM", p.id, stopGrace)
		}
		p.history.mu.Unlock()
		p.kill()
	}
	return time.Now()
}

// currentStart returns the number of the running process, or 0 if none is running.
func (p *program) currentStart() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return 0
	}
	return p.starts
}

// pid returns the ID of the running process, or 0 if none is running.
func (p *program) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return 0
	}
	return p.process.Process.Pid
}

// close kills the process and prevents further starts.
func (p *program) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
	_ = p.log.Close()
}
