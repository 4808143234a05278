package main

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/forwardertest"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
	"github.com/chicoryswitch/chicoryswitch/internal/process/consensus"
)

const (
	clusterSize  = 3
	startTimeout = 20 * time.Second
	pollInterval = time.Millisecond
)

// countingMachine is a state machine that keeps the number of applied commands and
// the last one.
type countingMachine struct {
	count atomic.Uint64
	last  atomic.Pointer[[]byte]
}

// Apply implements consensus.StateMachine.
func (s *countingMachine) Apply(_ uint64, command []byte) any {
	s.last.Store(&command)
	return s.count.Add(1)
}

// Snapshot implements consensus.StateMachine.
func (s *countingMachine) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, s.count.Load()), nil
}

// Restore implements consensus.StateMachine.
func (s *countingMachine) Restore(b []byte) error {
	s.count.Store(binary.LittleEndian.Uint64(b))
	return nil
}

// replica is the consensus node of one control VM with its connections.
type replica struct {
	node   *consensus.Node
	client *peer.Client
	server *peer.Server
}

// stop stops a replica without notifying the others. They only see their connections
// close, which the replicated log does not use as a signal.
func (r *replica) stop() {
	_ = r.server.Close()
	r.node.Stop()
	_ = r.client.Close()
}

// replicaCluster is a set of replicas. A stopped replica is nil.
type replicaCluster struct {
	folder          string
	seed            uint64
	snapshotEntries int
	members         []consensus.Member // with the addresses that the other members dial
	listen          []string
	keys            []*peer.Credentials
	replicas        []*replica
	forwarders      []*forwardertest.Forwarder // count the traffic; empty unless countTraffic is set
}

// clusterOptions are the options of one replicaCluster.
type clusterOptions struct {
	name            string // of its data folder
	snapshotEntries int    // entries between two snapshots; 0 means the default
	countTraffic    bool
}

// startReplicaCluster starts a cluster and waits until it has a leader.
func startReplicaCluster(b *benchmark, o clusterOptions) (*replicaCluster, error) {
	c := &replicaCluster{
		folder:          filepath.Join(b.folder, o.name),
		seed:            b.seed,
		snapshotEntries: o.snapshotEntries,
		replicas:        make([]*replica, clusterSize),
	}
	authority, err := certs.OpenAuthority(filepath.Join(c.folder, "keys"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for i := range clusterSize {
		if err := c.prepareReplica(authority, i, o.countTraffic); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range clusterSize {
		if err := c.startReplica(i); err != nil {
			return nil, errors.Trace(err)
		}
	}
	_, err = c.awaitLeader()
	return c, errors.Trace(err)
}

// prepareReplica issues the keys of replica i and assigns its addresses.
func (c *replicaCluster) prepareReplica(authority *certs.Authority, i int, countTraffic bool) error {
	id := string(rune('a' + i))
	files, err := authority.Issue(peer.Identity{ID: id, Role: peer.RoleControl})
	if err != nil {
		return errors.Trace(err)
	}
	keys, err := peer.LoadCredentials(files)
	if err != nil {
		return errors.Trace(err)
	}
	listen, err := freeAddress()
	if err != nil {
		return errors.Trace(err)
	}
	address := listen
	if countTraffic {
		f, err := forwardertest.Start(listen)
		if err != nil {
			return errors.Trace(err)
		}
		c.forwarders = append(c.forwarders, f)
		address = f.Address()
	}
	c.keys = append(c.keys, keys)
	c.listen = append(c.listen, listen)
	c.members = append(c.members, consensus.Member{ID: id, Address: address})
	return nil
}

// freeAddress returns a loopback address whose UDP port is free.
func freeAddress() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// startReplica starts replica i from the files in its data folder.
func (c *replicaCluster) startReplica(i int) error {
	client := peer.NewClient(c.keys[i])
	node, err := consensus.Start(consensus.Options{
		ID:              c.members[i].ID,
		Members:         c.members,
		DataFolder:      c.dataFolder(i),
		Transport:       consensus.NewPeerTransport(client),
		StateMachine:    &countingMachine{},
		Rand:            rand.New(rand.NewPCG(c.seed, uint64(i))),
		SnapshotEntries: c.snapshotEntries,
	})
	if err != nil {
		return errors.Trace(err)
	}
	mux := http.NewServeMux()
	mux.Handle(node.Handler())
	server, err := peer.Listen(c.listen[i], c.keys[i], mux)
	if err != nil {
		node.Stop()
		return errors.Trace(err)
	}
	c.replicas[i] = &replica{node: node, client: client, server: server}
	return nil
}

func (c *replicaCluster) dataFolder(i int) string {
	return filepath.Join(c.folder, c.members[i].ID)
}

func (c *replicaCluster) stopReplica(i int) {
	c.replicas[i].stop()
	c.replicas[i] = nil
}

func (c *replicaCluster) stop() {
	for i, r := range c.replicas {
		if r != nil {
			c.stopReplica(i)
		}
	}
	for _, f := range c.forwarders {
		f.Close()
	}
	_ = os.RemoveAll(c.folder)
}

// awaitLeader waits for a leader that has confirmed its quorum, and returns its index.
func (c *replicaCluster) awaitLeader() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for i, r := range c.replicas {
			if r != nil && r.node.ReadBarrier(ctx) == nil {
				return i, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.New("no replica became leader in time")
}
