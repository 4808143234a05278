package call

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// Bounds of the backoff before a batch that got no response is sent again.
const (
	minBatchBackoff = 5 * time.Millisecond
	maxBatchBackoff = 200 * time.Millisecond
)

// batcher sends claims to the leader in batches. Claims that arrive while the
// maximum number of batches is in flight are collected into the next batch.
type batcher[R any] struct {
	settings BatchSettings
	send     func(context.Context, []*chicoryv1.Claim) ([]R, error)
	queue    chan *batchItem[R]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// batchItem is a claim that waits for its result.
type batchItem[R any] struct {
	ctx    context.Context
	claim  *chicoryv1.Claim
	result chan R // has a buffer for the one result
}

func newBatcher[R any](s BatchSettings, send func(context.Context, []*chicoryv1.Claim) ([]R, error)) *batcher[R] {
	ctx, cancel := context.WithCancel(context.Background())
	b := &batcher[R]{
		settings: s,
		send:     send,
		queue:    make(chan *batchItem[R], s.MaxBatchClaims),
		ctx:      ctx,
		cancel:   cancel,
	}
	for range s.MaxBatchesInFlight {
		b.tasks.Go(b.run)
	}
	return b
}

// stop cancels the batches in flight and waits until the batcher's goroutines end.
func (b *batcher[R]) stop() {
	b.cancel()
	b.tasks.Wait()
}

// submit queues a claim and waits for its result.
func (b *batcher[R]) submit(ctx context.Context, c *chicoryv1.Claim) (R, error) {
	item := &batchItem[R]{ctx: ctx, claim: c, result: make(chan R, 1)}
	var zero R
	select {
	case b.queue <- item:
	case <-ctx.Done():
		return zero, ledgerUnavailable(ctx)
	case <-b.ctx.Done():
		return zero, ledgerUnavailable(b.ctx)
	}
	select {
	case r := <-item.result:
		return r, nil
	case <-ctx.Done():
		return zero, ledgerUnavailable(ctx)
	case <-b.ctx.Done():
		return zero, ledgerUnavailable(b.ctx)
	}
}

func ledgerUnavailable(ctx context.Context) error {
	return fault.New(fault.LedgerUnavailable, "the control leader did not respond: %s", ctx.Err())
}

// run sends batches, one at a time, until the batcher is stopped.
func (b *batcher[R]) run() {
	for {
		select {
		case first := <-b.queue:
			b.sendWithRetry(b.collect(first))
		case <-b.ctx.Done():
			return
		}
	}
}

// collect returns a batch of the first item and the queued items, within the
// limits of the settings. It does not wait for further items.
func (b *batcher[R]) collect(first *batchItem[R]) []*batchItem[R] {
	items := []*batchItem[R]{first}
	size := len(first.claim.GetPayload())
	for len(items) < b.settings.MaxBatchClaims && size < b.settings.MaxBatchBytes {
		select {
		case i := <-b.queue:
			items = append(items, i)
			size += len(i.claim.GetPayload())
		default:
			return items
		}
	}
	return items
}

// sendWithRetry sends items until they have results or no caller waits for them.
func (b *batcher[R]) sendWithRetry(items []*batchItem[R]) {
	for backoff := minBatchBackoff; ; backoff = min(2*backoff, maxBatchBackoff) {
		if items = pendingItems(items); len(items) == 0 {
			return
		}
		results, err := b.sendOnce(items)
		if err == nil {
			for i, item := range items {
				item.result <- results[i]
			}
			return
		}
		if !pause.For(b.ctx, backoff) {
			return
		}
	}
}

// sendOnce sends items in one request.
func (b *batcher[R]) sendOnce(items []*batchItem[R]) ([]R, error) {
	ctx, cancel := context.WithTimeout(b.ctx, b.settings.BatchTimeout)
	defer cancel()
	claims := make([]*chicoryv1.Claim, len(items))
	for i, item := range items {
		claims[i] = item.claim
	}
	results, err := b.send(ctx, claims)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(results) != len(items) {
		return nil, errors.Errorf("leader returned %d results for %d claims", len(results), len(items))
	}
	return results, nil
}

// pendingItems returns the items whose callers are still waiting. It reuses the
// memory of items.
func pendingItems[R any](items []*batchItem[R]) []*batchItem[R] {
	pending := items[:0]
	for _, i := range items {
		if i.ctx.Err() == nil {
			pending = append(pending, i)
		}
	}
	return pending
}
