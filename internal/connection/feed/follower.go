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
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// defaultFeeds is the number of control VMs that are followed at once: one may be
	// lost and another be cut off from the leader without a gap.
	defaultFeeds = 3
	// silence is how long a feed may say nothing before another one is followed.
	silence = 3 * KeepaliveInterval
	// outsideQuorum is how long a control VM without a leader is followed. Elections
	// take up to a second.
	outsideQuorum = 1500 * time.Millisecond
	// retryPause is the time between two tries of one slot.
	retryPause = 150 * time.Millisecond
)

// Sink takes what feeds tell. Its methods are called from several tasks.
type Sink interface {
	// Declaration gives a declaration; an older one than the one in force must be
	// ignored.
	Declaration(d *chicoryv1.Declaration, from string)
	Targets(list *chicoryv1.TargetList)
	// Fresh says that the list that was given last is still the platform's.
	Fresh()
	// Version returns the declared version in force.
	Version() uint64
	// Shared gives what the other entry VMs share through the leader.
	Shared(o Others)
	// Places gives places of prompts that a control VM knows, which leads or not.
	Places(places []*chicoryv1.PromptPlace, fromLeader bool)
	// Share returns what this entry VM shares: all of its loads and uses, and the places
	// since the last call, or the latest ones if anew says that the receiver knows none.
	// It returns nil if there is nothing to share.
	Share(anew bool) *chicoryv1.ShareRequest
}

// FollowerOptions are what a Follower needs. All but Self and Feeds are required.
type FollowerOptions struct {
	// ID names this VM.
	ID     string
	Seeds  []string // peer addresses
	Client *http.Client
	Sink   Sink
	Logger *logging.Logger
	// Self is the peer address of this process, which is not followed; empty for entry VMs.
	Self string
	// Feeds is the number of control VMs that are followed at once; 0 means the default.
	// The first of them is the leader, once it is known.
	Feeds int
}

// Follower follows several control VMs at once.
type Follower struct {
	opts FollowerOptions

	mu sync.Mutex // guards the fields below
	// known are the addresses of control VMs: the seeds and those that feeds named.
	known []string
	// followed are those in use by a slot.
	followed map[string]bool
	// failed says when the last try of an address failed.
	failed map[string]time.Time
	// leader is the peer address of the leading control VM, empty if none is known.
	leader string
}

// NewFollower returns a follower that doesn't follow yet.
func NewFollower(opts FollowerOptions) *Follower {
	if opts.Feeds == 0 {
		opts.Feeds = defaultFeeds
	}
	return &Follower{
		opts:     opts,
		known:    slices.Clone(opts.Seeds),
		followed: map[string]bool{},
		failed:   map[string]time.Time{},
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var slots sync.WaitGroup
	for i := range f.opts.Feeds {
		slots.Go(func() { f.runSlot(ctx, i == 0) })
	}
	slots.Go(func() { f.share(ctx) })
	slots.Wait()
}

// Followed returns the number of control VMs that are followed or tried at the moment.
func (f *Follower) Followed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.followed)
}

// AddSeeds makes further addresses known, as after a reload.
func (f *Follower) AddSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(seeds)
}

// learn adds addresses. The caller holds mu.
func (f *Follower) learn(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(f.known, a) {
			f.known = append(f.known, a)
		}
	}
}

// runSlot follows one control VM after the other. One slot keeps to the leader.
func (f *Follower) runSlot(ctx context.Context, keepsToLeader bool) {
	for ctx.Err() == nil {
		if address, ok := f.take(); ok {
			told, err := f.follow(ctx, address, keepsToLeader)
			f.release(address)
			if ctx.Err() == nil && told {
				f.opts.Logger.Warn(logging.FeedLost, logging.Fields{"control": address, "reason": err})
			}
		}
		pause.For(ctx, retryPause)
	}
}

// take reserves the leader's address, or the one that failed the longest ago, or never.
func (f *Follower) take() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free []string
	for _, a := range f.known {
		if !f.followed[a] && a != f.opts.Self {
			free = append(free, a)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	if slices.Contains(free, f.leader) && time.Since(f.failed[f.leader]) > silence {
		f.followed[f.leader] = true
		return f.leader, true
	}
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	best := slices.MinFunc(free, func(a, b string) int { return f.failed[a].Compare(f.failed[b]) })
	f.followed[best] = true
	return best, true
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.followed, address)
	f.failed[address] = time.Now()
}

var (
	errSilentFeed    = errors.New("the feed is silent")
	errOutsideQuorum = errors.New("the control VM hears no leader")
	errNotLeader     = errors.New("another control VM leads")
)

// follow reads one feed to its end. told reports whether it said anything.
func (f *Follower) follow(ctx context.Context, address string, keepsToLeader bool) (told bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilentFeed) })
	defer watchdog.Stop()
	client := chicoryv1connect.NewFeedServiceClient(f.opts.Client, peer.PlainURL(address), peer.Uncompressed)
	stream, err := client.Follow(ctx, connect.NewRequest(&chicoryv1.FollowRequest{
		EntryId: f.opts.ID, DeclaredVersion: f.opts.Sink.Version(),
	}))
	if err != nil {
		return false, errors.Trace(err)
	}
	defer func() { _ = stream.Close() }()
	inQuorum := time.Now()
	known := &accumulated{}
	for stream.Receive() {
		watchdog.Reset(silence)
		if !told {
			told = true
			f.opts.Logger.Info(logging.FeedFound, logging.Fields{"control": address})
		}
		m := stream.Msg()
		f.deliver(m, known, address)
		if keepsToLeader && f.mustChange(address) {
			return false, errNotLeader
		}
		if m.GetInQuorum() {
			inQuorum = time.Now()
		} else if time.Since(inQuorum) > outsideQuorum {
			return told, errOutsideQuorum
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return told, cause
	}
	return told, errors.Trace(stream.Err())
}

// deliver tells the sink what a message says; known has what the messages before it
// said.
func (f *Follower) deliver(m *chicoryv1.FollowResponse, known *accumulated, from string) {
	f.note(m)
	if len(m.GetPlaces()) > 0 {
		// Before the declaration, with which requests begin.
		f.opts.Sink.Places(m.GetPlaces(), m.GetLeads())
	}
	if m.GetDeclaration() != nil {
		f.opts.Sink.Declaration(m.GetDeclaration(), from)
	}
	if known.takeTargets(m) {
		f.opts.Sink.Targets(known.list)
	}
	if m.GetListIsFresh() {
		f.opts.Sink.Fresh()
	}
	if m.GetLeads() {
		known.takeLoads(m)
		f.opts.Sink.Shared(Others{Loads: known.loadList(), Uses: m.GetUses(), Entries: int(m.GetEntries())})
	}
}

// note takes in what a control VM says of the others.
func (f *Follower) note(m *chicoryv1.FollowResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(m.GetControlAddresses())
	if m.GetLeader() != "" {
		f.leader = m.GetLeader()
	}
}

// mustChange reports whether the slot at address leaves the leader unfollowed.
func (f *Follower) mustChange(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader != "" && f.leader != f.opts.Self && f.leader != address && !f.followed[f.leader] && time.Since(f.failed[f.leader]) > silence
}
