// Package feed tells entry VMs what they need to serve: the declaration in force
// and the platform's list of targets. Every control VM offers the feed, whether it
// leads or not, and an entry VM follows several at once, so that the loss of one
// delays nothing.
//
// The leader's feed also passes on what entry VMs share with each other: the load
// that they have put on engines, and where prompts were read. Loads are lost with the
// leader and shared anew with the next one; places are kept by all control VMs.
package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// KeepaliveInterval is the longest time between two messages of a feed. A follower
	// that hears nothing for three of them goes elsewhere, well within the second or
	// two that a change may take.
	KeepaliveInterval = 300 * time.Millisecond
	// ShareInterval is the time between two messages with shared loads. A prompt takes
	// an engine several times as long.
	ShareInterval = 100 * time.Millisecond
)

// Source is what a feed tells. Each channel closes at the next change.
type Source interface {
	// Declaration may return nil before the first one.
	Declaration() (*chicoryv1.Declaration, <-chan struct{})
	// Targets returns the newest list, nil before the first one, and whether it was
	// read lately.
	Targets() (list *chicoryv1.TargetList, fresh bool, changed <-chan struct{})
	// Members returns the peer addresses of the control VMs and of the leader, empty if
	// none is heard, and whether this one leads.
	Members() (addresses []string, leader string, leads bool)
}

// Server offers the feed of one source.
type Server struct {
	source Source
	board  *Board
}

// NewServer returns a server of source and of what is shared on board.
func NewServer(source Source, board *Board) *Server {
	return &Server{source: source, board: board}
}

// Share implements the feed service.
func (s *Server) Share(_ context.Context, req *connect.Request[chicoryv1.ShareRequest]) (*connect.Response[chicoryv1.ShareResponse], error) {
	s.board.Put(req.Msg, time.Now())
	return connect.NewResponse(&chicoryv1.ShareResponse{}), nil
}

// Follow implements the feed service. It ends with ctx or when a send fails.
func (s *Server) Follow(ctx context.Context, req *connect.Request[chicoryv1.FollowRequest], stream *connect.ServerStream[chicoryv1.FollowResponse]) error {
	f := &following{s: s, entry: req.Msg.GetEntryId(), version: req.Msg.GetDeclaredVersion()}
	tick := time.NewTicker(ShareInterval)
	defer tick.Stop()
	for {
		message, changed, listChanged := f.next()
		if message != nil {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-listChanged:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// following is what one follower has been told.
type following struct {
	s       *Server
	entry   string
	version uint64
	list    *chicoryv1.TargetList
	place   uint64
	// led: the message before was a leader's. loads is the board's version that its
	// loads were of, told what they were.
	led   bool
	loads uint64
	told  map[string]load
	// further and entries are the attempts and entry VMs that were told.
	further uint64
	entries int
	sentAt  time.Time
}

// next returns the next message, nil if there is nothing to tell yet, and what to
// wait for after it.
func (f *following) next() (m *chicoryv1.FollowResponse, changed, listChanged <-chan struct{}) {
	m = &chicoryv1.FollowResponse{}
	declaration, changed := f.s.source.Declaration()
	if declaration.GetVersion() > f.version {
		f.version = declaration.GetVersion()
		m.Declaration = declaration
	}
	list, fresh, listChanged := f.s.source.Targets()
	f.addTargets(m, list)
	m.ListIsFresh = fresh
	m.ControlAddresses, m.Leader, m.Leads = f.s.source.Members()
	m.InQuorum = m.GetLeader() != ""
	now := time.Now()
	shared := f.addPlaces(m)
	if f.addLoads(m, now) {
		shared = true
	}
	if m.Declaration == nil && m.Targets == nil && m.TargetChange == nil && !shared && now.Sub(f.sentAt) < KeepaliveInterval {
		return nil, changed, listChanged
	}
	f.sentAt = now
	return m, changed, listChanged
}

// addTargets adds the list, or what changed in it.
func (f *following) addTargets(m *chicoryv1.FollowResponse, list *chicoryv1.TargetList) {
	switch {
	case list == f.list:
	case f.list == nil:
		m.Targets = list
	default:
		m.TargetChange = targetChange(f.list, list)
	}
	f.list = list
}

// addPlaces adds the places that are new, which every control VM knows, and reports
// whether there are any.
func (f *following) addPlaces(m *chicoryv1.FollowResponse) bool {
	m.Places, f.place = f.s.board.PlacesSince(f.place)
	return len(m.GetPlaces()) > 0
}

// addLoads adds to a leader's message what the other entry VMs have at engines and sent
// to services, and reports whether there is something to tell at once. Requests alone
// are not: they only widen the retry bounds.
func (f *following) addLoads(m *chicoryv1.FollowResponse, now time.Time) bool {
	if !m.GetLeads() {
		f.led = false
		return false
	}
	if !f.led {
		f.led, f.loads, f.told, m.LoadsAreWhole = true, 0, map[string]load{}, true
	}
	others, version := f.s.board.Others(f.entry, f.loads, now)
	f.loads = version
	for _, l := range others.Loads {
		next := loadOf(l)
		if f.told[l.GetAddress()] == next {
			continue // only the follower's own part changed
		}
		f.told[l.GetAddress()] = next
		if next == (load{}) {
			delete(f.told, l.GetAddress())
		}
		m.Loads = append(m.Loads, l)
	}
	m.Uses, m.Entries = others.Uses, uint32(others.Entries)
	further := uint64(0)
	for _, u := range others.Uses {
		further += uint64(u.GetFurtherAttempts())
	}
	news := len(m.GetLoads()) > 0 || m.GetLoadsAreWhole() || further != f.further || others.Entries != f.entries
	f.further, f.entries = further, others.Entries
	return news
}
