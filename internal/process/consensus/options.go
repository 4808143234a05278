package consensus

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Default values of Options.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultSnapshotEntries   = 10_000
)

// Size limits of one message or one disk write.
const (
	// MaxCommandBytes is the size of the largest command that Propose accepts.
	MaxCommandBytes    = 8 << 20
	maxBatchBytes      = 512 << 10
	maxBatchEntries    = 4096
	snapshotChunkBytes = 512 << 10
)

// Member is the ID of a control VM and the IP:port of its peer listener.
type Member struct {
	ID, Address string
}

// StateMachine is the state that the log replicates. Its methods are called from one
// goroutine, in log order.
type StateMachine interface {
	// Apply applies one committed command and returns the result for its proposer. It
	// must be deterministic: time, randomness and order come from the command, so that
	// every replica reaches the same state.
	Apply(index uint64, command []byte) any
	// Snapshot returns the complete state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
}

// Options are the settings of a Node. ID, DataFolder, Transport and StateMachine
// are required, and either Members or Seeds.
type Options struct {
	ID      string
	Members []Member
	// Seeds are peer addresses of other control VMs, for use without Members. The ID of
	// each member is then its peer address, and the members are those in the log.
	Seeds []string
	// MayFound allows this replica to bootstrap the cluster together with the other
	// seeds. It must be false once the cluster has been bootstrapped anywhere: seeds that
	// lost their disks could otherwise bootstrap a second cluster.
	MayFound     bool
	DataFolder   string
	Transport    Transport
	StateMachine StateMachine
	// Logger receives log events; nil discards them.
	Logger *logging.Logger
	// Rand generates election timeouts and the incarnation; nil means a random seed.
	Rand *rand.Rand
	// ElectionTimeout is the minimum time without a leader after which a follower
	// campaigns; the randomized time is at most twice as long. A leader without
	// responses from a quorum for twice this time steps down.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries int
	// FS is the file system of the data folder; nil means that of the operating system.
	FS disk.FS
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	if o.Rand == nil {
		o.Rand = randomSource()
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.FS == nil {
		o.FS = disk.OS{}
	}
	return o
}

// randomSource returns a generator with a random seed.
func randomSource() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // documented never to return an error
	return rand.New(rand.NewPCG(
		binary.LittleEndian.Uint64(seed[:8]),
		binary.LittleEndian.Uint64(seed[8:]),
	))
}

func (o Options) validate() error {
	if o.DataFolder == "" || o.Transport == nil || o.StateMachine == nil {
		return fault.New(fault.SettingsInvalid, "consensus: data folder, transport and state machine are required")
	}
	if len(o.Members) == 0 {
		return o.validateSeeds()
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		if m.ID == "" || seen[m.ID] {
			return fault.New(fault.SettingsInvalid, "consensus: member ID %q is empty or not unique", m.ID)
		}
		seen[m.ID] = true
	}
	if !seen[o.ID] {
		return fault.New(fault.SettingsInvalid, "consensus: the ID of this VM, %q, is not among the members", o.ID)
	}
	return nil
}

// discoversMembers reports whether the members come from the log and not from the
// settings.
func (o Options) discoversMembers() bool {
	return len(o.Members) == 0
}

func (o Options) validateSeeds() error {
	if len(o.Seeds) == 0 {
		return fault.New(fault.SettingsInvalid, "consensus: members or seeds are required")
	}
	for _, address := range append([]string{o.ID}, o.Seeds...) {
		if !isPeerAddress(address) {
			return fault.New(fault.SettingsInvalid, "consensus: peer address %q is not an IP:port", address)
		}
	}
	return nil
}

func isPeerAddress(id string) bool {
	_, err := netip.ParseAddrPort(id)
	return err == nil
}
