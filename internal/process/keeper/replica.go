package keeper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/consensus"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
)

// reopenPause is the time between two tries to open a data folder that failed, as
// while its disk is full.
const reopenPause = 500 * time.Millisecond

// replica runs this VM's replica of the log. When its disk fails, the replica is
// stopped and opened again, which reads what is durable; the process goes on and
// serves what needs no disk.
type replica struct {
	options consensus.Options
	id      string
	log     *logging.Logger

	mu      sync.Mutex // guards the fields below
	node    *consensus.Node
	machine *state.Machine
	handler http.Handler
	// newest is the newest declaration that a replica of this process had applied. It
	// stays known while the disk fails.
	newest  *chicoryv1.Declaration
	changed chan struct{} // closed when node or newest changes
}

func newReplica(s Settings, fs disk.FS, log *logging.Logger) *replica {
	id := s.OperatorAddress.WithPort(s.PeerPort)
	return &replica{
		id:  id,
		log: log,
		options: consensus.Options{
			ID:         id,
			Seeds:      settings.WithPort(s.Seeds, s.PeerPort),
			MayFound:   s.MayFound,
			DataFolder: s.DataFolder,
			Transport:  consensus.NewPlainTransport(peer.NewPlainClient()),
			Logger:     log,
			FS:         fs,
		},
		changed: make(chan struct{}),
	}
}

// run keeps a replica open until ctx ends.
func (r *replica) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.open(); err != nil {
			r.log.Error(logging.StorageFailed, logging.Fields{"reason": err, "retry": reopenPause})
		} else {
			r.follow(ctx)
			r.close()
		}
		pause.For(ctx, reopenPause)
	}
}

func (r *replica) open() error {
	machine := state.New(ledger.DefaultSettings())
	o := r.options
	o.StateMachine = machine
	node, err := consensus.Start(o)
	if err != nil {
		return errors.Trace(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node, r.machine = node, machine
	_, r.handler = node.PlainHandler()
	r.signal()
	return nil
}

// follow notes each declaration, until ctx ends or the replica fails.
func (r *replica) follow(ctx context.Context) {
	ticker := time.NewTicker(reopenPause)
	defer ticker.Stop()
	for {
		newest, changed := r.machine.Declaration()
		r.note(newest)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if err := r.node.Status().Failed; err != nil {
				return
			}
		}
	}
}

func (r *replica) note(d *chicoryv1.Declaration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.GetVersion() <= r.newest.GetVersion() {
		return
	}
	r.newest = d
	r.signal()
	r.log.Info(logging.DeclarationApplied, logging.Fields{"version": d.GetVersion(), "stored_bytes": proto.Size(d)})
}

// signal tells that something changed. The caller holds mu.
func (r *replica) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *replica) close() {
	r.mu.Lock()
	node := r.node
	r.node, r.machine, r.handler = nil, nil, nil
	r.signal()
	r.mu.Unlock()
	node.Stop()
}

// current returns the running replica. It fails with the kind StorageFailed while
// there is none.
func (r *replica) current() (*consensus.Node, *state.Machine, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node == nil {
		return nil, nil, fault.New(fault.StorageFailed, "the data folder can't be opened")
	}
	return r.node, r.machine, nil
}

// ServeHTTP serves the other replicas.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	h := r.handler
	r.mu.Unlock()
	if h == nil {
		http.Error(w, "the data folder can't be opened", http.StatusServiceUnavailable)
		return
	}
	h.ServeHTTP(w, req)
}

// declaration returns the newest declaration known here, and a channel that closes
// at the next change.
func (r *replica) declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest, r.changed
}

// members returns the peer addresses of the members and of the leader, empty if none
// is heard, and whether this VM leads.
func (r *replica) members() (addresses []string, leader string, leads bool) {
	node, _, err := r.current()
	if err != nil {
		return nil, "", false
	}
	s := node.Status()
	for _, m := range s.Members {
		addresses = append(addresses, m.ID)
	}
	return addresses, s.LeaderID, s.Role == consensus.Leader
}
