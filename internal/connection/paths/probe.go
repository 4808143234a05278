package paths

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/abort"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/relay"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// progress is how far a probe of a target got.
type progress int

const (
	// unconnected: there was no connection.
	unconnected progress = iota
	// connected: there was a connection, which stayed open, and no answer.
	connected
	// answered: the target sent a byte.
	answered
)

// errNoAnswer means that a target accepted a connection and sent nothing.
const errNoAnswer = errors.ConstError("no answer to a probe")

type probeResult struct {
	reached progress
	err     error
}

func startProbe(probe func() (progress, error)) chan probeResult {
	result := make(chan probeResult, 1)
	go func() {
		reached, err := probe()
		result <- probeResult{reached, err}
	}()
	return result
}

// probeDirect probes a target over a direct connection. request is nil if it may only be connected
// to.
func (t *Table) probeDirect(p *path, request []byte) (progress, error) {
	c, err := t.dialDirect(p, t.opts.Settings.ProbeTimeout)
	if err != nil {
		return unconnected, err
	}
	reached, err := t.exchange(c, request)
	if reached == answered {
		t.received(p, time.Now())
	}
	return reached, err
}

// probeRelayed probes a target through other entry VMs, one after the other until it answers. It
// returns how far the best probe got; the error is that of dialRelayed if none got a connection.
func (t *Table) probeRelayed(p *path, request []byte) (progress, error) {
	if time.Now().Before(p.unreachableUntil.Load()) {
		return unconnected, errRecentlyUnreachable
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.Settings.RelayTimeout)
	defer cancel()
	candidates := t.helpers.candidates(time.Now())
	results := make(chan helperProbe, len(candidates))
	for i, helper := range candidates {
		go func() {
			_ = pause.For(ctx, time.Duration(i)*t.opts.Settings.HelperDelay)
			results <- t.probeThrough(ctx, helper, p, request)
		}()
	}
	best := helperProbe{probeResult: probeResult{unconnected, errNoHelper}}
	var silent []string
	for range candidates {
		r := <-results
		if r.reached > best.reached || r.reached == unconnected && best.reached == unconnected && saysMore(r.err, best.err) {
			best = r
		}
		if best.reached == answered {
			t.helpers.failedAll(silent)
			break
		}
		if r.reached == connected {
			silent = append(silent, r.helper)
		}
	}
	return best.reached, best.err
}

// helperProbe is the result of a probe through one entry VM.
type helperProbe struct {
	probeResult
	helper string
}

func (t *Table) probeThrough(ctx context.Context, helper string, p *path, request []byte) helperProbe {
	if ctx.Err() != nil {
		return helperProbe{probeResult{unconnected, &relay.HelperError{Helper: helper, Err: ctx.Err()}}, helper}
	}
	c, err := t.opts.Relay.Dial(ctx, helper, p.address)
	if err != nil {
		return helperProbe{probeResult{unconnected, err}, helper}
	}
	reached, err := t.exchange(c, request)
	return helperProbe{probeResult{reached, err}, helper}
}

// exchange sends a request, unless that is nil, on a new connection, waits for a byte and closes the
// connection.
func (t *Table) exchange(c net.Conn, request []byte) (progress, error) {
	timeout := t.opts.Settings.ProbeTimeout
	if request == nil {
		timeout = t.opts.Settings.HoldTime
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = abort.Close(c) }) // ends Write and Read
	defer func() {
		if stop() {
			_ = c.Close() // the probe has ended
		}
	}()
	if request != nil {
		if _, err := c.Write(request); err != nil {
			return unconnected, errors.Annotate(err, "probe")
		}
	}
	n, err := c.Read(make([]byte, 1))
	switch {
	case n > 0:
		return answered, nil
	case ctx.Err() != nil:
		return connected, errNoAnswer
	}
	return unconnected, errors.Annotate(err, "probe")
}
