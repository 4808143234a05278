// Package consensus keeps one replicated log among the control VMs and applies
// its committed commands to a state machine on each of them.
//
// A command is committed once a quorum of voters has it in its synced log. A
// voter is a data folder, not a VM: each folder has a random incarnation, and
// answers of another incarnation than the member's are not counted, so that a
// VM whose disk was lost never votes as its former self. It comes back as a
// learner and replaces its former incarnation once it has caught up.
//
// One goroutine serves each peer: it sends what the role of the moment asks for
// (votes, entries, a snapshot, heartbeats), one message at a time. One goroutine
// writes the leader's proposals, many in one sync; one applies; one keeps the
// time; one joins.
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

// Node is one replica.
//
// Two locks order its work. io is held over every change of term, vote and log
// together with the write that makes it durable, so there is one writer at a
// time. mu guards the fields below it and is never held over the disk or the
// network. io is taken before mu. On a follower, memory changes after the disk;
// a leader's new entries are in memory before they are synced, and count for
// its own part of a quorum only up to synced.
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

	io ioLock

	mu sync.Mutex
	// peers has a task for each other member, seed and replica that asked to join.
	peers  []*peerTask
	random *rand.Rand
	failed error // kind StorageFailed, or that the node was stopped

	term   uint64
	vote   replica // vote of this term
	log    entryLog
	synced uint64 // last index that is durable here
	commit uint64
	// applied is the last index that the state machine holds.
	applied  uint64
	snapshot uint64                  // index of the newest snapshot
	restore  *chicoryv1.SnapshotFile // installed, not yet given to the state machine
	incoming *incomingSnapshot

	role             Role
	leader           replica
	leaderContact    time.Time // last message of the leader
	electionDeadline time.Time
	campaign         *campaign
	changed          chan struct{} // closed when role, term or leader changes
	// epoch ends with the role or the campaign, and with it their messages.
	epoch       context.Context
	cancelEpoch context.CancelFunc

	// Of the leader.
	progress   map[replica]*progress
	queue      []*proposal // not yet in the log
	waiting    map[uint64]*proposal
	termStart  uint64 // index of the entry that opened the term
	round      uint64 // last round of heartbeats that a read asked for
	barriers   []*barrier
	joining    map[string]replica // by member ID
	writeSince time.Time          // start of the write under way; zero when none
}

// Start opens the data folder and begins to take part. It fails with the kind
// StorageFailed when the folder's files are damaged.
func Start(o Options) (*Node, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{
		options:   o,
		logger:    o.Logger,
		random:    o.Rand,
		io:        newIOLock(),
		writeWake: newSignal(),
		applyWake: newSignal(),
		role:      Follower,
		changed:   make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.epoch, n.cancelEpoch = context.WithCancel(n.ctx)
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
		n.ensurePeer(m)
	}
	n.followMembership()
	n.mu.Unlock()
	n.goTask(n.runWriter)
	n.goTask(n.runApplier)
	n.goTask(n.runClock)
	n.goTask(n.runJoiner)
}

func (n *Node) goTask(f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
}

// Stop ends all tasks and closes the files. Waiting callers are answered with
// the kind NoQuorum, since their command may still be committed by others.
func (n *Node) Stop() {
	n.mu.Lock()
	if n.failed == nil {
		n.failed = errStopped()
	}
	n.stepDown()
	n.mu.Unlock()
	n.cancel()
	n.tasks.Wait()
	_ = n.io.lock(context.Background())
	defer n.io.unlock()
	n.storage.close()
}

// newIncarnation draws the identity of a data folder.
func newIncarnation(r *rand.Rand) string {
	var b [16]byte
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return hex.EncodeToString(b[:])
}
