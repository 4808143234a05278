package soak

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// linkState is the fault that a proxy applies to its connections; the zero value is
// none.
type linkState struct {
	// delay is how long each chunk of bytes is delayed.
	delay time.Duration
	// holdInbound and holdOutbound hold bytes back in one direction until the state
	// changes, as a network partition does.
	holdInbound, holdOutbound bool
	// refuse resets each new connection.
	refuse bool
	// cuts apply only to the connections of some programs.
	cuts cuts
}

// proxy forwards connections from one address to another and injects network faults
// into them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the fields below
	state   linkState
	changed chan struct{} // closed when state changes
	conns   map[*proxyConn]bool
	// owner returns the program that opened a connection to the proxy; nil if no cut is
	// ever set.
	owner func(caller *net.TCPConn) *program
	// onReset is called when the proxy resets a connection of a program; nil means no call.
	onReset func(owner *program)
	// onHold is called with bytes for the target that the link holds back; nil means no call.
	onHold func(bytes []byte)
}

// proxyConn is one forwarded connection.
type proxyConn struct {
	caller, target *net.TCPConn
	owner          *program
	closed         chan struct{}
	once           sync.Once
}

// startProxy listens on address and forwards connections to target.
func startProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "proxy")
	}
	p := &proxy{listener: ln, target: target, changed: make(chan struct{}), conns: map[*proxyConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.forward(caller.(*net.TCPConn))
	}
}

// setState replaces the state of the link except for its cuts.
func (p *proxy) setState(e linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.cuts = p.state.cuts
	p.replaceLocked(e)
}

// addCut adds a cut to the link. The returned function ends it.
func (p *proxy) addCut(c *cut) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaceCutsLocked(append(slices.Clone(p.state.cuts), c))
	for pc := range p.conns {
		if c.resets(pc.owner) {
			p.resetLocked(pc)
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.replaceCutsLocked(slices.DeleteFunc(slices.Clone(p.state.cuts), func(x *cut) bool { return x == c }))
	}
}

// replaceCutsLocked replaces the cuts of the link. The caller holds mu.
func (p *proxy) replaceCutsLocked(l cuts) {
	e := p.state
	e.cuts = l
	p.replaceLocked(e)
}

// setOwner sets the function that finds the owners of connections, and the one that is called with them
// when the proxy resets their connections.
func (p *proxy) setOwner(owner func(caller *net.TCPConn) *program, onReset func(owner *program)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner, p.onReset = owner, onReset
}

// setOnHold sets the function that is called with bytes for the target that the link holds back.
func (p *proxy) setOnHold(onHold func(bytes []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onHold = onHold
}

// reportIfHeld reports bytes for the target that the link holds back now.
func (p *proxy) reportIfHeld(bytes []byte, held func(e linkState) bool) {
	p.mu.Lock()
	state, onHold := p.state, p.onHold
	p.mu.Unlock()
	if onHold != nil && held(state) {
		onHold(bytes)
	}
}

// replaceLocked replaces the state. The caller holds mu.
func (p *proxy) replaceLocked(e linkState) {
	p.state = e
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) currentState() (linkState, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		p.resetLocked(pc)
	}
}

// resetLocked resets a connection. The caller holds mu.
func (p *proxy) resetLocked(pc *proxyConn) {
	p.reportLocked(pc.owner)
	pc.close(true)
}

// reportLocked reports that a connection of owner, if that is known, is reset. The caller holds mu.
func (p *proxy) reportLocked(owner *program) {
	if p.onReset != nil && owner != nil {
		p.onReset(owner)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) forward(caller *net.TCPConn) {
	const dialTimeout = time.Second
	owner := p.ownerOf(caller)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.reportLocked(owner)
		p.mu.Unlock()
		_ = caller.SetLinger(0) // discards unsent bytes, so that the caller sees a reset
		_ = caller.Close()
		return
	}
	pc := &proxyConn{caller: caller, target: target.(*net.TCPConn), owner: owner, closed: make(chan struct{})}
	if !p.add(pc) {
		pc.close(true)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() {
		p.relay(pc, direction{pc.caller, pc.target, true, func(e linkState) bool { return e.holdInbound || e.cuts.hold(owner) }})
	})
	directions.Go(func() {
		p.relay(pc, direction{pc.target, pc.caller, false, func(e linkState) bool { return e.holdOutbound || e.cuts.hold(owner) }})
	})
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
}

func (p *proxy) ownerOf(caller *net.TCPConn) *program {
	p.mu.Lock()
	owner := p.owner
	p.mu.Unlock()
	if owner == nil {
		return nil
	}
	return owner(caller)
}

// add adds an open connection. It returns false if the state refuses the connection.
func (p *proxy) add(pc *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.refuse || p.state.cuts.refuse(pc.owner) {
		p.reportLocked(pc.owner)
		return false
	}
	p.conns[pc] = true
	return true
}

// isReset reports whether the peer has reset a connection that is being read.
func isReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed
	}
	var pending int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		pending, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return err != nil || optionErr != nil || pending == int(syscall.ECONNRESET)
}

// direction is one direction of a connection. held reports whether a state of the link holds its bytes back.
type direction struct {
	from, to *net.TCPConn
	toTarget bool
	held     func(e linkState) bool
}

// relay forwards bytes in one direction. When one side ends, both connections are
// closed. Bytes for the target are lost if the connection was reset while they were held or delayed, as
// are those that a kernel would have sent again.
func (p *proxy) relay(pc *proxyConn, d direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 && d.toTarget {
			p.reportIfHeld(buffer[:n], d.held)
		}
		if !p.waitWhileHeld(pc, d.held) {
			return
		}
		if n > 0 {
			if d.toTarget && isReset(d.from) {
				pc.close(true)
				return
			}
			if _, err := d.to.Write(buffer[:n]); err != nil {
				pc.close(true)
				return
			}
		}
		if err != nil {
			pc.close(errors.Is(err, syscall.ECONNRESET))
			return
		}
	}
}

// waitWhileHeld waits while the state holds bytes back, and for its delay. It reports
// false if the connection was closed meanwhile.
func (p *proxy) waitWhileHeld(pc *proxyConn, held func(e linkState) bool) bool {
	for {
		e, changed := p.currentState()
		if !held(e) {
			return pc.delay(e.delay)
		}
		select {
		case <-changed:
		case <-pc.closed:
			return false
		}
	}
}

func (pc *proxyConn) delay(d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-pc.closed:
		return false
	}
}

// close closes both connections, with a TCP reset if reset is set.
func (pc *proxyConn) close(reset bool) {
	pc.once.Do(func() {
		close(pc.closed)
		for _, c := range []*net.TCPConn{pc.caller, pc.target} {
			if reset {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}
