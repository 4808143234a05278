// Package watch pushes configuration revisions over open streams: whole ones to
// a watcher that has none, deltas afterwards. Control VMs serve watches from the
// applied state; a router can relay what it runs to others of its zone.
package watch

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// KeepaliveInterval is the longest time between two messages of a watch.
const KeepaliveInterval = 3 * time.Second

// maxRecent is how many recent configurations are kept for deltas to watchers
// that come back.
const maxRecent = 64

// Source has the configuration in force and tells of the next one. The
// configuration is not changed after it was returned; its revision only grows.
type Source interface {
	// Configuration may return nil before the first revision.
	Configuration() (*chicoryv1.Configuration, <-chan struct{})
}

// Server serves watches of one source. It is safe for concurrent use.
type Server struct {
	source Source

	mu     sync.Mutex // guards the fields below
	recent []*chicoryv1.Configuration
	delta  *chicoryv1.ConfigurationDelta // newest delta, shared by watchers
}

// NewServer returns a server for source.
func NewServer(source Source) *Server {
	return &Server{source: source}
}

// Watch sends every revision after the watcher's, and keepalives, until ctx
// ends or send fails. Revisions that follow each other closely may be joined.
func (s *Server) Watch(ctx context.Context, req *chicoryv1.WatchRequest, send func(*chicoryv1.WatchResponse) error) error {
	keepalive := time.NewTicker(KeepaliveInterval)
	defer keepalive.Stop()
	sent := s.findRecent(req.GetRevision(), req.GetClusterId())
	for {
		current, changed := s.source.Configuration()
		if current != nil && current.GetClusterId() != "" && current != sent {
			if err := send(s.message(sent, current)); err != nil {
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

// findRecent returns the configuration that a returning watcher runs, if it is
// still kept.
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

// message leads from base to next. A watcher that has no base, or a later one,
// gets the whole configuration and decides by its revision.
func (s *Server) message(base, next *chicoryv1.Configuration) *chicoryv1.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remember(next)
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

// remember keeps next among the recent configurations. The caller holds mu.
func (s *Server) remember(next *chicoryv1.Configuration) {
	if n := len(s.recent); n > 0 && s.recent[n-1].GetRevision() >= next.GetRevision() {
		return
	}
	s.recent = append(s.recent, next)
	if len(s.recent) > maxRecent {
		s.recent = append([]*chicoryv1.Configuration(nil), s.recent[1:]...)
	}
}
