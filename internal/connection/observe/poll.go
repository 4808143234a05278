package observe

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// poll asks the target once for its load.
func (w *Watcher) poll(ctx context.Context, address string) {
	s := w.opts.Table.State(address)
	begin := time.Now()
	s.Sample(begin)
	pollCtx, cancel := context.WithTimeout(ctx, w.opts.Settings.PollTimeout.Std())
	defer cancel()
	client := w.opts.Pool.Clients(address).Target
	resp, err := client.Load(pollCtx, connect.NewRequest(&chicoryv1.LoadRequest{}))
	switch {
	case err == nil:
		s.SetReport(reportOf(resp.Msg, time.Now()))
	case connect.IsWireError(err):
		s.PollAnswered()
	case ctx.Err() == nil:
		s.PollFailed(begin)
		w.opts.Pool.Drop(address)
	}
}

// reportOf turns a load report that arrived at now into a Report.
func reportOf(m *chicoryv1.LoadResponse, now time.Time) Report {
	return Report{
		Version:  m.GetVersion(),
		Load:     int(m.GetRunning() + m.GetQueued()),
		Capacity: int(m.GetCapacity()),
		Leaving:  m.GetLeaving(),
		TakenAt:  now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

// listen follows the target's cache events until ctx ends. The target may have
// restarted with an empty cache while the stream was down, so a new stream
// counts as a gap.
func (w *Watcher) listen(ctx context.Context, address string) {
	for {
		w.follow(ctx, address)
		w.shorten(address)
		if !pause.For(ctx, w.opts.Settings.PollInterval.Std()) {
			return
		}
	}
}

// follow reads one stream of cache events to its end.
func (w *Watcher) follow(ctx context.Context, address string) {
	client := w.opts.Pool.Clients(address).Engine
	stream, err := client.CacheEvents(ctx, connect.NewRequest(&chicoryv1.CacheEventsRequest{Replica: address}))
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	last := uint64(0)
	for stream.Receive() {
		last = w.applyEvent(address, stream.Msg(), last)
	}
}

// applyEvent applies one event and returns its sequence number.
func (w *Watcher) applyEvent(address string, e *chicoryv1.CacheEventsResponse, last uint64) uint64 {
	if last > 0 && e.GetSequence() != last+1 {
		w.shorten(address)
	}
	if e.GetEvicted() {
		w.opts.Table.Hints.Remove(e.GetPrefixHash(), address)
	} else {
		w.opts.Table.Hints.Add(e.GetPrefixHash(), address, time.Now())
	}
	return e.GetSequence()
}

func (w *Watcher) shorten(address string) {
	w.opts.Table.Hints.Shorten(address, w.opts.Settings.GapLifetime.Std(), time.Now())
}

// watchPlatform reads the platform's list until ctx ends. A read that fails
// leaves what was known in force.
func (w *Watcher) watchPlatform(ctx context.Context) {
	for {
		w.readPlatform(ctx)
		if !pause.For(ctx, w.opts.Settings.PlatformInterval.Std()) {
			return
		}
	}
}

func (w *Watcher) readPlatform(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, w.opts.Settings.PollTimeout.Std())
	defer cancel()
	resp, err := w.opts.Platform.ListVMs(readCtx, connect.NewRequest(&chicoryv1.ListVMsRequest{}))
	if err != nil {
		return
	}
	w.opts.Table.ApplyPlatformList(resp.Msg.GetVms())
}
