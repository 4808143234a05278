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

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Ports, the same at each VM's own loopback address.
const (
	portCallers       = 8740 // proxied
	portCallersBehind = 8741
	portOperators     = 8748
	portReady         = 8749
	portPeers         = 7200 // proxied
	portPeersBehind   = 7201
	portMonitor       = 9180
	portTarget        = 8080 // proxied
	portTargetBehind  = 8081
	portList          = 8742
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
	deskCount   = 3
)

var availabilityZones = []string{"a", "b", "c"}

// machine is one VM: its program, and the proxy before it.
type machine struct {
	*program
	ip     string
	link   *proxy
	folder string // of a control VM's disk
}

// slot is a place where one target after the other runs.
type slot struct {
	name, service, zone, behind string
	link                        *proxy

	mu     sync.Mutex // guards the fields below
	target *standin.Target
	starts int
}

// world is one system, with the platform around it.
type world struct {
	options options
	history *history
	folder  string
	network int

	list     *standin.List
	listHTTP *http.Server
	fleet    *standin.Fleet
	keepers  []*machine
	entries  []*machine
	targets  []*slot
}

// newWorld starts the platform and lays out the programs, which are started by boot.
func newWorld(o options, seed uint64, r *rand.Rand, h *history) (*world, error) {
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
	w := &world{options: o, history: h, folder: folder, list: &standin.List{}, fleet: standin.NewFleet(h)}
	if err := w.serveList(); err != nil {
		return nil, err
	}
	steps := []func() error{
		func() error { return w.addTargets(standin.Desk, deskCount) },
		func() error { return w.addTargets(standin.Model, 4+r.IntN(3)) },
		func() error { return w.addKeepers(3 + 2*r.IntN(2)) },
		func() error { return w.addEntries(2 + r.IntN(3)) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			w.close()
			return nil, err
		}
	}
	w.publish()
	return w, nil
}

// serveList takes the first loopback network that nobody else uses.
func (w *world) serveList() error {
	const first, last = 10, 250
	var err error
	for w.network = first; w.network <= last; w.network++ {
		var ln net.Listener
		if ln, err = net.Listen("tcp", w.address(groupList, 1, portList)); err == nil {
			w.listHTTP = &http.Server{Handler: w.list}
			go func() { _ = w.listHTTP.Serve(ln) }() // ends with the server
			return nil
		}
	}
	return errors.Annotate(err, "no loopback network is free")
}

func (w *world) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, group, number)
}

func (w *world) address(group, number, port int) string {
	return net.JoinHostPort(w.ip(group, number), strconv.Itoa(port))
}

func (w *world) addTargets(service string, count int) error {
	for range count {
		n := len(w.targets) + 1
		s := &slot{
			name: fmt.Sprintf("target %d", n), service: service, zone: availabilityZones[n%len(availabilityZones)],
			behind: w.address(groupTargets, n, portTargetBehind),
		}
		var err error
		if s.link, err = startProxy(w.address(groupTargets, n, portTarget), s.behind); err != nil {
			return err
		}
		w.targets = append(w.targets, s)
		if err := w.startTarget(s); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts a new target in the slot if none runs there.
func (w *world) startTarget(s *slot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target != nil {
		return nil
	}
	s.starts++
	var err error
	s.target, err = standin.StartTarget(w.fleet, standin.TargetOptions{
		Instance: fmt.Sprintf("%s start %d", s.name, s.starts), Service: s.service, AvailabilityZone: s.zone,
		Address: s.behind, Listed: s.link.listener.Addr().String(), Slots: targetSlots,
	})
	return err
}

// endTarget ends the slot's target as a crash does.
func (s *slot) endTarget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target != nil {
		s.target.Close()
		s.target = nil
	}
}

// change changes how the slot's target serves, if one runs, and returns its instance.
func (s *slot) change(f func(b *standin.Behavior)) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target == nil {
		return ""
	}
	s.target.Change(f)
	return s.target.Instance()
}

// publish puts all running targets on the list.
func (w *world) publish() {
	var targets []*standin.Target
	for _, s := range w.targets {
		s.mu.Lock()
		if s.target != nil {
			targets = append(targets, s.target)
		}
		s.mu.Unlock()
	}
	w.list.Publish(targets...)
}

// seeds are the operator addresses of the first control VMs, as a list in YAML.
func (w *world) seeds() string {
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, strconv.Quote(w.address(groupKeepers, n+1, portOperators)))
	}
	return "[" + strings.Join(seeds, ", ") + "]"
}

// newMachine lays out a VM whose program serves at the port behind, and is reached at
// the port through a proxy.
func (w *world) newMachine(group, number int, id, program string, port, behind int, settings func(m *machine) string) (*machine, error) {
	m := &machine{ip: w.ip(group, number), folder: filepath.Join(w.folder, id+" disk")}
	var err error
	if m.link, err = startProxy(w.address(group, number, port), w.address(group, number, behind)); err != nil {
		return nil, err
	}
	m.program, err = newProgram(w.folder, id, filepath.Join(w.options.programs, program), settings(m), w.history)
	return m, err
}

func (w *world) addKeepers(count int) error {
	for i := range count {
		id := fmt.Sprintf("keeper %d", i+1)
		m, err := w.newMachine(groupKeepers, i+1, id, keeperProgram, portPeers, portPeersBehind, func(m *machine) string { return w.keeperSettings(m, id, true) })
		if err != nil {
			return err
		}
		w.keepers = append(w.keepers, m)
	}
	return nil
}

func (w *world) keeperSettings(m *machine, id string, first bool) string {
	return fmt.Sprintf(`id: %s
operator_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
peer_listen_address: "%s:%d"
seeds: %s
may_found: %t
data_folder: %q
`, id, m.ip, portOperators, m.ip, portMonitor, w.address(groupList, 1, portList), portPeers, m.ip, portPeersBehind, w.seeds(), first, m.folder)
}

func (w *world) addEntries(count int) error {
	for i := range count {
		id := fmt.Sprintf("entry %d", i+1)
		m, err := w.newMachine(groupEntries, i+1, id, entryProgram, portCallers, portCallersBehind, func(m *machine) string { return w.entrySettings(m, id, i) })
		if err != nil {
			return err
		}
		w.entries = append(w.entries, m)
	}
	return nil
}

func (w *world) entrySettings(m *machine, id string, i int) string {
	return fmt.Sprintf(`id: %s
availability_zone: %s
caller_address: "%s:%d"
ready_address: "%s:%d"
monitor_address: "%s:%d"
platform_address: "%s"
peer_port: %d
seeds: %s
stop_grace: %s
`, id, availabilityZones[i%len(availabilityZones)], m.ip, portCallersBehind, m.ip, portReady, m.ip, portMonitor,
		w.address(groupList, 1, portList), portPeers, w.seeds(), stopGrace)
}

// machines are all VMs.
func (w *world) machines() []*machine {
	return append(append([]*machine(nil), w.keepers...), w.entries...)
}

// boot starts all programs. Control VMs found the system at this start only.
func (w *world) boot() error {
	for _, m := range w.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// founded writes settings with which control VMs found nothing anew.
func (w *world) founded() error {
	for _, m := range w.keepers {
		if err := os.WriteFile(m.settings, []byte(w.keeperSettings(m, m.id, false)), 0o600); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// close ends all that was started.
func (w *world) close() {
	for _, m := range w.machines() {
		m.end()
		m.link.close()
	}
	for _, s := range w.targets {
		s.link.close()
		s.endTarget()
	}
	_ = w.listHTTP.Close()
}
