// Package feed tells entry VMs what they need to serve: the declaration in force
// and the platform's list of targets. Every control VM offers the feed, whether it
// leads or not, and an entry VM follows several at once, so that the loss of one
// delays nothing.
package feed

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// KeepaliveInterval is the longest time between two messages of a feed. A follower
// that hears nothing for three of them goes elsewhere, well within the second or
// two that a change may take.
const KeepaliveInterval = 300 * time.Millisecond

// Source is what a feed tells. Each channel closes at the next change.
type Source interface {
	// Declaration may return nil before the first one.
	Declaration() (*chicoryv1.Declaration, <-chan struct{})
	// Targets returns the newest list, nil before the first one, and whether it was
	// read lately.
	Targets() (list *chicoryv1.TargetList, fresh bool, changed <-chan struct{})
	// Members returns the peer addresses of the control VMs, and whether this one
	// hears a leader.
	Members() (addresses []string, inQuorum bool)
}

// Server offers the feed of one source.
type Server struct {
	Source Source

	followers atomic.Int32
}

// Follow implements the feed service. It ends with ctx or when a send fails.
func (s *Server) Follow(ctx context.Context, req *connect.Request[chicoryv1.FollowRequest], stream *connect.ServerStream[chicoryv1.FollowResponse]) error {
	s.followers.Add(1)
	defer s.followers.Add(-1)
	keepalive := time.NewTicker(KeepaliveInterval)
	defer keepalive.Stop()
	f := following{version: req.Msg.GetDeclaredVersion()}
	for {
		message, changed, listChanged := f.next(s.Source)
		message.Followers = uint32(s.followers.Load())
		if err := stream.Send(message); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-listChanged:
		case <-keepalive.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// following is what one follower has been told.
type following struct {
	version uint64
	list    *chicoryv1.TargetList
}

// next returns the next message and what to wait for after it.
func (f *following) next(source Source) (m *chicoryv1.FollowResponse, changed, listChanged <-chan struct{}) {
	m = &chicoryv1.FollowResponse{}
	declaration, changed := source.Declaration()
	if declaration.GetVersion() > f.version {
		f.version = declaration.GetVersion()
		m.Declaration = declaration
	}
	list, fresh, listChanged := source.Targets()
	if list != f.list {
		f.list = list
		m.Targets = list
	}
	m.ListIsFresh = fresh
	m.ControlAddresses, m.InQuorum = source.Members()
	return m, changed, listChanged
}
