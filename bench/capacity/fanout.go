package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/control"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/watch"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// newID returns a random identifier.
func newID() string { return rand.Text() }

// countingPacketConn counts the bytes of UDP datagrams in both directions.
type countingPacketConn struct {
	net.PacketConn
	bytes atomic.Int64
}

// ReadFrom implements net.PacketConn.
func (c *countingPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(b)
	c.bytes.Add(int64(n))
	return n, addr, err
}

// WriteTo implements net.PacketConn.
func (c *countingPacketConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, addr)
	c.bytes.Add(int64(n))
	return n, err
}

// fanOut is a server of configuration watches and its watchers, each of which has its
// own connection.
type fanOut struct {
	conn    *countingPacketConn
	server  *peer.Server
	source  *config.Holder
	holders []*config.Holder
	clients []*peer.Client
	applied chan time.Time
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// Parameters of the fan-out measurement.
const (
	configurationTeams = 14_000
	measuredChanges    = 20
	idlePeriod         = 12 * time.Second
	appliedQueueSize   = 1 << 16
)

// measureFanOut measures, by number of watchers, the time until a change is in force
// on all of them, the time until all of them have the whole configuration, the
// server's traffic when idle and for each change, and the CPU time of a change.
func measureFanOut(r *report) error {
	folder, err := os.MkdirTemp("", "capacity-keys")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	keys, err := issueKeys(folder)
	if err != nil {
		return errors.Trace(err)
	}
	p50 := r.slope("change in force on all watchers, median", "watcher", "ms")
	p95 := r.slope("change in force on all watchers, 95th of 100", "watcher", "ms")
	change := r.slope("bytes of one change", "watcher", "bytes")
	idle := r.slope("bytes of an idle watch", "watcher", "bytes/s")
	cpu := r.slope("processor time of one change, server and watchers", "watcher", "µs")
	fullSync := r.slope("whole configuration of 14,000 teams to all at once", "watcher", "ms")
	for _, n := range []int{3, 9, 30, 100} {
		f, syncTime, err := startFanOut(keys, n)
		if err != nil {
			return errors.Trace(err)
		}
		fullSync.add(float64(n), float64(syncTime)/float64(time.Millisecond))
		bytesBefore, cpuBefore := f.conn.bytes.Load(), cpuTime()
		times := f.timeChanges(measuredChanges)
		change.add(float64(n), float64(f.conn.bytes.Load()-bytesBefore)/measuredChanges)
		cpu.add(float64(n), microseconds(cpuTime()-cpuBefore)/measuredChanges)
		slices.Sort(times)
		p50.add(float64(n), float64(times[len(times)/2])/float64(time.Millisecond))
		p95.add(float64(n), float64(times[len(times)*95/100])/float64(time.Millisecond))
		idleBytesBefore := f.conn.bytes.Load()
		time.Sleep(idlePeriod)
		idle.add(float64(n), float64(f.conn.bytes.Load()-idleBytesBefore)/idlePeriod.Seconds())
		f.close()
	}
	return nil
}

// issueKeys returns the keys of a router, issued by a new authority in folder.
func issueKeys(folder string) (*peer.Credentials, error) {
	authority, err := certs.OpenAuthority(filepath.Join(folder, "keys"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	files, err := authority.Issue(peer.Identity{ID: "r1", Role: peer.RoleRouter})
	if err != nil {
		return nil, errors.Trace(err)
	}
	keys, err := peer.LoadCredentials(files)
	return keys, errors.Trace(err)
}

// watchService implements only the Watch method of ControlService.
type watchService struct {
	chicoryv1connect.UnimplementedControlServiceHandler
	watches *watch.Server
}

// Watch implements ControlService.
func (s *watchService) Watch(ctx context.Context, req *connect.Request[chicoryv1.WatchRequest], stream *connect.ServerStream[chicoryv1.WatchResponse]) error {
	return s.watches.Watch(ctx, req.Msg, stream.Send)
}

// startFanOut starts a server and n watchers, and returns the time until all of them
// had the whole configuration.
func startFanOut(keys *peer.Credentials, n int) (*fanOut, time.Duration, error) {
	source, err := newHolder(sampleConfiguration(configurationTeams, 100))
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	f := &fanOut{conn: &countingPacketConn{PacketConn: udp}, source: source, applied: make(chan time.Time, appliedQueueSize)}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewControlServiceHandler(&watchService{watches: watch.NewServer(source)}))
	f.server = peer.ListenOn(f.conn, keys, mux)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	start := time.Now()
	for i := range n {
		h, client := &config.Holder{}, peer.NewClient(keys)
		f.holders, f.clients = append(f.holders, h), append(f.clients, client)
		w := control.NewWatcher(h, fmt.Sprint("r", i), []string{udp.LocalAddr().String()}, client, logging.Discard(),
			func(uint64) { f.applied <- time.Now() })
		f.tasks.Go(func() { w.Run(ctx) })
	}
	return f, f.waitApplied(n).Sub(start), nil
}

// waitApplied waits until configurations were applied n times, and returns the time
// of the last one.
func (f *fanOut) waitApplied(n int) time.Time {
	var last time.Time
	for range n {
		if at := <-f.applied; at.After(last) {
			last = at
		}
	}
	return last
}

// timeChanges applies count changes, one after another, and returns the time that
// each took to reach all watchers.
func (f *fanOut) timeChanges(count int) []time.Duration {
	var times []time.Duration
	for i := range count {
		current, _ := f.source.Configuration()
		next := proto.CloneOf(current)
		next.Revision++
		next.Teams[i].CallsPerSecond++
		delta := config.Diff(current, next)
		start := time.Now()
		_, _ = f.source.ApplyDelta(delta)
		times = append(times, f.waitApplied(len(f.holders)).Sub(start))
	}
	return times
}

// close stops the watchers and the server.
func (f *fanOut) close() {
	f.cancel()
	f.tasks.Wait()
	for _, c := range f.clients {
		_ = c.Close()
	}
	_ = f.server.Close()
}
