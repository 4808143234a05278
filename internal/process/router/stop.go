package router

import (
	"context"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Bounds of a shutdown beside the drain timeout.
const (
	// balancerDelay is the time for the balancer to see that health fails while the
	// listener still accepts.
	balancerDelay = 500 * time.Millisecond
	closeTimeout  = 5 * time.Second
)

// Stop shuts down in order: health fails, new requests are refused as not run,
// every request that was accepted is finished, then connections close. Only
// requests that are open after the drain timeout are cut.
func (p *Process) Stop() {
	p.log.Info(logging.ProcessDraining, nil)
	p.monitor.Drain()
	p.draining.Store(true)
	p.reports.leave()
	time.Sleep(balancerDelay)
	p.drain()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.callers.Shutdown(ctx)
	p.stop()
	p.tasks.Wait()
	p.ledger.Stop()
	_ = p.peerHTTP.Close()
	_ = p.leaders.Close()
	_ = p.watched.Close()
	p.pool.Close()
	_ = p.monitor.Close()
	p.log.Info(logging.ProcessStopped, nil)
}

// drain refuses new work and waits for the work that was accepted.
func (p *Process) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainTimeout.Std())
	defer cancel()
	p.admitter.Drain()
	done := make(chan error, 2)
	go func() { done <- p.generations.Drain(ctx) }()
	go func() { done <- p.calls.Drain(ctx) }()
	for range cap(done) {
		if err := <-done; err != nil {
			p.log.Warn(logging.ProcessDraining, logging.Fields{"reason": err})
		}
	}
}
