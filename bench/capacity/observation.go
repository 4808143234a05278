package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// observationPeriod is the time over which traffic and CPU time are measured.
const observationPeriod = 3 * time.Second

// countingConn adds the bytes read from and written to a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureObservation measures the traffic and the CPU time of a router that polls its
// targets' load and receives their cache events, by number of targets. The CPU time
// includes that of the stand-in targets, which run in the same process.
func measureObservation(r *report) error {
	bytes := r.slope("load reports at four a second", "target", "bytes/s")
	cpu := r.slope("processor time of load reports, both ends", "target", "µs/s")
	for _, n := range []int{20, 60, 180} {
		b, c, err := observeTargets(n)
		if err != nil {
			return errors.Trace(err)
		}
		bytes.add(float64(n), b)
		cpu.add(float64(n), c)
	}
	return nil
}

// observeTargets observes n stand-in targets and returns bytes and microseconds of
// CPU time per second.
func observeTargets(n int) (bytes, cpu float64, err error) {
	c := sampleConfiguration(1, 0)
	for range n {
		replica, server, err := standin.Listen(standin.Options{Address: "127.0.0.1:0", Version: "v1"})
		if err != nil {
			return 0, 0, errors.Trace(err)
		}
		defer closeReplica(replica, server)
		c.Targets = append(c.Targets, &chicoryv1.Target{Address: replica.Address(), Service: "drafts", Version: "v1", AvailabilityZone: "zone-1"})
	}
	h, err := newHolder(c)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	var total atomic.Int64
	pool := target.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &total}, err
	})
	defer pool.Close()
	w := observe.NewWatcher(observe.Options{Holder: h, Table: observe.NewTable(observe.Defaults()), Pool: pool, Settings: observe.Defaults()})
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { w.Run(ctx) })
	time.Sleep(time.Second) // wait until the connections are open
	bytesBefore, cpuBefore := total.Load(), cpuTime()
	time.Sleep(observationPeriod)
	bytes = float64(total.Load()-bytesBefore) / observationPeriod.Seconds()
	cpu = microseconds(cpuTime()-cpuBefore) / observationPeriod.Seconds()
	cancel()
	task.Wait()
	return bytes, cpu, nil
}

// closeReplica stops a stand-in target and its server.
func closeReplica(r *standin.Replica, s *http.Server) {
	r.Close()
	_ = s.Close()
}
