package consensus

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const recoveryTimeout = 30 * time.Second

// lineBuffer collects log output.
type lineBuffer struct {
	mu sync.Mutex // guards b
	b  bytes.Buffer
}

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lineBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// cluster runs nodes that share a simulated network, each with its own disk.
type cluster struct {
	ids     []string
	members []Member
	// seeds, if any, are used instead of members.
	seeds         []string
	mayFound      bool
	net           *network
	disks         map[string]*disktest.Disk
	replacedDisks map[string]*disktest.Disk // the last replaced disk of each node
	states        map[string]*register
	down          map[string]bool
	reference     *referenceLog
	random        *rand.Rand
	wipes         int
	lines         lineBuffer // logged by the nodes
	seed          uint64

	mu      sync.Mutex // guards the fields below
	history []porcupine.Operation
	clock   int64
}

func newCluster(size int, seed uint64, faults disktest.Faults) *cluster {
	return newClusterOn(newNetwork(seed), size, seed, faults)
}

func newClusterOn(net *network, size int, seed uint64, faults disktest.Faults) *cluster {
	c := &cluster{
		net:           net,
		disks:         map[string]*disktest.Disk{},
		replacedDisks: map[string]*disktest.Disk{},
		states:        map[string]*register{},
		down:          map[string]bool{},
		reference:     newReferenceLog(),
		random:        rand.New(rand.NewPCG(seed, 2)),
		seed:          seed,
	}
	for i := range size {
		id := string(rune('a' + i))
		c.ids = append(c.ids, id)
		c.members = append(c.members, Member{ID: id})
		c.disks[id] = disktest.New()
		c.disks[id].SetFaults(faults)
	}
	for _, id := range c.ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id string) {
	state := &register{reference: c.reference}
	n, err := Start(Options{
		ID:              id,
		Members:         c.members,
		Seeds:           c.seeds,
		MayFound:        c.mayFound,
		DataFolder:      "data",
		Transport:       nodeTransport{c.net, id},
		StateMachine:    state,
		Logger:          logging.New(&c.lines, "control", id),
		Rand:            rand.New(rand.NewPCG(c.random.Uint64(), 3)),
		SnapshotEntries: 8,
		FS:              c.disks[id].Mount(),
	})
	if err != nil {
		c.reference.report("%s does not start: %v", id, err)
		return
	}
	c.down[id] = false
	c.net.withLock(func() {
		c.net.nodes[id] = n
		c.states[id] = state
		c.net.frozen[id] = false
	})
}

// halt stops a node. Its disk must be unmounted or crashed first, so that the node can
// write nothing more.
func (c *cluster) halt(id string) {
	n := c.net.node(id)
	c.net.withLock(func() { c.net.nodes[id] = nil })
	c.down[id] = true
	if n != nil {
		n.Stop()
	}
}

// isRepaired reports whether a committed membership has exactly the nodes' current
// incarnations, all as voters. Then the cluster tolerates the loss of one disk.
func (c *cluster) isRepaired() bool {
	for _, id := range c.ids {
		n := c.net.node(id)
		if n == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := n.ReadBarrier(ctx)
		cancel()
		if err == nil && c.allAreVoters(n) {
			return true
		}
	}
	return false
}

func (c *cluster) allAreVoters(n *Node) bool {
	n.mu.Lock()
	members, index := n.log.latestMembership()
	committed := index <= n.commitIndex
	n.mu.Unlock()
	for _, id := range c.ids {
		other := c.net.node(id)
		committed = committed && other != nil && members.isVoter(other.self)
	}
	return committed && len(members) == len(c.ids)
}

// awaitRepaired waits until all nodes are voters again.
func (c *cluster) awaitRepaired() error {
	limit := time.Now().Add(recoveryTimeout)
	for !c.isRepaired() {
		if time.Now().After(limit) {
			return errors.Errorf("not repaired after %v: %s", recoveryTimeout, c.describe())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (c *cluster) describe() string {
	text := ""
	for _, id := range c.ids {
		if n := c.net.node(id); n != nil {
			text += fmt.Sprintf("%+v; ", n.Status())
		}
	}
	return text
}

// replaceDisk restarts a node with another disk and keeps the one that it had.
func (c *cluster) replaceDisk(id string, d *disktest.Disk) {
	c.disks[id].Unmount()
	c.halt(id)
	c.replacedDisks[id] = c.disks[id]
	c.disks[id] = d
	d.SetFaults(disktest.Faults{SyncDelay: c.net.delay})
	c.start(id)
}

// step is one randomly generated fault and the pause after it.
type step struct {
	fault string
	node  int
	other int
	pause time.Duration
}

func (c *cluster) inject(s step) {
	id := c.ids[s.node%len(c.ids)]
	other := c.ids[s.other%len(c.ids)]
	switch s.fault {
	case "crash":
		c.disks[id].Crash(c.random.IntN)
		c.halt(id)
	case "kill":
		c.disks[id].Unmount()
		c.halt(id)
	case "wipe":
		if !c.isRepaired() {
			return
		}
		c.wipes++
		c.replaceDisk(id, disktest.New())
	case "put back":
		if c.replacedDisks[id] != nil && c.isRepaired() {
			c.replaceDisk(id, c.replacedDisks[id])
		}
	case "start":
		if c.down[id] {
			c.start(id)
		}
	case "cut":
		c.net.withLock(func() { c.net.blocked[[2]string{id, other}] = true })
	case "isolate":
		c.net.withLock(func() {
			for _, x := range c.ids {
				c.net.blocked[[2]string{id, x}] = true
				c.net.blocked[[2]string{x, id}] = true
			}
		})
	case "heal":
		c.net.withLock(func() { clear(c.net.blocked) })
	case "freeze":
		c.net.withLock(func() { c.net.frozen[id] = true })
	case "thaw":
		c.net.withLock(func() { c.net.frozen[id] = false })
	}
	time.Sleep(s.pause)
}

// healAndVerify ends all faults, waits until all nodes are voters and checks that they
// have applied the same commands.
func (c *cluster) healAndVerify() error {
	c.net.withLock(func() {
		clear(c.net.blocked)
		clear(c.net.frozen)
	})
	for _, id := range c.ids {
		if c.down[id] {
			c.start(id)
		}
	}
	if err := c.awaitRepaired(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for _, id := range c.ids {
		if got, want := c.states[id].read(), c.states[c.ids[0]].read(); got != want {
			return errors.Errorf("%s holds %q and %s holds %q", id, got, c.ids[0], want)
		}
	}
	return nil
}

func (c *cluster) stop() {
	for _, id := range c.ids {
		c.halt(id)
	}
	time.Sleep(2 * time.Second) // longer than the timeout of duplicate messages
}
