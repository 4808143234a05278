package observe

import (
	"context"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// reconcileInterval is the interval at which the set of monitored targets is compared
// with the configuration.
const reconcileInterval = 200 * time.Millisecond

// Options configures a Watcher.
type Options struct {
	Holder *config.Holder
	Table  *Table
	// Pool holds the connections to targets, which requests use as well. After a poll
	// without a response the next request to the target opens a new connection, so that a
	// dead connection is replaced.
	Pool *target.Pool
	// Platform provides the platform's VM list; nil means that there is none.
	Platform chicoryv1connect.PlatformServiceClient
	Settings Settings
}

// Watcher runs one goroutine per target of the current configuration, and one that reads
// the platform's VM list.
type Watcher struct {
	opts       Options
	goroutines sync.WaitGroup
	// cancels stops the goroutine of each target, by address. It is used only by the
	// goroutine that calls Run.
	cancels map[string]context.CancelFunc
}

// NewWatcher returns a watcher. Monitoring starts with Run.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{opts: opts, cancels: map[string]context.CancelFunc{}}
}

// Run monitors targets until ctx is done, and returns after all goroutines have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer w.goroutines.Wait()
	if w.opts.Platform != nil {
		w.goroutines.Go(func() { w.pollPlatform(ctx) })
	}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var applied *config.View
	for {
		if view := w.opts.Holder.Current(); view != applied {
			w.reconcile(ctx, view)
			applied = view
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts monitoring new targets and stops monitoring removed ones.
func (w *Watcher) reconcile(ctx context.Context, view *config.View) {
	for _, t := range view.Raw().GetTargets() {
		if _, ok := w.cancels[t.GetAddress()]; ok {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		w.cancels[t.GetAddress()] = cancel
		kind := view.Service(t.GetService()).GetKind()
		w.goroutines.Go(func() { w.watchTarget(taskCtx, t.GetAddress(), kind) })
	}
	for address, cancel := range w.cancels {
		if view.Target(address) == nil {
			cancel()
			delete(w.cancels, address)
			w.opts.Table.Remove(address)
		}
	}
}

// watchTarget polls the load of one target and, for a model, receives its cache events.
func (w *Watcher) watchTarget(ctx context.Context, address string, kind chicoryv1.ServiceKind) {
	var cacheEvents sync.WaitGroup
	defer cacheEvents.Wait()
	if kind == chicoryv1.ServiceKind_SERVICE_KIND_MODEL {
		cacheEvents.Go(func() { w.watchCacheEvents(ctx, address) })
	}
	for {
		w.poll(ctx, address)
		if !pause.For(ctx, w.opts.Settings.PollInterval.Std()) {
			return
		}
	}
}
