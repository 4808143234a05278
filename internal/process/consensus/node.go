// Package consensus replicates a log among the control VMs and applies its
// committed commands to a state machine on each of them. The protocol is Raft
// with pre-votes, learners and membership changes of one voter at a time.
//
// A command is committed once a quorum of voters has synced it to its log. A
// voter is a data folder, not a VM: each folder has a random incarnation ID, and
// responses from an incarnation other than the member's are not counted, so a VM
// whose disk was lost never votes under its previous identity. It rejoins as a
// learner and replaces its previous incarnation once it has caught up.
//
// One goroutine per peer sends the messages that the current role requires
// (vote requests, entries, snapshots, heartbeats), one at a time. Other
// goroutines write the leader's proposals, with one sync per batch; apply
// committed entries; check the election and leadership timeouts; and ask to join
// the cluster.
package consensus

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Node is one replica of the log.
//
// It has two locks. writeMu is held during every change of term, vote or log,
// together with the write that makes the change durable, so there is one writer
// at a time. mu guards the fields below it and is never held during disk or
// network I/O. writeMu is locked before mu. A follower updates memory after the
// disk. A leader appends new entries in memory before they are synced, and counts
// itself towards a quorum only up to syncedIndex.
type Node struct {
	options Options
	logger  *logging.Logger
	self    replica
	storage *storage
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	writeWake signal
	applyWake signal

	writeMu contextMutex

	mu sync.Mutex
	// peers has a sender for each other member, seed and replica that asked to join.
	peers   []*peerSender
	random  *rand.Rand
	failure error // why the node takes no part any more: kind StorageFailed, or stopped

	term        uint64
	vote        replica // vote in the current term; zero when none
	log         entryLog
	syncedIndex uint64 // index of the last entry that is durable on this replica
	commitIndex uint64
	// appliedIndex is the index of the last entry applied to the state machine.
	appliedIndex   uint64
	snapshotIndex  uint64                  // index of the newest snapshot
	pendingRestore *chicoryv1.SnapshotFile // installed snapshot that the state machine has yet to restore
	incoming       *incomingSnapshot

	role              Role
	leader            replica
	leaderContact     time.Time // time of the last message from the leader
	electionDeadline  time.Time
	campaign          *campaign
	leadershipChanged chan struct{} // closed and replaced when the role or leader changes
	// roleCtx is canceled when the role or campaign ends, which cancels its messages.
	roleCtx       context.Context
	cancelRoleCtx context.CancelFunc

	// Used only by a leader:
	progress       map[replica]*progress
	proposalQueue  []*proposal // not yet appended to the log
	pending        map[uint64]*proposal
	termStartIndex uint64 // index of the first entry of the leader's term
	readRound      uint64 // newest heartbeat round started for a read
	pendingReads   []*pendingRead
	joinRequests   map[string]replica // by member ID
	writeStart     time.Time          // start of the current disk write; zero when none
}

// Start opens the data folder and starts the replica. It fails with the kind
// StorageFailed when files in the folder are damaged.
func Start(o Options) (*Node, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{
		options:           o,
		logger:            o.Logger,
		random:            o.Rand,
		writeMu:           newContextMutex(),
		writeWake:         newSignal(),
		applyWake:         newSignal(),
		role:              Follower,
		leadershipChanged: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.roleCtx, n.cancelRoleCtx = context.WithCancel(n.ctx)
	if err := n.open(); err != nil {
		n.cancel()
		return nil, errors.Trace(err)
	}
	n.resetElectionDeadline(time.Now())
	n.startTasks()
	return n, nil
}

func (n *Node) startTasks() {
	n.mu.Lock()
	for _, m := range n.options.Members {
		n.ensurePeerSender(m)
	}
	n.syncPeerSenders()
	n.mu.Unlock()
	n.goTask(n.runWriter)
	n.goTask(n.runApplier)
	n.goTask(n.runTimers)
	n.goTask(n.runJoiner)
}

func (n *Node) goTask(f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
}

// Stop ends all goroutines and closes the files. Commands that are already in the log
// fail with the kind NoQuorum, since the other replicas may still commit them.
func (n *Node) Stop() {
	n.mu.Lock()
	if n.failure == nil {
		n.failure = errStopped()
	}
	n.stepDown()
	n.mu.Unlock()
	n.cancel()
	n.tasks.Wait()
	_ = n.writeMu.lock(context.Background())
	defer n.writeMu.unlock()
	n.storage.close()
}

// newIncarnation generates the random ID of a data folder.
func newIncarnation(r *rand.Rand) string {
	var b [16]byte
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return hex.EncodeToString(b[:])
}
