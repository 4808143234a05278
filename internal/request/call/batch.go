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

// Bounds of the pause before a batch without an answer is sent again.
const (
	minBatchPause = 5 * time.Millisecond
	maxBatchPause = 200 * time.Millisecond
)

// batcher sends items in batches. Items that arrive while every batch in flight
// waits for its answer make up the next one.
type batcher[R any] struct {
	settings BatchSettings
	send     func(context.Context, []*chicoryv1.Claim) ([]R, error)
	queue    chan *batchItem[R]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// batchItem is one claim that waits for its result.
type batchItem[R any] struct {
	ctx    context.Context
	claim  *chicoryv1.Claim
	result chan R // buffered, for one result
}

func newBatcher[R any](s BatchSettings, send func(context.Context, []*chicoryv1.Claim) ([]R, error)) *batcher[R] {
	ctx, cancel := context.WithCancel(context.Background())
	b := &batcher[R]{
		settings: s,
		send:     send,
		queue:    make(chan *batchItem[R], s.MaxBatch),
		ctx:      ctx,
		cancel:   cancel,
	}
	for range s.InFlight {
		b.tasks.Go(b.run)
	}
	return b
}

func (b *batcher[R]) stop() {
	b.cancel()
	b.tasks.Wait()
}

// do queues a claim and waits for its result.
func (b *batcher[R]) do(ctx context.Context, c *chicoryv1.Claim) (R, error) {
	item := &batchItem[R]{ctx: ctx, claim: c, result: make(chan R, 1)}
	var none R
	select {
	case b.queue <- item:
	case <-ctx.Done():
		return none, unavailable(ctx)
	case <-b.ctx.Done():
		return none, unavailable(b.ctx)
	}
	select {
	case r := <-item.result:
		return r, nil
	case <-ctx.Done():
		return none, unavailable(ctx)
	case <-b.ctx.Done():
		return none, unavailable(b.ctx)
	}
}

func unavailable(ctx context.Context) error {
	return fault.New(fault.LedgerUnavailable, "the leader did not answer: %s", ctx.Err())
}

// run sends one batch after another.
func (b *batcher[R]) run() {
	for {
		select {
		case first := <-b.queue:
			b.deliver(b.collect(first))
		case <-b.ctx.Done():
			return
		}
	}
}

// collect adds what is queued to the first item.
func (b *batcher[R]) collect(first *batchItem[R]) []*batchItem[R] {
	items := []*batchItem[R]{first}
	size := len(first.claim.GetPayload())
	for len(items) < b.settings.MaxBatch && size < b.settings.MaxBatchBytes {
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

// deliver sends items until they are answered or nobody waits for them.
func (b *batcher[R]) deliver(items []*batchItem[R]) {
	for wait := minBatchPause; ; wait = min(2*wait, maxBatchPause) {
		if items = waiting(items); len(items) == 0 {
			return
		}
		results, err := b.try(items)
		if err == nil {
			for i, item := range items {
				item.result <- results[i]
			}
			return
		}
		if !pause.For(b.ctx, wait) {
			return
		}
	}
}

// try sends items once.
func (b *batcher[R]) try(items []*batchItem[R]) ([]R, error) {
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
		return nil, errors.Errorf("%d results for %d claims", len(results), len(items))
	}
	return results, nil
}

// waiting returns the items whose callers still wait.
func waiting[R any](items []*batchItem[R]) []*batchItem[R] {
	left := items[:0]
	for _, i := range items {
		if i.ctx.Err() == nil {
			left = append(left, i)
		}
	}
	return left
}
