package paths_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/abort"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/relay"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// reaction is how an address reacts to a new connection.
type reaction int

const (
	accepts reaction = iota
	refuses
	hangs
	// holds is a new connection that is accepted and on which nothing is sent.
	holds
)

// network simulates targets and entry VMs. Its connections are pipes whose far ends it reads.
type network struct {
	mu sync.Mutex // guards the fields below
	// direct and viaPeers are the reactions of targets to this VM and to the others, helpers
	// those of the other VMs, all by address.
	direct, viaPeers, helpers map[string]reaction
	cutOff                    map[string]bool // by address
	directDials               map[string]int  // by target
	asked                     []string        // helpers
	broken                    []string        // targets, as reported to OnBroken
	ends                      []net.Conn      // far ends of all connections
	// others are the entry VMs, targets those of the list.
	others  []feed.Peer
	targets []string
	// opened counts the connections that were opened through each helper.
	opened map[string]int
	// refusals are the errors with which helpers refuse, by address; targetRefusals those with which they
	// refuse connections to one target, by helper and target.
	refusals       map[string]error
	targetRefusals map[[2]string]error
}

const (
	connectTime = time.Millisecond
	// objective is the time in which a first try must reach a target from 3 s after a cut began.
	objective = 100 * time.Millisecond
)

var targets = []string{"t1:1", "t2:1", "t3:1", "t4:1", "t5:1"}

// peers are two VMs of this VM's zone and two others.
var peers = []feed.Peer{
	{ID: "self", PeerAddress: "self:1", AvailabilityZone: "a"},
	{ID: "a2", PeerAddress: "a2:1", AvailabilityZone: "a"}, {ID: "a3", PeerAddress: "a3:1", AvailabilityZone: "a"},
	{ID: "b1", PeerAddress: "b1:1", AvailabilityZone: "b"}, {ID: "c1", PeerAddress: "c1:1", AvailabilityZone: "c"},
}

func newNetwork() *network {
	return &network{
		direct: map[string]reaction{}, viaPeers: map[string]reaction{}, helpers: map[string]reaction{},
		cutOff: map[string]bool{}, directDials: map[string]int{}, others: peers, targets: targets,
		opened: map[string]int{}, refusals: map[string]error{}, targetRefusals: map[[2]string]error{},
	}
}

// set sets the reactions to this VM of some targets.
func (n *network) set(r reaction, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.direct[a] = r
	}
}

func (n *network) react(ctx context.Context, r reaction) error {
	switch r {
	case refuses:
		return syscall.ECONNREFUSED
	case hangs:
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(connectTime)
	return nil
}

// dial is the direct dial.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.directDials[address]++
	r := n.direct[address]
	n.mu.Unlock()
	if err := n.react(ctx, r); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	n.mu.Lock()
	n.ends = append(n.ends, far)
	n.mu.Unlock()
	go n.serve(far, func() reaction { return n.direct[address] })
	return near, nil
}

// serve answers each write with a byte while the target accepts connections.
func (n *network) serve(c net.Conn, react func() reaction) {
	b := make([]byte, 1<<10)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		n.mu.Lock()
		answers := react() == accepts
		n.mu.Unlock()
		if answers {
			_, _ = c.Write(b[:1]) // fails if the VM has closed the connection
		}
	}
}

// PathProbe implements paths.Prober.
func (n *network) PathProbe(string) []byte { return []byte("probe") }

// Dial implements paths.Relay.
func (n *network) Dial(ctx context.Context, helper, target string) (net.Conn, error) {
	n.mu.Lock()
	n.asked = append(n.asked, helper)
	h, r, refusal := n.helpers[helper], n.viaPeers[target], n.refusals[helper]
	if refusal == nil {
		refusal = n.targetRefusals[[2]string{helper, target}]
	}
	n.mu.Unlock()
	if refusal != nil {
		return nil, &relay.HelperError{Helper: helper, Err: refusal}
	}
	if err := n.react(ctx, h); err != nil {
		return nil, errors.Annotatef(err, "entry VM %s", helper)
	}
	if err := n.react(ctx, r); err != nil {
		return nil, &relay.TargetError{Helper: helper, Target: target, Err: err}
	}
	near, far := net.Pipe()
	n.mu.Lock()
	n.opened[helper]++
	n.ends = append(n.ends, far)
	n.mu.Unlock()
	go n.serve(far, func() reaction { return n.viaPeers[target] })
	return near, nil
}

func (n *network) peers() []feed.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := slices.Clone(n.others)
	for i := range list {
		list[i].CutOff = n.cutOff[list[i].PeerAddress]
	}
	return list
}

func (n *network) table() *paths.Table { return n.tableOf("self", "a") }

// tableOf returns the table of an entry VM.
func (n *network) tableOf(id, zone string) *paths.Table { return paths.NewTable(n.optionsOf(id, zone)) }

func (n *network) optionsOf(id, zone string) paths.Options {
	return paths.Options{
		ID: id, AvailabilityZone: zone, Dial: n.dial, Relay: n, Prober: n, Peers: n.peers,
		Targets: func() []string { return n.targets },
		OnBroken: func(address string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.broken = append(n.broken, address)
		},
		Logger: logging.Discard(), Registry: metrics.NewRegistry(), Settings: paths.Defaults(),
	}
}

func (n *network) dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directDials[address]
}

func (n *network) askedHelpers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.asked)
}

// run runs f in a bubble with virtual time, in which no task of the table outlives it.
func run(t *testing.T, f func(t *testing.T, n *network, table *paths.Table)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		table := n.table()
		defer func() {
			table.Close()
			n.close()
			time.Sleep(2 * time.Second) // dials, checks and timers that are still running end
		}()
		f(t, n, table)
	})
}

// close closes all connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.ends {
		_ = c.Close()
	}
}

// connect opens a connection, closes it and returns the time that it took.
func connect(t *testing.T, table *paths.Table, address string) (time.Duration, error) {
	t.Helper()
	begin := time.Now()
	c, err := table.Dial(t.Context(), "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return time.Since(begin), err
}

// assertServed fails unless every target is reached within the objective.
func assertServed(t *testing.T, table *paths.Table) {
	t.Helper()
	for _, address := range targets {
		took, err := connect(t, table, address)
		assert.NilError(t, err, address)
		assert.Assert(t, took <= objective, "%s after %v", address, took)
	}
}

// TestVMThatReachesNoTargetUsesOtherVMs guards against a VM that is cut off from all targets and
// takes each of them for sick.
func TestVMThatReachesNoTargetUsesOtherVMs(t *testing.T) {
	for _, r := range []reaction{refuses, hangs} {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				assertServed(t, table)
				assert.Equal(t, len(n.askedHelpers()), 0)
				n.set(r, targets...)
				assertServed(t, table)
				time.Sleep(time.Second - time.Duration(len(targets))*objective)
				assert.Assert(t, table.IsCutOff(), "a second after the cut began")
				assertServed(t, table)
				assert.Assert(t, table.CanReachTargets())
			})
		})
	}
}

// TestCutIsOverWithinASecond guards against a VM that goes on using other VMs once its paths work.
func TestCutIsOverWithinASecond(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(hangs, targets...)
		assertServed(t, table)
		time.Sleep(12 * time.Second)
		assert.Assert(t, table.IsCutOff())
		n.set(accepts, targets...)
		time.Sleep(time.Second)
		assert.Assert(t, !table.IsCutOff())
		asked := len(n.askedHelpers())
		assertServed(t, table)
		assert.Equal(t, len(n.askedHelpers()), asked)
	})
}

// TestCutCostsFewChecks guards against a storm of connections while a VM is cut off.
func TestCutCostsFewChecks(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(refuses, targets...)
		assertServed(t, table)
		time.Sleep(10 * time.Second)
		dials := 0
		for _, address := range targets {
			dials += n.dials(address)
		}
		assert.Assert(t, dials <= 130, "%d direct connections in 10 s", dials) // 3 in each 250 ms, and the first ones
	})
}

// TestTargetThatIsDownIsNotTakenForABrokenPath guards against a target that no VM reaches and whose
// loss is blamed on the path.
func TestTargetThatIsDownIsNotTakenForABrokenPath(t *testing.T) {
	for _, r := range []reaction{refuses, hangs} {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				n.set(r, "t1:1")
				n.viaPeers["t1:1"] = r
				if r == hangs {
					n.viaPeers["t1:1"] = refuses // a helper's own dial ends before it is given up
				}
				_, err := connect(t, table, "t1:1")
				var dialErr *paths.DialError
				assert.Assert(t, errors.As(err, &dialErr))
				assert.Equal(t, dialErr.Reach, paths.ReachNone)
				assert.Equal(t, table.Check(t.Context(), "t1:1"), paths.ReachNone)
				assert.Assert(t, !table.IsCutOff())
				assert.Equal(t, len(n.broken), 0)
			})
		})
	}
}

// TestOtherVMsAreAskedOnceForATargetThatIsDown guards against a storm of questions to other VMs
// while a target is down.
func TestOtherVMsAreAskedOnceForATargetThatIsDown(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(refuses, "t1:1")
		n.viaPeers["t1:1"] = refuses
		for range 20 {
			_, _ = connect(t, table, "t1:1")
		}
		assert.Assert(t, len(n.askedHelpers()) <= 3, "%v", n.askedHelpers())
	})
}

// TestOneBrokenPathIsNoCut guards against a VM that gives up sound paths because others are broken.
func TestOneBrokenPathIsNoCut(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(hangs, "t1:1", "t2:1", "t3:1")
		assertServed(t, table)
		time.Sleep(time.Second)
		assert.Assert(t, !table.IsCutOff())
		asked := len(n.askedHelpers())
		_, err := connect(t, table, "t4:1")
		assert.NilError(t, err)
		assert.Equal(t, len(n.askedHelpers()), asked)
	})
}

// TestSilentTargetIsNoBrokenPath guards against a sound target that falls silent for a second and is
// taken for lost.
func TestSilentTargetIsNoBrokenPath(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		c, err := table.Dial(t.Context(), "tcp", "t1:1")
		assert.NilError(t, err)
		n.set(holds, "t1:1")
		n.viaPeers["t1:1"] = holds
		_, err = c.Write([]byte("request"))
		assert.NilError(t, err)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			table.Suspect("t1:1", true)
		}
		assert.Equal(t, len(n.broken), 0)
		assert.Assert(t, n.dials("t1:1") <= 11, "%d direct connections in 3 s", n.dials("t1:1"))
		assert.NilError(t, c.Close())
	})
}

// TestSilentConnectionShowsABrokenPath guards against requests that wait on kept connections whose
// path is broken, while no new connection is opened that would show it.
func TestSilentConnectionShowsABrokenPath(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		var open []net.Conn
		for _, address := range targets[:2] {
			c, err := table.Dial(t.Context(), "tcp", address)
			assert.NilError(t, err)
			open = append(open, c)
		}
		time.Sleep(time.Second)
		n.set(hangs, targets...)
		_, err := open[0].Write([]byte("request"))
		assert.NilError(t, err)
		time.Sleep(paths.Defaults().SilenceDelay)
		table.Suspect(targets[0], true)
		time.Sleep(1500 * time.Millisecond) // half of the time in which it must be known
		assert.Assert(t, table.IsCutOff())
		for _, c := range open {
			assert.Assert(t, !c.(interface{ IsOpen() bool }).IsOpen())
			assert.NilError(t, c.Close())
		}
	})
}

// TestConnectionsThatAreHeldShowACut guards against a VM whose connections to targets are opened by
// something on the way that forwards nothing.
func TestConnectionsThatAreHeldShowACut(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(holds, targets...)
		for _, address := range targets[:2] {
			c, err := table.Dial(t.Context(), "tcp", address)
			assert.NilError(t, err)
			_, err = c.Write([]byte("request"))
			assert.NilError(t, err)
			defer func() { assert.NilError(t, c.Close()) }()
		}
		time.Sleep(paths.Defaults().SilenceDelay)
		table.Suspect(targets[0], true)
		time.Sleep(1500 * time.Millisecond) // half of the time in which it must be known
		assert.Assert(t, table.IsCutOff())
		before := len(n.askedHelpers())
		assertServed(t, table)
		assert.Assert(t, len(n.askedHelpers()) >= before+len(targets))
		n.set(accepts, targets...)
		time.Sleep(time.Second)
		assert.Assert(t, !table.IsCutOff())
	})
}

// TestOwnAvailabilityZoneHelpsFirst guards against bytes between zones where a VM of the own zone
// can help.
func TestOwnAvailabilityZoneHelpsFirst(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(refuses, targets...)
		assertServed(t, table)
		for _, helper := range n.askedHelpers() {
			assert.Assert(t, helper == "a2:1" || helper == "a3:1", helper)
		}
	})
}

// TestHelpersThatCannotHelpAreReplaced guards against requests that wait for VMs that are cut off
// themselves, frozen or down.
func TestHelpersThatCannotHelpAreReplaced(t *testing.T) {
	for _, r := range []reaction{refuses, hangs} {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				n.set(refuses, targets...)
				n.helpers["a2:1"], n.helpers["a3:1"] = r, r
				for range 3 {
					assertServed(t, table)
				}
				n.mu.Lock()
				n.cutOff["a2:1"], n.cutOff["a3:1"] = true, true
				n.mu.Unlock()
				before := len(n.askedHelpers())
				assertServed(t, table)
				for _, helper := range n.askedHelpers()[before:] {
					assert.Assert(t, helper == "b1:1" || helper == "c1:1", helper)
				}
			})
		})
	}
}

// TestEndOfARequestIsNoFailureOfAHelper guards against a cut VM that uses sound helpers no longer
// because requests with little time left ended while they were asked.
func TestEndOfARequestIsNoFailureOfAHelper(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(refuses, targets...)
		assertServed(t, table)
		time.Sleep(time.Second)
		assert.Assert(t, table.IsCutOff())
		n.setHelpers(hangs)
		for range 2 * len(peers) {
			ctx, cancel := context.WithTimeout(t.Context(), connectTime)
			_, err := table.Dial(ctx, "tcp", targets[0])
			cancel()
			assert.Assert(t, err != nil)
		}
		n.setHelpers(accepts)
		assertServed(t, table)
	})
}

// TestVMWithoutAnyPathSaysSo guards against requests that wait for their deadline at a VM that
// reaches neither a target nor another entry VM.
func TestVMWithoutAnyPathSaysSo(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(refuses, targets...)
		assertServed(t, table)
		time.Sleep(time.Second)
		n.mu.Lock()
		for _, p := range peers {
			n.helpers[p.PeerAddress] = refuses
		}
		n.mu.Unlock()
		_, err := connect(t, table, "t1:1")
		var dialErr *paths.DialError
		assert.Assert(t, errors.As(err, &dialErr))
		assert.Equal(t, dialErr.Reach, paths.ReachUnknown)
		assert.Assert(t, dialErr.Isolated)
		assert.Assert(t, !table.CanReachTargets())
	})
}

// TestVMThatIsCutOffHelpsNobody guards against a loop of VMs that ask each other.
func TestVMThatIsCutOffHelpsNobody(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.set(refuses, targets...)
		assertServed(t, table)
		time.Sleep(time.Second)
		asked := len(n.askedHelpers())
		_, err := table.DialForPeer(t.Context(), "tcp", "t1:1")
		assert.Assert(t, fault.Is(err, fault.NotReady))
		assert.Equal(t, len(n.askedHelpers()), asked)
	})
}

// TestDirectConnectionsCanBeReset guards against connections whose written bytes still arrive after the request was
// given up: the wrapper of a TCP connection must pass on the option that a reset needs.
func TestDirectConnectionsCanBeReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	options := newNetwork().optionsOf("self", "a")
	options.Dial = (&net.Dialer{}).DialContext
	table := paths.NewTable(options)
	defer table.Close()
	near, err := table.Dial(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	far, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = far.Close() }()
	assert.NilError(t, abort.Close(near))
	_, err = far.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
