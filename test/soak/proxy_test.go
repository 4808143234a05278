package soak

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// effect is what a proxy does to connections.
type effect struct {
	// delay holds each piece of bytes back for that long.
	delay time.Duration
	// holdForth and holdBack keep bytes back in one direction until the effect ends, as
	// a cut link does.
	holdForth, holdBack bool
	// refuse resets each new connection.
	refuse bool
}

// proxy passes connections on from one address to another and harms them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the fields below
	effect  effect
	changed chan struct{} // closed when effect changes
	pairs   map[*pair]bool
}

// pair is one connection that is passed on.
type pair struct {
	caller, target *net.TCPConn
	closed         chan struct{}
	once           sync.Once
}

// startProxy listens on address and passes connections on to target.
func startProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "proxy")
	}
	p := &proxy{listener: ln, target: target, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.pass(caller.(*net.TCPConn))
	}
}

// set puts an effect in force.
func (p *proxy) set(e effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.effect = e
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) current() (effect, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effect, p.changed
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		x.close(true)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) pass(caller *net.TCPConn) {
	const dialTimeout = time.Second
	e, _ := p.current()
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || e.refuse {
		_ = caller.SetLinger(0) // what is unsent is dropped: the caller sees a reset
		_ = caller.Close()
		if err == nil {
			_ = target.Close()
		}
		return
	}
	x := &pair{caller: caller, target: target.(*net.TCPConn), closed: make(chan struct{})}
	p.mu.Lock()
	p.pairs[x] = true
	p.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { p.copy(x, x.caller, x.target, func(e effect) bool { return e.holdForth }) })
	ways.Go(func() { p.copy(x, x.target, x.caller, func(e effect) bool { return e.holdBack }) })
	ways.Wait()
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}

// copy passes bytes on in one direction. A connection that ends ends both.
func (p *proxy) copy(x *pair, from, to *net.TCPConn, held func(e effect) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.hold(x, held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				x.close(true)
				return
			}
		}
		if err != nil {
			x.close(errors.Is(err, syscall.ECONNRESET))
			return
		}
	}
}

// hold waits while the effect holds bytes back. It reports false if the connection was
// closed meanwhile.
func (p *proxy) hold(x *pair, held func(e effect) bool) bool {
	for {
		e, changed := p.current()
		if !held(e) {
			return x.wait(e.delay)
		}
		select {
		case <-changed:
		case <-x.closed:
			return false
		}
	}
}

func (x *pair) wait(d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-x.closed:
		return false
	}
}

// close ends both connections, with a reset if hard.
func (x *pair) close(hard bool) {
	x.once.Do(func() {
		close(x.closed)
		for _, c := range []*net.TCPConn{x.caller, x.target} {
			if hard {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}
