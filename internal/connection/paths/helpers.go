package paths

import (
	"cmp"
	"context"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/relay"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

const (
	// maxAsked is the number of entry VMs that are asked for one connection.
	maxAsked = 3
	// helpersPerGroup is the number of entry VMs of one group among which connections are
	// spread. Each of them has a connection to this VM.
	helpersPerGroup = 48
	// maxCutOffPerHelper is the number of VMs that are cut off for each sound one, in this VM's
	// availability zone, up to which only that zone's VMs are asked first.
	maxCutOffPerHelper = 2
)

// helpers selects the entry VMs that open connections for this one.
type helpers struct {
	opts Options
	seed maphash.Seed
	// helpedAt is when an entry VM last connected to a target or said that it can't be reached,
	// failedAt when none did.
	helpedAt, failedAt atomicTime

	mu sync.Mutex // guards the fields below
	// failures are those of VMs that could not help lately, open is the number of connections
	// through each, both by address.
	failures map[string]helperFailure
	open     map[string]int
}

// helperFailure is the last failure of a VM to help.
type helperFailure struct {
	at time.Time
	// isFull: the VM took no further connection. Those that are open work.
	isFull bool
	// hasNoPath: the VM was reached and has no path to a target itself.
	hasNoPath bool
}

func newHelpers(o Options) *helpers {
	return &helpers{opts: o, seed: maphash.MakeSeed(), failures: map[string]helperFailure{}, open: map[string]int{}}
}

// candidates returns the VMs to ask for a connection, the best first. The second one is in another
// availability zone than the first if possible: the VMs of a zone may be cut off together.
func (h *helpers) candidates(now time.Time) []string {
	own, others, cutOff := h.groups(now)
	if len(own)*maxCutOffPerHelper < cutOff || h.mostRefuse(own, cutOff) {
		own = slices.Concat(own, others)
	}
	own, others = h.nearest(own), h.nearest(others)
	var asked []string
	for len(asked) < maxAsked && len(own)+len(others) > 0 {
		if p, ok := h.takeLeastUsed(&own); ok {
			asked = append(asked, p.PeerAddress)
			others = slices.DeleteFunc(others, func(o feed.Peer) bool { return o == p })
		}
		if p, ok := h.takeLeastUsed(&others); ok && len(asked) < maxAsked {
			asked = append(asked, p.PeerAddress)
			own = slices.DeleteFunc(own, func(o feed.Peer) bool { return o == p })
		}
	}
	return asked
}

// groups returns the VMs that may help, those of this VM's availability zone apart, and the number
// of VMs of that zone that are cut off, this one included.
func (h *helpers) groups(now time.Time) (own, others []feed.Peer, cutOff int) {
	cutOff = 1
	for _, p := range h.opts.Peers() {
		sameZone := p.AvailabilityZone == h.opts.AvailabilityZone
		switch {
		case p.ID == h.opts.ID || p.PeerAddress == "":
		case sameZone && (p.CutOff || h.hasNoPath(p.PeerAddress, now)):
			cutOff++
		case p.CutOff || h.hasFailed(p.PeerAddress, now):
		case sameZone:
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	return own, others, cutOff
}

// mostRefuse reports whether most of the VMs of this VM's availability zone that are known to help or
// to be cut off are cut off. The others of the zone may be as well: a VM says so only when asked, until
// the control VMs have told all others.
func (h *helpers) mostRefuse(own []feed.Peer, cutOff int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	helping := 0
	for _, p := range own {
		if h.open[p.PeerAddress] > 0 {
			helping++
		}
	}
	return cutOff > 1 && helping*maxCutOffPerHelper < cutOff
}

// nearest returns the few VMs that come first in an order that differs for each VM, so that the
// load of many VMs that are cut off is spread.
func (h *helpers) nearest(peers []feed.Peer) []feed.Peer {
	rank := func(p feed.Peer) uint64 { return maphash.String(h.seed, p.ID) }
	slices.SortFunc(peers, func(a, b feed.Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return peers[:min(len(peers), helpersPerGroup)]
}

// takeLeastUsed removes and returns the VM through which the fewest connections are open.
func (h *helpers) takeLeastUsed(peers *[]feed.Peer) (feed.Peer, bool) {
	if len(*peers) == 0 {
		return feed.Peer{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	rand.Shuffle(len(*peers), func(i, j int) { (*peers)[i], (*peers)[j] = (*peers)[j], (*peers)[i] })
	best := 0
	for i, p := range *peers {
		if h.open[p.PeerAddress] < h.open[(*peers)[best].PeerAddress] {
			best = i
		}
	}
	p := (*peers)[best]
	*peers = slices.Delete(*peers, best, best+1)
	return p, true
}

func (h *helpers) hasFailed(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.failureLocked(address, now)
	return ok
}

// failureLocked returns the failure of a VM that is not asked for a connection now. The caller
// holds mu.
func (h *helpers) failureLocked(address string, now time.Time) (helperFailure, bool) {
	f, ok := h.failures[address]
	return f, ok && now.Sub(f.at) < h.opts.Settings.HelperBackoff
}

// hasNoPath reports whether the VM at address said lately that it has no path to a target.
func (h *helpers) hasNoPath(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, failed := h.failureLocked(address, now)
	return failed && f.hasNoPath
}

// maintains reports whether the open connections through the VM at address may carry further
// requests: it is known, not cut off, and has not failed lately, or only had no room.
func (h *helpers) maintains(address string, now time.Time) bool {
	known := slices.ContainsFunc(h.opts.Peers(), func(p feed.Peer) bool { return p.PeerAddress == address && !p.CutOff })
	h.mu.Lock()
	defer h.mu.Unlock()
	f, failed := h.failureLocked(address, now)
	return known && (!failed || f.isFull)
}

// anyWorks reports whether there is a VM that may help.
func (h *helpers) anyWorks(now time.Time) bool {
	own, others, _ := h.groups(now)
	return len(own)+len(others) > 0
}

// record records whether an entry VM has helped. err is nil or the error of those that were asked.
func (h *helpers) record(err error) {
	now := time.Now()
	switch {
	case err == nil || !isHelperError(err) || isClosedTarget(err):
		h.helpedAt.Store(now)
	case !isRefusal(err) || !h.anyWorks(now):
		h.failedAt.Store(now)
	}
}

// areLost reports whether no entry VM has helped for a while, and those that were asked last did not.
func (h *helpers) areLost(now time.Time) bool {
	helpedAt := h.helpedAt.Load()
	return h.failedAt.Load().After(helpedAt) && !h.isTested(now)
}

// isTested reports whether an entry VM has helped lately.
func (h *helpers) isTested(now time.Time) bool {
	return now.Sub(h.helpedAt.Load()) < h.opts.Settings.HelperBackoff
}

// areKnown reports whether there are other entry VMs.
func (h *helpers) areKnown() bool {
	return slices.ContainsFunc(h.opts.Peers(), func(p feed.Peer) bool { return p.ID != h.opts.ID })
}

// failed records that a VM could not help. A VM that had failed otherwise shortly before is not
// taken for a full one.
func (h *helpers) failed(address string, err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	f, failed := h.failureLocked(address, now)
	isFull := fault.Is(err, fault.Overloaded) && (!failed || f.isFull)
	maps.DeleteFunc(h.failures, func(_ string, f helperFailure) bool { return now.Sub(f.at) >= h.opts.Settings.HelperBackoff })
	h.failures[address] = helperFailure{at: now, isFull: isFull, hasNoPath: fault.Is(err, fault.NotReady)}
}

// failedAll records VMs through which a target did not answer that answered through another one.
func (h *helpers) failedAll(addresses []string) {
	for _, address := range addresses {
		h.failed(address, errNoAnswer)
	}
}

func (h *helpers) opened(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[address]++
}

func (h *helpers) released(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open[address]--; h.open[address] <= 0 {
		delete(h.open, address)
	}
}

// isHelperError reports whether err says nothing about the target: no entry VM could be asked, or
// none has answered.
func isHelperError(err error) bool {
	var target *relay.TargetError
	return !errors.As(err, &target)
}

// isRefusal reports whether err is the refusal of an entry VM that was reached.
func isRefusal(err error) bool {
	var refusal *fault.Error
	return errors.As(err, &refusal)
}

// isClosedTarget reports whether err is the refusal of an entry VM that helps, and from which the target
// wants no further requests.
func isClosedTarget(err error) bool { return fault.Is(err, fault.NoTarget) }

// saysMore reports whether err says more about the target, or else about other entry VMs, than old.
func saysMore(err, old error) bool {
	if !isHelperError(old) {
		return false
	}
	if isClosedTarget(old) {
		return !isHelperError(err)
	}
	return !isHelperError(err) || isRefusal(err) || !isRefusal(old)
}

// relayResult is the answer of one entry VM.
type relayResult struct {
	helper string
	conn   net.Conn
	err    error
}

// dialRelayed opens a connection through another entry VM, and records whether one helps. The error is
// a *relay.TargetError if those that answered could not connect to the target.
func (t *Table) dialRelayed(ctx context.Context, p *path) (net.Conn, error) {
	c, err := t.askHelpers(ctx, p)
	if err == nil || ctx.Err() == nil {
		t.helpers.record(err) // a request that has ended shows nothing
	}
	return c, err
}

// askHelpers asks one entry VM for a connection, and a further one when one fails or takes long.
func (t *Table) askHelpers(requestCtx context.Context, p *path) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(requestCtx, t.opts.Settings.RelayTimeout)
	defer cancel()
	err := error(errNoHelper)
	candidates := t.helpers.candidates(time.Now())
	if len(candidates) == 0 {
		return nil, err
	}
	results := make(chan relayResult, len(candidates))
	running := 0
	ask := func() {
		if len(candidates) > 0 {
			t.ask(ctx, requestCtx, candidates[0], p, results)
			candidates = candidates[1:]
			running++
		}
	}
	ask()
	next := time.NewTicker(t.opts.Settings.HelperDelay)
	defer next.Stop()
	for running > 0 {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				go closeRelayed(results, running)
				return t.relayedConn(r, p), nil
			}
			if saysMore(r.err, err) {
				err = r.err
			}
			ask()
		case <-next.C:
			ask()
		case <-ctx.Done():
			go closeRelayed(results, running)
			return nil, err
		}
	}
	return nil, err
}

// ask asks one entry VM for a connection. The VM has not failed if the request ended meanwhile.
func (t *Table) ask(ctx, requestCtx context.Context, helper string, p *path, results chan<- relayResult) {
	go func() {
		c, err := t.opts.Relay.Dial(ctx, helper, p.address)
		if err != nil && isHelperError(err) && !isClosedTarget(err) && requestCtx.Err() == nil && !errors.Is(ctx.Err(), context.Canceled) {
			t.helpers.failed(helper, err)
		}
		results <- relayResult{helper, c, err}
	}()
}

// closeRelayed closes the connections of the answers that are still to come.
func closeRelayed(results <-chan relayResult, n int) {
	for range n {
		if r := <-results; r.err == nil {
			_ = r.conn.Close() // nothing was written
		}
	}
}

func (t *Table) relayedConn(r relayResult, p *path) net.Conn {
	t.relayed.Inc(1)
	t.helpers.opened(r.helper)
	return &relayedConn{Conn: r.conn, path: p, helper: r.helper}
}
