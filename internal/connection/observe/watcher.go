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

// reconcileInterval is how often the set of tasks is compared with the configuration.
const reconcileInterval = 200 * time.Millisecond

// Options are what a watcher works with.
type Options struct {
	Holder *config.Holder
	Table  *Table
	// Pool has the connections that requests use too. A poll without an answer
	// makes the next request to its target dial anew, so that a connection that went
	// silent is replaced.
	Pool *target.Pool
	// Platform gives the platform's list; nil means there is none.
	Platform chicoryv1connect.PlatformServiceClient
	Settings Settings
}

// Watcher runs one task per target of the configuration in force, and one for
// the platform's list.
type Watcher struct {
	opts  Options
	tasks sync.WaitGroup
	// running has the end of each target's task; only Run's goroutine uses it.
	running map[string]context.CancelFunc
}

// NewWatcher returns a watcher that does nothing until Run.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{opts: opts, running: map[string]context.CancelFunc{}}
}

// Run watches until ctx ends, and returns when all tasks have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer w.tasks.Wait()
	if w.opts.Platform != nil {
		w.tasks.Go(func() { w.watchPlatform(ctx) })
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

// reconcile starts tasks for new targets and ends those of removed ones.
func (w *Watcher) reconcile(ctx context.Context, view *config.View) {
	for _, t := range view.Raw().GetTargets() {
		if _, ok := w.running[t.GetAddress()]; ok {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		w.running[t.GetAddress()] = cancel
		kind := view.Service(t.GetService()).GetKind()
		w.tasks.Go(func() { w.watchTarget(taskCtx, t.GetAddress(), kind) })
	}
	for address, cancel := range w.running {
		if view.Target(address) == nil {
			cancel()
			delete(w.running, address)
			w.opts.Table.Forget(address)
		}
	}
}

// watchTarget polls one target's load and listens to its cache events.
func (w *Watcher) watchTarget(ctx context.Context, address string, kind chicoryv1.ServiceKind) {
	var listening sync.WaitGroup
	defer listening.Wait()
	if kind == chicoryv1.ServiceKind_SERVICE_KIND_MODEL {
		listening.Go(func() { w.listen(ctx, address) })
	}
	for {
		w.poll(ctx, address)
		if !pause.For(ctx, w.opts.Settings.PollInterval.Std()) {
			return
		}
	}
}
