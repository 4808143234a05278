package observe

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// poll requests one load report from the target.
func (w *Watcher) poll(ctx context.Context, address string) {
	s := w.opts.Table.State(address)
	start := time.Now()
	s.SampleInFlight(start)
	pollCtx, cancel := context.WithTimeout(ctx, w.opts.Settings.PollTimeout.Std())
	defer cancel()
	client := w.opts.Pool.Clients(address).Target
	resp, err := client.Load(pollCtx, connect.NewRequest(&chicoryv1.LoadRequest{}))
	switch {
	case err == nil:
		s.SetReport(newReport(resp.Msg, time.Now()))
	case connect.IsWireError(err):
		s.PollAnswered()
	case ctx.Err() == nil:
		s.PollFailed(start)
		w.opts.Pool.ReplaceConnections(address)
	}
}

// newReport converts a load report that was received at now.
func newReport(m *chicoryv1.LoadResponse, now time.Time) Report {
	return Report{
		Version:    m.GetVersion(),
		Load:       int(m.GetRunning() + m.GetQueued()),
		Capacity:   int(m.GetCapacity()),
		Leaving:    m.GetLeaving(),
		MeasuredAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

// watchCacheEvents receives the target's cache events until ctx is done and reconnects
// when the stream ends. The target may have restarted with an empty cache in the
// meantime, so a reconnect is treated like lost events.
func (w *Watcher) watchCacheEvents(ctx context.Context, address string) {
	for {
		w.receiveCacheEvents(ctx, address)
		w.limitHintLifetime(address)
		if !pause.For(ctx, w.opts.Settings.PollInterval.Std()) {
			return
		}
	}
}

// receiveCacheEvents receives cache events from one stream until it ends.
func (w *Watcher) receiveCacheEvents(ctx context.Context, address string) {
	client := w.opts.Pool.Clients(address).Engine
	stream, err := client.CacheEvents(ctx, connect.NewRequest(&chicoryv1.CacheEventsRequest{Replica: address}))
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	lastSequence := uint64(0)
	for stream.Receive() {
		lastSequence = w.applyEvent(address, stream.Msg(), lastSequence)
	}
}

// applyEvent updates the hints from event e and returns its sequence number.
// lastSequence is the sequence number of the previous event, 0 for the first one of a
// stream.
func (w *Watcher) applyEvent(address string, e *chicoryv1.CacheEventsResponse, lastSequence uint64) uint64 {
	if lastSequence > 0 && e.GetSequence() != lastSequence+1 {
		w.limitHintLifetime(address)
	}
	if e.GetEvicted() {
		w.opts.Table.Hints.Remove(e.GetPrefixHash(), address)
	} else {
		w.opts.Table.Hints.Add(e.GetPrefixHash(), address, time.Now())
	}
	return e.GetSequence()
}

// limitHintLifetime limits the lifetime of the target's hints after a possible loss of
// cache events.
func (w *Watcher) limitHintLifetime(address string) {
	w.opts.Table.Hints.LimitLifetime(address, w.opts.Settings.GapLifetime.Std(), time.Now())
}

// pollPlatform reads the platform's VM list periodically until ctx is done. When a read
// fails, the previous list stays in effect.
func (w *Watcher) pollPlatform(ctx context.Context) {
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
