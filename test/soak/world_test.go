package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Ports, the same at each VM's loopback address. A proxied port is the listen address
// of a proxy; the process behind it listens at the backend port.
const (
	portCallers        = 8740 // proxied
	portCallersBackend = 8741
	portOperators      = 8748
	portReady          = 8749
	portPeers          = 7200 // proxied
	portPeersBackend   = 7201
	portMonitor        = 9180
	portTarget         = 8080 // proxied
	portTargetBackend  = 8081
	portList           = 8742
)

// Loopback addresses are 127.network.group.number.
const (
	groupKeepers = 1
	groupEntries = 2
	groupTargets = 3
	groupList    = 4
)

const (
	targetSlots = 8
	deskTargets = 3
	// unframedEvery is how often a target's response ends with its connection, without a
	// length or chunks.
	unframedEvery = 8
)

var availabilityZones = []string{"a", "b", "c"}

// vm is one VM: its program and the proxy in front of it.
type vm struct {
	*program
	ip     string
	proxy  *proxy
	folder string // data folder of a control VM
}

// targetHost is an address at which targets run, one after the other.
type targetHost struct {
	name, service, zone, backend string
	proxy                        *proxy

	mu     sync.Mutex // guards the fields below
	target *standin.Target
	starts int
}

// testbed is one deployment of the system with a stand-in for its platform.
type testbed struct {
	options options
	history *history
	folder  string
	network int

	list       *standin.List
	listServer *http.Server
	fleet      *standin.Fleet
	keepers    []*vm
	entries    []*vm
	targets    []*targetHost
}

// testbedSize is the number of VMs and targets of a testbed.
type testbedSize struct {
	deskTargets, modelTargets, keepers, entries int
}

// randomSize draws the size of a seed's testbed.
func randomSize(r *rand.Rand) testbedSize {
	return testbedSize{deskTargets: deskTargets, modelTargets: 4 + r.IntN(3), keepers: 3 + 2*r.IntN(2), entries: 2 + r.IntN(3)}
}

// newTestbed starts the stand-in platform and prepares the programs; startPrograms
// starts them.
func newTestbed(o options, seed uint64, size testbedSize, h *history) (*testbed, error) {
	folder, err := filepath.Abs(o.folder(seed))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.RemoveAll(folder); err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	tb := &testbed{options: o, history: h, folder: folder, list: &standin.List{}, fleet: standin.NewFleet(h)}
	if err := tb.serveList(); err != nil {
		return nil, err
	}
	steps := []func() error{
		func() error { return tb.addTargets(standin.Desk, size.deskTargets) },
		func() error { return tb.addTargets(standin.Model, size.modelTargets) },
		func() error { return tb.addKeepers(size.keepers) },
		func() error { return tb.addEntries(size.entries) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			tb.close()
			return nil, err
		}
	}
	tb.publishTargets()
	return tb, nil
}

// serveList serves the list of targets on the first loopback network whose list port
// is free.
func (tb *testbed) serveList() error {
	const first, last = 10, 250
	var err error
	for tb.network = first; tb.network <= last; tb.network++ {
		var ln net.Listener
		if ln, err = net.Listen("tcp", tb.address(groupList, 1, portList)); err == nil {
			tb.listServer = &http.Server{Handler: tb.list}
			go func() { _ = tb.listServer.Serve(ln) }() // ends with the server
			return nil
		}
	}
	return errors.Annotate(err, "no free loopback network")
}

func (tb *testbed) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", tb.network, group, number)
}

func (tb *testbed) address(group, number, port int) string {
	return net.JoinHostPort(tb.ip(group, number), strconv.Itoa(port))
}

func (tb *testbed) addTargets(service string, count int) error {
	for range count {
		n := len(tb.targets) + 1
		host := &targetHost{
			name: fmt.Sprintf("target %d", n), service: service, zone: availabilityZones[n%len(availabilityZones)],
			backend: tb.address(groupTargets, n, portTargetBackend),
		}
		var err error
		if host.proxy, err = startProxy(tb.address(groupTargets, n, portTarget), host.backend); err != nil {
			return err
		}
		tb.targets = append(tb.targets, host)
		if err := tb.startTarget(host); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts a new target on the host unless one is running.
func (tb *testbed) startTarget(host *targetHost) error {
	return tb.startInstance(host, "")
}

// startInstance is like startTarget, but starts the target under an ID that it had; empty means a new
// one.
func (tb *testbed) startInstance(host *targetHost, instance string) error {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.target != nil {
		return nil
	}
	host.starts++
	if instance == "" {
		instance = fmt.Sprintf("%s start %d", host.name, host.starts)
	}
	var err error
	host.target, err = standin.StartTarget(tb.fleet, standin.TargetOptions{
		Instance: instance, Service: host.service, AvailabilityZone: host.zone,
		Address: host.backend, Listed: host.proxy.listener.Addr().String(), Slots: targetSlots,
	})
	if err != nil {
		return err
	}
	host.target.Change(func(b *standin.Behavior) { b.UnframedEvery = unframedEvery })
	return nil
}

// closeTarget closes the host's target without a graceful stop.
func (host *targetHost) closeTarget() {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.target != nil {
		host.target.Close()
		host.target = nil
	}
}

// closeInstance ends the host's target like closeTarget, and reports whether it still was the given
// instance.
func (host *targetHost) closeInstance(instance string) bool {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.target == nil || host.target.Instance() != instance {
		return false
	}
	host.target.Close()
	host.target = nil
	return true
}

// startNumber returns the number of targets that were started on the host.
func (host *targetHost) startNumber() int {
	host.mu.Lock()
	defer host.mu.Unlock()
	return host.starts
}

// changeBehavior changes the behavior of the host's target, if one is running, and
// returns the target's instance.
func (host *targetHost) changeBehavior(f func(b *standin.Behavior)) string {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.target == nil {
		return ""
	}
	host.target.Change(f)
	return host.target.Instance()
}

// received returns the times at which the host's target received requests, and whether it still
// is the given start of the given instance.
func (host *targetHost) received(instance string, start int) (times []time.Time, ok bool) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.target == nil || host.target.Instance() != instance || host.starts != start {
		return nil, false
	}
	return host.target.Received(), true
}

// publishTargets publishes the list of all running targets.
func (tb *testbed) publishTargets() {
	var targets []*standin.Target
	for _, host := range tb.targets {
		host.mu.Lock()
		if host.target != nil {
			targets = append(targets, host.target)
		}
		host.mu.Unlock()
	}
	tb.list.Publish(targets...)
}

// seeds returns the operator addresses of the first three control VMs as a YAML list.
func (tb *testbed) seeds() string {
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, strconv.Quote(tb.address(groupKeepers, n+1, portOperators)))
	}
	return "[" + strings.Join(seeds, ", ") + "]"
}

// newVM prepares a VM whose program listens at the port backend and is reached through
// a proxy at port.
func (tb *testbed) newVM(group, number int, id, program string, port, backend int, settings func(m *vm) string) (*vm, error) {
	m := &vm{ip: tb.ip(group, number), folder: filepath.Join(tb.folder, id+" disk")}
	var err error
	if m.proxy, err = startProxy(tb.address(group, number, port), tb.address(group, number, backend)); err != nil {
		return nil, err
	}
	m.program, err = newProgram(tb.folder, id, filepath.Join(tb.options.firstPrograms(), program), settings(m), tb.history)
	return m, err
}

func (tb *testbed) addKeepers(count int) error {
	for i := range count {
		id := fmt.Sprintf("keeper %d", i+1)
		m, err := tb.newVM(groupKeepers, i+1, id, keeperProgram, portPeers, portPeersBackend, func(m *vm) string { return tb.keeperSettings(m, id, true) })
		if err != nil {
			return err
		}
		tb.keepers = append(tb.keepers, m)
	}
	return nil
}

func (tb *testbed) keeperSettings(m *vm, id string, mayFound bool) string {
	return fmt.Sprintf(`id: %s
operator_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
peer_listen_address: "%s:%d"
seeds: %s
may_found: %t
data_folder: %q
`, id, m.ip, portOperators, m.ip, portMonitor, tb.address(groupList, 1, portList), portPeers, m.ip, portPeersBackend, tb.seeds(), mayFound, m.folder)
}

func (tb *testbed) addEntries(count int) error {
	for i := range count {
		id := fmt.Sprintf("entry %d", i+1)
		m, err := tb.newVM(groupEntries, i+1, id, entryProgram, portCallers, portCallersBackend, func(m *vm) string { return tb.entrySettings(m, id, i) })
		if err != nil {
			return err
		}
		tb.entries = append(tb.entries, m)
	}
	return nil
}

func (tb *testbed) entrySettings(m *vm, id string, i int) string {
	return fmt.Sprintf(`id: %s
availability_zone: %s
caller_address: "%s:%d"
ready_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
seeds: %s
stop_grace: %s
`, id, availabilityZones[i%len(availabilityZones)], m.ip, portCallersBackend, m.ip, portReady, m.ip, portMonitor,
		tb.address(groupList, 1, portList), portPeers, tb.seeds(), stopGrace)
}

// vms returns all control and entry VMs.
func (tb *testbed) vms() []*vm {
	return append(append([]*vm(nil), tb.keepers...), tb.entries...)
}

// startPrograms starts the programs of all VMs. Their settings allow control VMs to
// bootstrap the cluster until disableBootstrap is called.
func (tb *testbed) startPrograms() error {
	for _, m := range tb.vms() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// disableBootstrap rewrites the settings so that control VMs that restart do not
// bootstrap a new cluster.
func (tb *testbed) disableBootstrap() error {
	for _, m := range tb.keepers {
		if err := os.WriteFile(m.settings, []byte(tb.keeperSettings(m, m.id, false)), 0o600); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// close stops everything that was started.
func (tb *testbed) close() {
	for _, m := range tb.vms() {
		m.close()
		m.proxy.close()
	}
	for _, host := range tb.targets {
		host.proxy.close()
		host.closeTarget()
	}
	_ = tb.listServer.Close()
}
