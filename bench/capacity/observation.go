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

// observationTime is how long each number of targets is watched.
const observationTime = 3 * time.Second

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureObservation measures what one more target costs a router that polls its
// load and listens to its cache events, and the target's end of the same.
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

// observeTargets watches n stand-in targets and returns bytes and microseconds of
// processor time for each second.
func observeTargets(n int) (bytes, cpu float64, err error) {
	c := sampleConfiguration(1, 0)
	for range n {
		replica, server, err := standin.Listen(standin.Options{Address: "127.0.0.1:0", Version: "v1"})
		if err != nil {
			return 0, 0, errors.Trace(err)
		}
		defer closeStandin(replica, server)
		c.Targets = append(c.Targets, &chicoryv1.Target{Address: replica.Address(), Service: "drafts", Version: "v1", AvailabilityZone: "zone-1"})
	}
	h, err := newHolder(c)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	var total atomic.Int64
	pool := target.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, &total}, err
	})
	defer pool.Close()
	w := observe.NewWatcher(observe.Options{Holder: h, Table: observe.NewTable(observe.Defaults()), Pool: pool, Settings: observe.Defaults()})
	ctx, stop := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { w.Run(ctx) })
	time.Sleep(time.Second) // connections are made
	bytesBefore, cpuBefore := total.Load(), cpuTime()
	time.Sleep(observationTime)
	bytes = float64(total.Load()-bytesBefore) / observationTime.Seconds()
	cpu = microseconds(cpuTime()-cpuBefore) / observationTime.Seconds()
	stop()
	task.Wait()
	return bytes, cpu, nil
}

func closeStandin(r *standin.Replica, s *http.Server) {
	r.Close()
	_ = s.Close()
}
