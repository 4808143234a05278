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

// Bounds of a watch.
const (
	// watchSilence is how long a watch may be silent before another server is asked.
	watchSilence = 3 * watch.KeepaliveInterval
	watchPause   = 200 * time.Millisecond
	// lagTimeout is how long a watch may lack a committed revision before another
	// server is asked.
	lagTimeout = time.Second
)

// Watcher keeps a holder at the newest revision that its servers know.
type Watcher struct {
	peers    *peer.Client
	holder   *config.Holder
	routerID string
	servers  []chicoryv1connect.ControlServiceClient
	log      *logging.Logger
	// onApplied is called after each revision that came into force.
	onApplied func(revision uint64)

	mu     sync.Mutex         // guards the fields below
	cancel context.CancelFunc // ends the present watch
	lag    *time.Timer        // runs while a committed revision is expected
}

// NewWatcher returns a watcher of the servers at the addresses, which are relays
// or control VMs, asked in this order. p is for this watcher alone: its connection
// is replaced after a watch that went silent.
func NewWatcher(h *config.Holder, routerID string, addresses []string, p *peer.Client, log *logging.Logger, onApplied func(uint64)) *Watcher {
	w := &Watcher{peers: p, holder: h, routerID: routerID, log: log, onApplied: onApplied}
	for _, a := range addresses {
		w.servers = append(w.servers, chicoryv1connect.NewControlServiceClient(p.Client, peer.BaseURL(a)))
	}
	return w
}

// Run watches until ctx ends. While no server can be reached the configuration
// in force stays.
func (w *Watcher) Run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		err := w.watchOne(ctx, w.servers[i%len(w.servers)])
		if ctx.Err() != nil {
			return
		}
		w.log.Warn(logging.WatchLost, logging.Fields{"revision": w.revision(), "reason": err})
		w.peers.CloseIdleConnections()
		select {
		case <-time.After(watchPause):
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

// Expect tells the watcher which revision is committed. A watch that doesn't bring
// it within lagTimeout ends: its server may be cut off from the other control VMs
// and would never bring it.
func (w *Watcher) Expect(revision uint64) {
	if revision <= w.revision() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lag == nil {
		w.lag = time.AfterFunc(lagTimeout, func() { w.endLagging(revision) })
	}
}

// endLagging ends the present watch unless the revision has come.
func (w *Watcher) endLagging(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lag = nil
	if w.revision() < revision && w.cancel != nil {
		w.cancel()
	}
}

// begin notes how the present watch ends.
func (w *Watcher) begin(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
}

// watchOne reads one stream until it ends, or was silent too long.
func (w *Watcher) watchOne(ctx context.Context, s chicoryv1connect.ControlServiceClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.begin(cancel)
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
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
		silence.Reset(watchSilence)
		if err := w.apply(stream.Msg()); err != nil {
			return err
		}
	}
	return stream.Err()
}

// apply puts a pushed revision in force. An error ends the stream, so that the
// next one starts with a configuration that fits.
func (w *Watcher) apply(m *chicoryv1.WatchResponse) error {
	applied, err := false, error(nil)
	switch {
	case m.GetFull() != nil:
		applied, err = w.holder.ApplyFull(m.GetFull())
	case m.GetDelta() != nil:
		applied, err = w.holder.ApplyDelta(m.GetDelta())
	}
	if fault.Is(err, fault.PlanRejected) {
		w.log.Error(logging.ConfigurationStale, logging.Fields{"reason": err})
	}
	if applied {
		w.log.Info(logging.ConfigurationApplied, logging.Fields{"revision": w.revision()})
		w.onApplied(w.revision())
	}
	return err
}
