package feed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// defaultFeeds is the default number of control VMs that are followed at once. With
	// three, updates continue without a gap when one control VM fails and another is cut
	// off from the leader.
	defaultFeeds = 3
	// feedTimeout is the time without a message after which a feed is abandoned.
	feedTimeout = observe.MaxFeedDelay
	// noLeaderTimeout is the time for which a control VM without a leader is followed. An
	// election takes up to one second.
	noLeaderTimeout = 1500 * time.Millisecond
	// slotDelay is the delay between the starts of two slots. The first messages of a feed
	// carry the whole list of targets, and all feeds together fill the link of an entry VM.
	slotDelay = 250 * time.Millisecond
	// retryDelay is the delay between two connection attempts of one slot.
	retryDelay = 150 * time.Millisecond
)

// Sink receives the updates of all followed feeds. Its methods are called concurrently.
type Sink interface {
	// ApplyDeclaration applies a declaration received from the control VM with the given
	// address. It must ignore a declaration that is older than the current one.
	ApplyDeclaration(d *chicoryv1.Declaration, from string)
	// SetTargets is called with the target list of a feed when the list changes, and when it was
	// read again without a change. Another feed may have passed a later reading.
	SetTargets(list *chicoryv1.TargetList, reading observe.Reading)
	// ConfirmTargets is called when the control VM of a feed has read its list recently.
	ConfirmTargets()
	// DeclaredVersion returns the version of the current declaration.
	DeclaredVersion() uint64
	// SetRemoteState replaces what the other entry VMs share through the leader.
	SetRemoteState(o RemoteState)
	// AddPromptLocations adds prompt locations known to a control VM. fromLeader
	// reports whether that VM is the leader.
	AddPromptLocations(locations []*chicoryv1.PromptPlace, fromLeader bool)
	// MergeSuspects adds what a control VM knows about parts of prompts that may crash
	// engines. fromLeader reports whether that VM is the leader.
	MergeSuspects(suspects []*chicoryv1.SuspectPart, fromLeader bool)
	// LocalState returns the state that this entry VM shares: all of its loads, usage and waiting streams, what
	// others know of it, the permits that it wants, and the prompt locations, suspect parts and limits of targets
	// added since the last call. If all is set, the receiver has none of this entry VM yet, and
	// the latest locations, all suspect parts and all limits are returned instead. The result
	// is nil if there is nothing to share.
	LocalState(all bool) *chicoryv1.ShareRequest
}

// FollowerOptions configures a Follower. All fields except SelfAddress and FeedCount are
// required.
type FollowerOptions struct {
	// ID identifies this VM.
	ID     string
	Seeds  []string // peer addresses
	Client *http.Client
	Sink   Sink
	Logger *logging.Logger
	// SelfAddress is the peer address of this process, which is not followed; empty for
	// entry VMs.
	SelfAddress string
	// FeedCount is the number of control VMs that are followed at once; 0 means the
	// default. One of them is the leader, once it is known.
	FeedCount int
}

// Follower follows the feeds of several control VMs at once.
type Follower struct {
	opts FollowerOptions

	mu sync.Mutex // guards the fields below
	// addresses are the known control VMs: the seeds and those named by feeds.
	addresses []string
	// followed contains the addresses in use by a slot.
	followed map[string]bool
	// lastFailure is the time at which a slot last stopped following an address.
	lastFailure map[string]time.Time
	// leader is the peer address of the leader, empty if unknown.
	leader string
	// peers holds the other entry VMs that the sink knows, by ID.
	peers map[string]Peer
}

// NewFollower returns a follower. It starts to follow with Run.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.FeedCount == 0 {
		opts.FeedCount = defaultFeeds
	}
	return &Follower{
		opts:        opts,
		addresses:   slices.Clone(opts.Seeds),
		followed:    map[string]bool{},
		lastFailure: map[string]time.Time{},
	}
}

// Run follows control VMs and shares the local state until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var slots sync.WaitGroup
	for i := range f.opts.FeedCount {
		slots.Go(func() {
			if pause.For(ctx, time.Duration(i)*slotDelay) {
				f.runSlot(ctx, i == 0)
			}
		})
	}
	slots.Go(func() { f.shareLocalState(ctx) })
	slots.Wait()
}

// FollowedCount returns the number of control VMs that are currently followed or being
// connected to.
func (f *Follower) FollowedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.followed)
}

// AddSeeds adds seed addresses, for example after a reload of the settings.
func (f *Follower) AddSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addAddresses(seeds)
}

// addAddresses adds control VM addresses. The caller holds mu.
func (f *Follower) addAddresses(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(f.addresses, a) {
			f.addresses = append(f.addresses, a)
		}
	}
}

// runSlot follows one control VM at a time. The slot with leaderSlot set switches to the
// leader when no slot follows it.
func (f *Follower) runSlot(ctx context.Context, leaderSlot bool) {
	for ctx.Err() == nil {
		if address, ok := f.reserve(); ok {
			received, err := f.follow(ctx, address, leaderSlot)
			f.release(address)
			if ctx.Err() == nil && received {
				f.opts.Logger.Warn(logging.FeedLost, logging.Fields{"control": address, "reason": err})
			}
		}
		pause.For(ctx, retryDelay)
	}
}

// reserve reserves an address for one slot: that of the leader unless it failed recently,
// otherwise one that never failed or whose last failure is the oldest.
func (f *Follower) reserve() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free []string
	for _, a := range f.addresses {
		if !f.followed[a] && a != f.opts.SelfAddress {
			free = append(free, a)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	if slices.Contains(free, f.leader) && time.Since(f.lastFailure[f.leader]) > feedTimeout {
		f.followed[f.leader] = true
		return f.leader, true
	}
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	best := slices.MinFunc(free, func(a, b string) int { return f.lastFailure[a].Compare(f.lastFailure[b]) })
	f.followed[best] = true
	return best, true
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.followed, address)
	f.lastFailure[address] = time.Now()
}

var (
	errFeedTimeout = errors.New("no message from the feed before the timeout")
	errNoLeader    = errors.New("the control VM has no contact with a leader")
	errNotLeader   = errors.New("another control VM leads")
)

// follow receives one feed until it ends or is abandoned. received reports whether to log
// the loss: there was a message, and the slot did not leave the feed for the leader's.
func (f *Follower) follow(ctx context.Context, address string, leaderSlot bool) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(feedTimeout, func() { cancel(errFeedTimeout) })
	defer watchdog.Stop()
	client := chicoryv1connect.NewFeedServiceClient(f.opts.Client, peer.PlainURL(address), peer.Uncompressed, peer.ReadLimit)
	stream, err := client.Follow(ctx, connect.NewRequest(&chicoryv1.FollowRequest{
		EntryId: f.opts.ID, DeclaredVersion: f.opts.Sink.DeclaredVersion(), KnowsEngineNumbers: true, KnowsPartialLists: true,
	}))
	if err != nil {
		return false, errors.Trace(err)
	}
	defer func() { _ = stream.Close() }()
	lastInQuorum := time.Now()
	state := &feedState{}
	for stream.Receive() {
		watchdog.Reset(feedTimeout)
		if !received {
			received = true
			f.opts.Logger.Info(logging.FeedFound, logging.Fields{"control": address})
		}
		m := stream.Msg()
		if err := f.deliver(m, state, address); err != nil {
			return received, err
		}
		if leaderSlot && f.mustSwitchToLeader(address) {
			return false, errNotLeader
		}
		if m.GetInQuorum() {
			lastInQuorum = time.Now()
		} else if time.Since(lastInQuorum) > noLeaderTimeout {
			return received, errNoLeader
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return received, cause
	}
	return received, errors.Trace(stream.Err())
}

// deliver passes the updates of a message to the sink. state is accumulated from the
// previous messages of the same feed.
func (f *Follower) deliver(m *chicoryv1.FollowResponse, state *feedState, from string) error {
	f.updateMembers(m, state)
	if len(m.GetPlaces()) > 0 {
		// Locations and suspect parts are delivered before the declaration, because the sink
		// starts to serve requests once it has a declaration.
		f.opts.Sink.AddPromptLocations(m.GetPlaces(), m.GetLeads())
	}
	if len(m.GetSuspects()) > 0 {
		f.opts.Sink.MergeSuspects(m.GetSuspects(), m.GetLeads())
	}
	if m.GetDeclaration() != nil {
		f.opts.Sink.ApplyDeclaration(m.GetDeclaration(), from)
	}
	now := time.Now()
	if state.applyTargets(m, now) {
		f.opts.Sink.SetTargets(state.list, state.reading)
	}
	if m.GetListIsFresh() {
		f.opts.Sink.ConfirmTargets()
	}
	if m.GetLeads() {
		if err := state.applyLoads(m); err != nil {
			return errors.Annotatef(err, "feed of control VM %s", from)
		}
		state.applyEntryVMs(m, now)
		f.opts.Sink.SetRemoteState(RemoteState{
			Loads: state.loadList(), Uses: m.GetUses(), Waiting: m.GetWaiting(), Limits: m.GetLimits(), Speeds: m.GetSpeeds(),
			EntryVMs: int(m.GetEntries()), Peers: f.updatePeers(m, state, now),
		})
	}
	return nil
}

// updateMembers adds the control VMs named in a message and updates the leader. A message
// that names none, of a VM that knows one, confirms the last one: another feed may have named
// an earlier leader in the meantime.
func (f *Follower) updateMembers(m *chicoryv1.FollowResponse, state *feedState) {
	if m.GetLeader() != "" {
		state.leader = m.GetLeader()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addAddresses(m.GetControlAddresses())
	if m.GetInQuorum() && state.leader != "" {
		f.leader = state.leader
	}
}

// mustSwitchToLeader reports whether the slot that follows address must switch to the
// leader: it is another VM, no slot follows it, and it did not fail recently.
func (f *Follower) mustSwitchToLeader(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader != "" && f.leader != f.opts.SelfAddress && f.leader != address && !f.followed[f.leader] && time.Since(f.lastFailure[f.leader]) > feedTimeout
}
