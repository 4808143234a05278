package intake

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// connectionCost is the memory of a connection that does nothing: two buffers of 4 KiB, the stack
	// of its goroutine and the state of net/http.
	connectionCost = 16 << 10
	// acceptWait is how long a new connection waits until another one has been closed for it.
	acceptWait = 100 * time.Millisecond
	// logInterval is the least time between two lines about refused clients.
	logInterval = time.Second
)

// Shares of the budget. Each use has a part of its own, so that clients that exhaust one leave the
// others.
const (
	connectionShare = 0.35
	headShare       = 0.2
	bodyShare       = 0.45
)

// Limits bound the clients of one server.
type Limits struct {
	// Name is the server's name in log lines and metrics.
	Name string
	// Connections is the number of connections; 0 means DefaultConnections.
	Connections int
	// HeadBytes returns the size that the head of a request may have.
	HeadBytes func() int
	// HeadLines is the number of lines of a head, and EmptyLines of those before it; 0 means no limit
	// of its own.
	HeadLines, EmptyLines int
	// Opaque: the bytes are encrypted, so that only the connections are bounded.
	Opaque bool
	// HTTP2: connections may be those of plaintext HTTP/2, whose heads are bounded by net/http.
	HTTP2 bool
}

// Listener accepts connections within limits.
type Listener struct {
	net.Listener
	limits      Limits
	budget      *Budget
	connections *Use
	heads       *Use
	open        metrics.Gauge

	mu    sync.Mutex // guards the fields below
	conns map[*Conn]bool
	// closed is closed and replaced when a connection is closed.
	closed   chan struct{}
	refused  int // since the last log line
	loggedAt time.Time
}

// Listen returns a listener whose connections keep to the limits and the budget. The hook of the HTTP
// server must be or call Track.
func Listen(ln net.Listener, limits Limits, budget *Budget) *Listener {
	if limits.Connections <= 0 {
		limits.Connections = DefaultConnections()
	}
	return &Listener{
		Listener: ln, limits: limits, budget: budget,
		connections: budget.Use("connections", connectionShare),
		heads:       budget.Use("heads", headShare),
		open:        metrics.GetOrRegisterGauge("clients.connections."+limits.Name, budget.registry),
		conns:       map[*Conn]bool{}, closed: make(chan struct{}),
	}
}

// Bodies returns the use of bodies of a budget.
func Bodies(b *Budget) *Use { return b.Use("bodies", bodyShare) }

// Accept implements net.Listener. It closes connections that do nothing if there are too many, or
// refuses the new one if there are none.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.report(reasonConnections)
		_ = raw.SetWriteDeadline(time.Now().Add(refusalWriteTime))
		_, _ = raw.Write(refusalOf(reasonConnections)) // the client may have left
		_ = raw.Close()
	}
}

// admit returns the connection if there is room for it, or nil.
func (l *Listener) admit(raw net.Conn) *Conn {
	timer, ticks := time.NewTimer(acceptWait), time.NewTicker(checkInterval)
	defer timer.Stop()
	defer ticks.Stop()
	for {
		c, closed := l.tryAdmit(raw)
		if c != nil {
			return c
		}
		now := time.Now()
		if victim := l.selectVictim(now); victim != nil {
			victim.giveUpIdle(now)
		}
		select {
		case <-closed:
		case <-ticks.C: // a refused connection may be closed now
		case <-timer.C:
			return nil
		}
	}
}

func (l *Listener) tryAdmit(raw net.Conn) (c *Conn, closed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Connections || !l.connections.TryReserve(connectionCost) {
		return nil, l.closed
	}
	c = &Conn{Conn: raw, listener: l, since: time.Now(), isOpaque: l.limits.Opaque}
	l.conns[c] = true
	l.open.Update(int64(len(l.conns)))
	return c, nil
}

// remove is called once for each connection that was admitted.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.connections.Release(connectionCost)
	l.open.Update(int64(len(l.conns)))
	close(l.closed)
	l.closed = make(chan struct{})
}

// selectVictim returns the connection to close for a new one: one whose refusal is already written,
// else the one that has been without progress for longest; nil if all are served.
func (l *Listener) selectVictim(now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Conn
	var victimRank rank
	for c := range l.conns {
		if r := c.rank(now); r.class > served && (victim == nil || r.isBefore(victimRank)) {
			victim, victimRank = c, r
		}
	}
	return victim
}

// report counts a refusal and writes a log line if the last one is old enough.
func (l *Listener) report(r reason) {
	metrics.GetOrRegisterCounter("clients.refused."+string(r), l.budget.registry).Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	if time.Since(l.loggedAt) < logInterval || l.budget.logger == nil {
		return
	}
	l.budget.logger.Warn(logging.ClientsRefused, logging.Fields{
		"port": l.limits.Name, "reason": string(r), "refused": l.refused, "connections": len(l.conns), "memory_reserved": l.budget.Reserved(),
	})
	l.refused, l.loggedAt = 0, time.Now()
}

// rank orders connections by what closing them costs.
type rank struct {
	class rankClass
	since time.Time
}

type rankClass int

// The classes, from those that are kept to those that are closed first.
const (
	// served: a request is being served or received.
	served rankClass = iota
	// beginning: the head of a request is being received, since less than stallTime.
	beginning
	// idle: the connection is between two requests.
	idle
	// stalled: a request is unfinished, and nothing has arrived for stallTime.
	stalled
	// refused: a refusal was written, and the client has not closed the connection.
	refused
)

func (r rank) isBefore(o rank) bool {
	if r.class != o.class {
		return r.class > o.class
	}
	return r.since.Before(o.since)
}

// errClosed is the error of reads of connections that were given up.
func errClosed() error { return &net.OpError{Op: "read", Net: "tcp", Err: errors.Trace(ErrNoRoom)} }
