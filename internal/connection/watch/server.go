// Package watch streams configuration revisions to watchers: first a full
// configuration, unless the watcher already has a recent one, then deltas. Control VMs
// serve watches from their applied state. A router can relay its current configuration
// to other routers in its availability zone.
package watch

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// KeepaliveInterval is the maximum time between two messages of a watch.
const KeepaliveInterval = 3 * time.Second

// maxRecent is the number of recent configurations that are kept as the base of deltas
// for watchers that reconnect.
const maxRecent = 64

// Source provides the current configuration and signals the next one. A returned
// configuration is never modified, and revisions only increase.
type Source interface {
	// Configuration returns the current configuration, or nil before the first revision,
	// and a channel that is closed at the next change.
	Configuration() (*chicoryv1.Configuration, <-chan struct{})
}

// Server serves watches of one source. It is safe for concurrent use.
type Server struct {
	source Source

	mu     sync.Mutex // guards the fields below
	recent []*chicoryv1.Configuration
	delta  *chicoryv1.ConfigurationDelta // latest delta, shared by all watchers
}

// NewServer returns a server of watches of source.
func NewServer(source Source) *Server {
	return &Server{source: source}
}

// Watch sends the revisions after that of the watcher, and keepalives, until ctx is done
// or send fails. Revisions in quick succession may be combined into one message.
func (s *Server) Watch(ctx context.Context, req *chicoryv1.WatchRequest, send func(*chicoryv1.WatchResponse) error) error {
	keepalive := time.NewTicker(KeepaliveInterval)
	defer keepalive.Stop()
	sent := s.findRecent(req.GetRevision(), req.GetClusterId())
	for {
		current, changed := s.source.Configuration()
		if current != nil && current.GetClusterId() != "" && current != sent {
			if err := send(s.newMessage(sent, current)); err != nil {
				return err
			}
			sent = current
		}
		select {
		case <-changed:
		case <-keepalive.C:
			if err := send(&chicoryv1.WatchResponse{CommittedRevision: sent.GetRevision()}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// findRecent returns the configuration that a reconnecting watcher has, or nil if it is
// no longer kept.
func (s *Server) findRecent(revision uint64, clusterID string) *chicoryv1.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.recent {
		if c.GetRevision() == revision && c.GetClusterId() == clusterID {
			return c
		}
	}
	return nil
}

// newMessage returns the message that updates a watcher from base to next. If base is nil
// or not older than next, the message contains the full configuration, and the watcher
// decides by the revision whether to apply it.
func (s *Server) newMessage(base, next *chicoryv1.Configuration) *chicoryv1.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRecent(next)
	resp := &chicoryv1.WatchResponse{CommittedRevision: next.GetRevision()}
	if base == nil || base.GetRevision() >= next.GetRevision() {
		resp.Full = next
		return resp
	}
	if s.delta.GetBaseRevision() != base.GetRevision() || s.delta.GetChanged().GetRevision() != next.GetRevision() {
		s.delta = config.Diff(base, next)
	}
	resp.Delta = s.delta
	return resp
}

// addRecent adds next to the recent configurations unless it is already among them or
// older than the last one. The caller holds mu.
func (s *Server) addRecent(next *chicoryv1.Configuration) {
	if n := len(s.recent); n > 0 && s.recent[n-1].GetRevision() >= next.GetRevision() {
		return
	}
	s.recent = append(s.recent, next)
	if len(s.recent) > maxRecent {
		s.recent = append([]*chicoryv1.Configuration(nil), s.recent[1:]...)
	}
}
