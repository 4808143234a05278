package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/watch"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Timing of watches.
const (
	// watchTimeout is the time without a message after which the next server is tried.
	watchTimeout = 3 * watch.KeepaliveInterval
	// watchRetryDelay is the delay before the next server is tried.
	watchRetryDelay = 200 * time.Millisecond
	// lagTimeout is the time after which the next server is tried if the watch has not
	// delivered a committed revision.
	lagTimeout = time.Second
)

// Watcher keeps a holder up to date with the latest revision of its servers.
type Watcher struct {
	peers    *peer.Client
	holder   *config.Holder
	routerID string
	servers  []chicoryv1connect.ControlServiceClient
	logger   *logging.Logger
	// onApplied is called after each applied revision.
	onApplied func(revision uint64)

	mu       sync.Mutex         // guards the fields below
	cancel   context.CancelFunc // ends the current watch
	lagTimer *time.Timer        // runs while waiting for a committed revision
}

// NewWatcher returns a watcher that tries the servers at addresses, which are relays or
// control VMs, in this order. peers must not be shared with other users: its connections
// are closed after every watch, because they may be dead.
func NewWatcher(h *config.Holder, routerID string, addresses []string, peers *peer.Client, logger *logging.Logger, onApplied func(uint64)) *Watcher {
	w := &Watcher{peers: peers, holder: h, routerID: routerID, logger: logger, onApplied: onApplied}
	for _, a := range addresses {
		w.servers = append(w.servers, chicoryv1connect.NewControlServiceClient(peers.Client, peer.BaseURL(a), peer.ReadLimit))
	}
	return w
}

// Run watches until ctx is done. The current configuration stays in effect while no
// server can be reached.
func (w *Watcher) Run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		err := w.receive(ctx, w.servers[i%len(w.servers)])
		if ctx.Err() != nil {
			return
		}
		w.logger.Warn(logging.WatchLost, logging.Fields{"revision": w.revision(), "reason": err})
		w.peers.CloseIdleConnections()
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
		}
	}
}

func (w *Watcher) revision() uint64 {
	if v := w.holder.Current(); v != nil {
		return v.Revision()
	}
	return 0
}

// ExpectRevision informs the watcher that a revision is committed. A watch that does not
// deliver it within lagTimeout is ended, because its server may be partitioned from the
// other control VMs and would never deliver it.
func (w *Watcher) ExpectRevision(revision uint64) {
	if revision <= w.revision() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lagTimer == nil {
		w.lagTimer = time.AfterFunc(lagTimeout, func() { w.cancelIfLagging(revision) })
	}
}

// cancelIfLagging ends the current watch unless the revision was applied.
func (w *Watcher) cancelIfLagging(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lagTimer = nil
	if w.revision() < revision && w.cancel != nil {
		w.cancel()
	}
}

// setCancel sets the function that ends the current watch.
func (w *Watcher) setCancel(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
}

// receive opens a watch at one server and applies its messages until it ends or the
// watchdog expires.
func (w *Watcher) receive(ctx context.Context, s chicoryv1connect.ControlServiceClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.setCancel(cancel)
	watchdog := time.AfterFunc(watchTimeout, cancel)
	defer watchdog.Stop()
	req := &chicoryv1.WatchRequest{RouterId: w.routerID, Revision: w.revision()}
	if v := w.holder.Current(); v != nil {
		req.ClusterId = v.Raw().GetClusterId()
	}
	stream, err := s.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(watchTimeout)
		if err := w.apply(stream.Msg()); err != nil {
			return err
		}
	}
	return stream.Err()
}

// apply applies the configuration in a message, if any. The caller ends the stream on an
// error, so that the next stream starts from the revision that the watcher has.
func (w *Watcher) apply(m *chicoryv1.WatchResponse) error {
	applied, err := false, error(nil)
	switch {
	case m.GetFull() != nil:
		applied, err = w.holder.ApplyFull(m.GetFull())
	case m.GetDelta() != nil:
		applied, err = w.holder.ApplyDelta(m.GetDelta())
	}
	if fault.Is(err, fault.PlanRejected) {
		w.logger.Error(logging.ConfigurationStale, logging.Fields{"reason": err})
	}
	if applied {
		w.logger.Info(logging.ConfigurationApplied, logging.Fields{"revision": w.revision()})
		w.onApplied(w.revision())
	}
	return err
}
