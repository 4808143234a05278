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

// state keeps the last command and the number of commands.
type state struct {
	count atomic.Uint64
	last  atomic.Pointer[[]byte]
}

func (s *state) Apply(_ uint64, command []byte) any {
	s.last.Store(&command)
	return s.count.Add(1)
}

func (s *state) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, s.count.Load()), nil
}

func (s *state) Restore(b []byte) error {
	s.count.Store(binary.LittleEndian.Uint64(b))
	return nil
}

// replica is one control VM.
type replica struct {
	node   *consensus.Node
	client *peer.Client
	server *peer.Server
}

// stop ends a replica without a word to the others; they see only connections
// that close, which the log makes no use of.
func (r *replica) stop() {
	_ = r.server.Close()
	r.node.Stop()
	_ = r.client.Close()
}

// cluster is a set of replicas. A replica that was stopped is nil.
type cluster struct {
	folder          string
	seed            uint64
	snapshotEntries int
	members         []consensus.Member // with the addresses that the others dial
	listen          []string
	keys            []*peer.Credentials
	replicas        []*replica
	counters        []*forwardertest.Forwarder // set when traffic is counted
}

type clusterOptions struct {
	name            string
	snapshotEntries int
	countTraffic    bool
}

func startCluster(r *run, o clusterOptions) (*cluster, error) {
	c := &cluster{
		folder:          filepath.Join(r.folder, o.name),
		seed:            r.seed,
		snapshotEntries: o.snapshotEntries,
		replicas:        make([]*replica, clusterSize),
	}
	authority, err := certs.OpenAuthority(filepath.Join(c.folder, "keys"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for i := range clusterSize {
		if err := c.prepare(authority, i, o.countTraffic); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for i := range clusterSize {
		if err := c.start(i); err != nil {
			return nil, errors.Trace(err)
		}
	}
	_, err = c.awaitLeader()
	return c, errors.Trace(err)
}

func (c *cluster) prepare(authority *certs.Authority, i int, countTraffic bool) error {
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
		c.counters = append(c.counters, f)
		address = f.Address()
	}
	c.keys = append(c.keys, keys)
	c.listen = append(c.listen, listen)
	c.members = append(c.members, consensus.Member{ID: id, Address: address})
	return nil
}

func freeAddress() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

func (c *cluster) start(i int) error {
	client := peer.NewClient(c.keys[i])
	node, err := consensus.Start(consensus.Options{
		ID:              c.members[i].ID,
		Members:         c.members,
		DataFolder:      c.dataFolder(i),
		Transport:       consensus.NewPeerTransport(client),
		StateMachine:    &state{},
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

func (c *cluster) dataFolder(i int) string {
	return filepath.Join(c.folder, c.members[i].ID)
}

func (c *cluster) stopOne(i int) {
	c.replicas[i].stop()
	c.replicas[i] = nil
}

func (c *cluster) stop() {
	for i, r := range c.replicas {
		if r != nil {
			c.stopOne(i)
		}
	}
	for _, f := range c.counters {
		f.Close()
	}
	_ = os.RemoveAll(c.folder)
}

// awaitLeader returns the replica that leads with a quorum.
func (c *cluster) awaitLeader() (int, error) {
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
	return 0, errors.New("no leader")
}
