package router

import (
	"context"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Limits of a shutdown besides the drain timeout.
const (
	// balancerDelay is the time for the load balancer to see the health check fail
	// while the listener still accepts connections.
	balancerDelay = 500 * time.Millisecond
	closeTimeout  = 5 * time.Second
)

// Stop shuts the router down in order: the health check fails, new requests are
// refused as not run, all accepted requests are finished, then connections are closed.
// Only requests still open after the drain timeout are aborted.
func (p *Process) Stop() {
	p.log.Info(logging.ProcessDraining, nil)
	p.monitor.Drain()
	p.draining.Store(true)
	p.reporter.announceLeaving()
	time.Sleep(balancerDelay)
	p.drain()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.callerServer.Shutdown(ctx)
	p.stop()
	p.tasks.Wait()
	p.ledger.Stop()
	_ = p.peerServer.Close()
	_ = p.leaderClient.Close()
	_ = p.watchClient.Close()
	p.pool.Close()
	_ = p.monitor.Close()
	p.log.Info(logging.ProcessStopped, nil)
}

// drain refuses new requests and waits until the accepted ones are finished.
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
