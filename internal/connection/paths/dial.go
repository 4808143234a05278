package paths

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Reach is what is known about a target that this VM could not connect to.
type Reach string

const (
	// ReachDirect: this VM reaches the target.
	ReachDirect Reach = "direct"
	// ReachRelayed: another entry VM reaches the target, this VM doesn't.
	ReachRelayed Reach = "relayed"
	// ReachNone: neither this VM nor another one that was asked reaches the target.
	ReachNone Reach = "none"
	// ReachUnknown: this VM doesn't reach the target, and no other entry VM has said whether it
	// does.
	ReachUnknown Reach = "unknown"
)

// DialError states that no connection to a target could be opened, and what is known about the
// target.
type DialError struct {
	Target string
	Reach  Reach
	// Isolated: this VM is cut off, and no other entry VM helps.
	Isolated bool
	Err      error
}

// Error returns the target, what is known about it, and the cause.
func (e *DialError) Error() string {
	return "connect to target " + e.Target + " (reach " + string(e.Reach) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// errNoHelper means that there is no entry VM to ask.
const errNoHelper = errors.ConstError("no other entry VM can be asked")

// errRecentlyUnreachable means that other entry VMs were asked a moment ago and could not connect.
const errRecentlyUnreachable = errors.ConstError("no entry VM could connect a moment ago")

// errIsolated means that this VM is cut off and that other entry VMs are asked in the background.
const errIsolated = errors.ConstError("this VM reaches neither targets nor other entry VMs")

// errSlowConnect means that another entry VM has connected long before this one.
const errSlowConnect = errors.ConstError("no direct connection, while another entry VM has one")

// Dial opens a connection to the target at address, directly or through another entry VM. The
// error is a *DialError unless ctx ended.
func (t *Table) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	p := t.path(address)
	if t.isBroken(p) {
		if t.isIsolated() {
			return nil, &DialError{Target: address, Reach: ReachUnknown, Isolated: true, Err: errIsolated}
		}
		c, err := t.dialRelayed(ctx, p)
		if err == nil || ctx.Err() != nil {
			return c, err
		}
		if !isHelperError(err) || isClosedTarget(err) {
			return nil, t.dialError(p, err, err)
		}
		// No other entry VM helps: the path may work again.
	}
	return t.race(ctx, p)
}

// DialForPeer opens a direct connection for another entry VM. It fails at once with the kind
// NotReady if this VM has no path to the target itself.
func (t *Table) DialForPeer(ctx context.Context, network, address string) (net.Conn, error) {
	if t.isBroken(t.path(address)) {
		return nil, fault.New(fault.NotReady, "this VM has no path to target %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.Settings.ProbeTimeout)
	defer cancel()
	return t.opts.Dial(ctx, network, address)
}

type dialResult struct {
	conn net.Conn
	err  error
}

// race opens a direct connection. If that fails or takes long, it also asks another entry VM.
func (t *Table) race(ctx context.Context, p *path) (net.Conn, error) {
	direct := t.startDirect(p)
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	var relayed chan dialResult
	askHelper := func() {
		if relayed == nil {
			relayed = t.startRelayed(relayCtx, p)
		}
	}
	delay := time.NewTimer(t.opts.Settings.RelayDelay)
	defer delay.Stop()
	var directErr, relayErr error
	for directErr == nil || relayErr == nil {
		select {
		case r := <-direct:
			if r.err == nil {
				closeLater(relayed)
				return newDirectConn(r.conn, p), nil
			}
			directErr = r.err
			askHelper()
		case <-delay.C:
			askHelper()
		case r := <-relayed:
			if r.err != nil {
				relayErr = r.err
				break
			}
			t.judgeDirect(p, direct, directErr)
			return r.conn, nil
		case <-ctx.Done():
			if directErr == nil {
				closeLater(direct)
			}
			closeLater(relayed)
			return nil, ctx.Err()
		}
	}
	return nil, t.dialError(p, directErr, relayErr)
}

// startDirect dials directly. The dial outlives the request, since its result tells whether the
// path works.
func (t *Table) startDirect(p *path) chan dialResult {
	result := make(chan dialResult, 1)
	go func() {
		c, err := t.dialDirect(p, t.opts.Settings.DialTimeout)
		result <- dialResult{c, err}
	}()
	return result
}

// startRelayed asks another entry VM to connect, unless several could not a moment ago.
func (t *Table) startRelayed(ctx context.Context, p *path) chan dialResult {
	result := make(chan dialResult, 1)
	if time.Now().Before(p.unreachableUntil.Load()) {
		result <- dialResult{err: errRecentlyUnreachable}
		return result
	}
	go func() {
		c, err := t.dialRelayed(ctx, p)
		result <- dialResult{c, err}
	}()
	return result
}

// judgeDirect records whether the path is broken, now that another entry VM reaches the target.
func (t *Table) judgeDirect(p *path, direct chan dialResult, directErr error) {
	if directErr != nil {
		t.markBroken(p, connected, directErr)
		return
	}
	go func() {
		late := time.NewTimer(t.opts.Settings.RelayDelay)
		defer late.Stop()
		select {
		case <-late.C:
			t.markBroken(p, connected, errSlowConnect)
			closeLater(direct)
		case r := <-direct:
			if r.err != nil {
				t.markBroken(p, connected, r.err)
				return
			}
			_ = r.conn.Close() // nothing was written
		}
	}()
}

// closeLater closes the connection of a dial that is not needed any more.
func closeLater(pending chan dialResult) {
	if pending == nil {
		return
	}
	go func() {
		if r := <-pending; r.err == nil {
			_ = r.conn.Close() // nothing was written
		}
	}()
}

// dialError returns the error for a target that could not be connected to.
func (t *Table) dialError(p *path, directErr, relayErr error) error {
	e := &DialError{Target: p.address, Reach: ReachNone, Err: directErr}
	switch {
	case errors.Is(relayErr, errRecentlyUnreachable):
	case isClosedTarget(relayErr):
		e.Reach = ReachUnknown // this VM may reach other targets through the one that refused
	case isHelperError(relayErr):
		t.markUnknown(p, connected, directErr, relayErr)
		e.Reach, e.Isolated = ReachUnknown, t.IsCutOff()
	default:
		p.unreachableUntil.Store(time.Now().Add(t.opts.Settings.UnreachableTime))
	}
	return e
}
