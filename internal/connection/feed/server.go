// Package feed streams to entry VMs the state that they need to serve requests: the
// current declaration and the platform's list of targets. Every control VM serves the
// feed, not only the leader, and an entry VM follows several feeds at once, so that the
// loss of one control VM causes no delay.
//
// The leader's feed also distributes state that entry VMs share with each other: the load
// that they cause on engines, and the prompt locations, that is, which engine has
// processed a prompt, the parts of prompts that may crash engines, the limits that targets
// name with the permits for requests to them, estimates of how fast targets are, the peer
// addresses of entry VMs, and how many streams wait for engines. Loads, limits, estimates, addresses and waiting
// streams are lost with the leader and shared again with the next one; prompt locations and suspect parts are kept
// by all control VMs.
package feed

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
)

const (
	// KeepaliveInterval is the maximum time between two messages of a feed. A follower
	// that receives no message for three intervals switches to another control VM, well
	// within the one to two seconds that a change may take to arrive.
	KeepaliveInterval = 300 * time.Millisecond
	// maxTargetsPerMessage limits the first messages of a feed, about 20 KB: a list of
	// thousands of targets takes longer to receive than a follower waits for a message.
	maxTargetsPerMessage = 250
	// ShareInterval is the minimum interval between messages with shared loads. An engine
	// takes several times as long to process a prompt.
	ShareInterval = 100 * time.Millisecond
)

// Source provides the state that a feed sends. The returned channels are closed at the
// next change.
type Source interface {
	// Declaration returns the current declaration, or nil if there is none yet.
	Declaration() (*chicoryv1.Declaration, <-chan struct{})
	// Targets returns the latest list, or nil if there is none yet, and when it was read
	// from the platform.
	Targets() (list *chicoryv1.TargetList, reading observe.Reading, changed <-chan struct{})
	// Members returns the peer addresses of the control VMs, the peer address of the
	// leader (empty if this VM has no contact with one), and whether this VM is the
	// leader.
	Members() (addresses []string, leader string, leads bool)
}

// Server serves the feed of one source.
type Server struct {
	source      Source
	sharedState *SharedState
	changes     listChanges
}

// NewServer returns a server that sends the state of source and of sharedState.
func NewServer(source Source, sharedState *SharedState) *Server {
	return &Server{source: source, sharedState: sharedState}
}

// Share implements chicoryv1connect.FeedServiceHandler.
func (s *Server) Share(_ context.Context, req *connect.Request[chicoryv1.ShareRequest]) (*connect.Response[chicoryv1.ShareResponse], error) {
	s.sharedState.Update(req.Msg, time.Now())
	return connect.NewResponse(&chicoryv1.ShareResponse{}), nil
}

// Follow implements chicoryv1connect.FeedServiceHandler. It returns when ctx is done or
// sending fails.
func (s *Server) Follow(ctx context.Context, req *connect.Request[chicoryv1.FollowRequest], stream *connect.ServerStream[chicoryv1.FollowResponse]) error {
	f := &followerState{server: s, began: time.Now(), entryID: req.Msg.GetEntryId(), declaredVersion: req.Msg.GetDeclaredVersion()}
	f.numbers.enabled, f.knowsPartialLists = req.Msg.GetKnowsEngineNumbers(), req.Msg.GetKnowsPartialLists()
	ticker := time.NewTicker(ShareInterval)
	defer ticker.Stop()
	for {
		message, changed, listChanged := f.nextMessage()
		if message != nil {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
		if (len(f.unsentTargets) > 0 || f.moreEntryVMs) && ctx.Err() == nil {
			continue
		}
		select {
		case <-changed:
		case <-listChanged:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// followerState records what has been sent to one follower.
type followerState struct {
	server *Server
	// began is when the feed began.
	began           time.Time
	entryID         string
	declaredVersion uint64
	list            *chicoryv1.TargetList
	// sentReading is the reading that the follower knows.
	sentReading observe.Reading
	// unsentTargets is the part of list that was not sent yet.
	unsentTargets     []*chicoryv1.ListedTarget
	knowsPartialLists bool
	// nextLocation is the number of the first prompt location that was not sent yet.
	nextLocation uint64
	// suspectsVersion is the version up to which suspect parts were sent.
	suspectsVersion uint64
	// sentShared: the locations and suspect parts that were known when the feed began were
	// sent.
	sentShared bool
	// wasLeader reports whether the previous message was sent as leader. loadsVersion
	// is the version of the shared state up to which loads were sent, sentLoads the
	// loads that the follower knows, by engine address.
	wasLeader    bool
	loadsVersion uint64
	sentLoads    map[string]load
	// limitsVersion is the version up to which the limits of targets were sent.
	limitsVersion uint64
	// speedsVersion is the version up to which speed estimates were sent.
	speedsVersion uint64
	numbers       engineNumbers
	// sentWaiting: the previous message stated that streams wait.
	sentWaiting bool
	// entryVMsVersion is the version up to which changes of the entry VMs were sent;
	// moreEntryVMs reports whether some were left to the next message.
	entryVMsVersion uint64
	moreEntryVMs    bool
	// sentMembers and sentLeader are the members and the leader that the follower knows.
	sentMembers []string
	sentLeader  string
	// sentFurtherAttempts and sentEntryVMs are the numbers of further attempts and entry
	// VMs in the previous message.
	sentFurtherAttempts uint64
	sentEntryVMs        int
	sentAt              time.Time
}

// nextMessage returns the next message, or nil if there is nothing to send yet, and the
// channels that are closed when there is more to send.
func (f *followerState) nextMessage() (m *chicoryv1.FollowResponse, changed, listChanged <-chan struct{}) {
	m = &chicoryv1.FollowResponse{}
	declaration, changed := f.server.source.Declaration()
	if declaration.GetVersion() > f.declaredVersion {
		f.declaredVersion = declaration.GetVersion()
		m.Declaration = declaration
	}
	list, reading, listChanged := f.server.source.Targets()
	f.addTargets(m, list)
	if list != nil && list == f.list && !m.GetListContinues() {
		f.addReading(m, reading)
	}
	urgent := f.addMembers(m)
	now := time.Now()
	if f.addShared(m, now) {
		urgent = true
	}
	if f.addLoads(m, now) {
		urgent = true
	}
	if f.addLimits(m, now) {
		urgent = true
	}
	if f.addEntryVMs(m, now) {
		urgent = true
	}
	if f.addWaiting(m, now) {
		urgent = true
	}
	if f.addSpeeds(m, now) {
		urgent = true
	}
	if m.Declaration == nil && m.Targets == nil && m.TargetChange == nil && !urgent && now.Sub(f.sentAt) < KeepaliveInterval {
		return nil, changed, listChanged
	}
	f.sentAt = now
	return m, changed, listChanged
}

// addMembers adds the control VMs and the leader if they changed since the last message:
// repeated in each, they would be most of it.
func (f *followerState) addMembers(m *chicoryv1.FollowResponse) (changed bool) {
	addresses, leader, leads := f.server.source.Members()
	if !slices.Equal(addresses, f.sentMembers) {
		m.ControlAddresses, f.sentMembers, changed = addresses, addresses, true
	}
	if leader != f.sentLeader {
		m.Leader, f.sentLeader, changed = leader, leader, true
	}
	m.Leads, m.InQuorum = leads, leader != ""
	return changed
}

// addTargets adds the complete target list to the first messages to a follower and only
// the changes to later ones.
func (f *followerState) addTargets(m *chicoryv1.FollowResponse, list *chicoryv1.TargetList) {
	switch {
	case len(f.unsentTargets) > 0:
		m.TargetChange = &chicoryv1.TargetListChange{Set: f.nextTargets()}
	case list == f.list:
	case f.list != nil:
		m.TargetChange = f.server.changes.between(f.list, list)
		f.list = list
	case f.knowsPartialLists:
		f.list, f.unsentTargets = list, list.GetTargets()
		m.Targets = &chicoryv1.TargetList{Targets: f.nextTargets()}
	default:
		f.list, m.Targets = list, list
	}
	m.ListContinues = len(f.unsentTargets) > 0
}

// addReading adds when the list that the follower now has was read, if the follower doesn't know,
// and whether that was recently.
func (f *followerState) addReading(m *chicoryv1.FollowResponse, r observe.Reading) {
	now := time.Now()
	if age := now.Sub(r.Began); !observe.IsStale(f.list, age) {
		m.ListIsFresh, m.ListAgeMs = true, uint32(age.Milliseconds())
	}
	if r == f.sentReading {
		return
	}
	f.sentReading = r
	m.ListReading = &chicoryv1.ListReading{
		BeganMs:    r.Began.Sub(f.began).Milliseconds(),
		DurationMs: uint32(r.Ended.Sub(r.Began).Milliseconds()) + 1,
		SentMs:     uint64(now.Sub(f.began).Milliseconds()),
	}
}

// nextTargets removes and returns the next part of the list.
func (f *followerState) nextTargets() []*chicoryv1.ListedTarget {
	n := min(len(f.unsentTargets), maxTargetsPerMessage)
	part := f.unsentTargets[:n]
	f.unsentTargets = f.unsentTargets[n:]
	return part
}

// addShared adds the prompt locations and suspect parts that were not sent yet, and reports
// whether there are any. Every control VM has them, but while one leads, the others send
// only those that they have when the feed begins: a follower gets the rest from the leader,
// and from another control VM when that becomes the leader.
func (f *followerState) addShared(m *chicoryv1.FollowResponse, now time.Time) bool {
	if f.sentShared && m.GetInQuorum() && !m.GetLeads() {
		return false
	}
	f.sentShared = true
	m.Places, f.nextLocation = f.server.sharedState.PromptLocationsSince(f.nextLocation)
	m.Suspects, f.suspectsVersion = f.server.sharedState.SuspectsSince(f.suspectsVersion, now)
	return len(m.GetPlaces()) > 0 || len(m.GetSuspects()) > 0
}

// addLoads adds to a leader's message the loads that the other entry VMs cause on engines
// and their usage of services, and reports whether the message must be sent immediately.
// Request counts alone can wait for the next message, since they only raise the retry
// limits.
func (f *followerState) addLoads(m *chicoryv1.FollowResponse, now time.Time) bool {
	if !m.GetLeads() {
		f.wasLeader = false
		return false
	}
	if !f.wasLeader {
		f.wasLeader, f.loadsVersion, f.sentLoads, m.LoadsAreWhole = true, 0, map[string]load{}, true
		f.numbers.reset()
	}
	remote, version := f.server.sharedState.RemoteState(f.entryID, f.loadsVersion, now)
	f.loadsVersion = version
	for _, l := range remote.Loads {
		next := newLoad(l)
		if f.sentLoads[l.GetAddress()] == next {
			continue // only the load of the follower itself changed
		}
		f.sentLoads[l.GetAddress()] = next
		if next == (load{}) {
			delete(f.sentLoads, l.GetAddress())
		}
		f.numbers.shorten(l)
		m.Loads = append(m.Loads, l)
	}
	m.Uses, m.Entries = remote.Uses, uint32(remote.EntryVMs)
	attempts := uint64(0)
	for _, u := range remote.Uses {
		attempts += uint64(u.GetFurtherAttempts())
	}
	urgent := len(m.GetLoads()) > 0 || m.GetLoadsAreWhole() || attempts != f.sentFurtherAttempts || remote.EntryVMs != f.sentEntryVMs
	f.sentFurtherAttempts, f.sentEntryVMs = attempts, remote.EntryVMs
	return urgent
}

// addLimits adds to a leader's message the limits of targets that changed and the permits that
// are granted to the follower, and reports whether there are any.
func (f *followerState) addLimits(m *chicoryv1.FollowResponse, now time.Time) bool {
	if m.GetLeads() {
		m.Limits, f.limitsVersion = f.server.sharedState.limits.Grant(f.entryID, f.limitsVersion, now)
	}
	return len(m.GetLimits()) > 0
}

// addSpeeds adds to a leader's message the speed estimates that changed, up to a limit, and reports
// whether there are any. A follower ignores those of targets that it does not know, so they follow
// the list.
func (f *followerState) addSpeeds(m *chicoryv1.FollowResponse, now time.Time) bool {
	switch {
	case !m.GetLeads():
		f.speedsVersion = 0 // the follower may get others from another leader
	case f.list != nil && !m.GetListContinues():
		m.Speeds, f.speedsVersion = f.server.sharedState.speeds.ChangesSince(f.speedsVersion, now)
	}
	return len(m.GetSpeeds()) > 0
}

// addEntryVMs adds to a leader's message the changes of the entry VMs, or all of them if it
// also adds all loads, and reports whether there are any.
func (f *followerState) addEntryVMs(m *chicoryv1.FollowResponse, now time.Time) bool {
	if !m.GetLeads() {
		f.moreEntryVMs = false
		return false
	}
	if m.GetLoadsAreWhole() {
		f.entryVMsVersion, m.EntryVmsAreWhole = 0, true
	}
	c := f.server.sharedState.entryVMs.changesSince(f.entryVMsVersion, now)
	m.EntryVms, m.EntryVmsGone, f.entryVMsVersion, f.moreEntryVMs = c.set, c.gone, c.version, c.more
	return len(c.set)+len(c.gone) > 0
}
