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

// Defaults of Options.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultSnapshotEntries   = 10_000
)

// Bounds on what one message or one write carries.
const (
	// MaxCommandBytes is the largest command that Propose takes.
	MaxCommandBytes = 8 << 20
	maxBatchBytes   = 512 << 10
	maxBatchEntries = 4096
	chunkBytes      = 512 << 10
)

// Member is a control VM as the settings name it. Address is the IP:port of its
// peer listener.
type Member struct {
	ID, Address string
}

// StateMachine is what the log is applied to. Its methods are called from one
// goroutine, in the order of the log.
type StateMachine interface {
	// Apply applies one committed command; the result is handed to its proposer.
	// Time, randomness and order come from the command, so that every replica
	// comes to the same state.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Options are the settings of a Node. ID, DataFolder, Transport and StateMachine
// are required, and either Members or Seeds.
type Options struct {
	ID      string
	Members []Member
	// Seeds are peer addresses at which other control VMs may be found, where the
	// settings don't name the members. Then the ID of each member is its peer
	// address, and the log says who the members are.
	Seeds []string
	// MayFound allows this replica to found the cluster together with the other
	// seeds. It must be false once the cluster has been founded anywhere: a replica
	// that lost its disk would found a second one.
	MayFound     bool
	DataFolder   string
	Transport    Transport
	StateMachine StateMachine
	// Logger discards when it is nil.
	Logger *logging.Logger
	// Rand draws election timeouts and the incarnation; nil means a random seed.
	Rand *rand.Rand
	// ElectionTimeout is the least time without a leader after which a follower
	// campaigns; the drawn time is at most twice as long. A leader without an
	// answer from a quorum for twice this time steps down.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries int
	// FS is where the data folder lies; nil means the machine's file system.
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

func randomSource() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // never fails, by its documentation
	return rand.New(rand.NewPCG(
		binary.LittleEndian.Uint64(seed[:8]),
		binary.LittleEndian.Uint64(seed[8:]),
	))
}

func (o Options) check() error {
	if o.DataFolder == "" || o.Transport == nil || o.StateMachine == nil {
		return fault.New(fault.SettingsInvalid, "consensus: data folder, transport and state machine are required")
	}
	if len(o.Members) == 0 {
		return o.checkSeeds()
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		if m.ID == "" || seen[m.ID] {
			return fault.New(fault.SettingsInvalid, "consensus: member %q is unnamed or named twice", m.ID)
		}
		seen[m.ID] = true
	}
	if !seen[o.ID] {
		return fault.New(fault.SettingsInvalid, "consensus: this VM, %q, is not among the members", o.ID)
	}
	return nil
}

// findsMembers reports whether the log and not the settings says who the members are.
func (o Options) findsMembers() bool {
	return len(o.Members) == 0
}

func (o Options) checkSeeds() error {
	if len(o.Seeds) == 0 {
		return fault.New(fault.SettingsInvalid, "consensus: neither members nor seeds are given")
	}
	for _, address := range append([]string{o.ID}, o.Seeds...) {
		if !isPeerAddress(address) {
			return fault.New(fault.SettingsInvalid, "consensus: %q is not the IP:port of a peer", address)
		}
	}
	return nil
}

func isPeerAddress(id string) bool {
	_, err := netip.ParseAddrPort(id)
	return err == nil
}
