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

// reopenDelay is the time between two attempts to open a data folder after a failure,
// for example while its disk is full.
const reopenDelay = 500 * time.Millisecond

// replica runs this VM's replica of the log. When its disk fails, the replica is
// stopped and opened again, which reads the durable state. Meanwhile the process keeps
// running and serves what needs no disk.
type replica struct {
	options consensus.Options
	id      string
	log     *logging.Logger

	mu      sync.Mutex // guards the fields below
	node    *consensus.Node
	machine *state.Machine
	handler http.Handler
	// latest is the latest declaration that any replica of this process has applied. It
	// remains available while the disk fails.
	latest  *chicoryv1.Declaration
	changed chan struct{} // closed when node or latest changes
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
			r.log.Error(logging.StorageFailed, logging.Fields{"reason": err, "retry": reopenDelay})
		} else {
			r.watchDeclarations(ctx)
			r.close()
		}
		pause.For(ctx, reopenDelay)
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
	r.notifyChanged()
	return nil
}

// watchDeclarations records each new declaration until ctx ends or the replica fails.
func (r *replica) watchDeclarations(ctx context.Context) {
	ticker := time.NewTicker(reopenDelay)
	defer ticker.Stop()
	for {
		latest, changed := r.machine.Declaration()
		r.setLatest(latest)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if err := r.node.Status().Err; err != nil {
				return
			}
		}
	}
}

func (r *replica) setLatest(d *chicoryv1.Declaration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.GetVersion() <= r.latest.GetVersion() {
		return
	}
	r.latest = d
	r.notifyChanged()
	r.log.Info(logging.DeclarationApplied, logging.Fields{"version": d.GetVersion(), "stored_bytes": proto.Size(d)})
}

// notifyChanged wakes all waiters on changed. The caller holds mu.
func (r *replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *replica) close() {
	r.mu.Lock()
	node := r.node
	r.node, r.machine, r.handler = nil, nil, nil
	r.notifyChanged()
	r.mu.Unlock()
	node.Stop()
}

// current returns the running node and its state machine. It fails with kind
// StorageFailed while there are none.
func (r *replica) current() (*consensus.Node, *state.Machine, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node == nil {
		return nil, nil, fault.New(fault.StorageFailed, "the data folder can't be opened")
	}
	return r.node, r.machine, nil
}

// ServeHTTP serves the requests of the other replicas.
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

// declaration returns the latest declaration known to this process, and a channel that
// is closed at the next change.
func (r *replica) declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest, r.changed
}

// members returns the peer addresses of the members and of the leader, which is empty
// if none is known, and whether this VM is the leader.
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
