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

func newID() string { return rand.Text() }

// countingConn counts the bytes of UDP datagrams in both directions.
type countingConn struct {
	net.PacketConn
	bytes atomic.Int64
}

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(b)
	c.bytes.Add(int64(n))
	return n, addr, err
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, addr)
	c.bytes.Add(int64(n))
	return n, err
}

// fanOut is one server of watches with its watchers, each with a connection of its own.
type fanOut struct {
	conn    *countingConn
	server  *peer.Server
	source  *config.Holder
	holders []*config.Holder
	clients []*peer.Client
	applied chan time.Time
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// Sizes of the fan-out's measurement.
const (
	fanOutTeams   = 14_000
	fanOutChanges = 20
	idleTime      = 12 * time.Second
	appliedBuffer = 1 << 16
)

// measureFanOut measures the time until a change is in force on all watchers, the
// server's bytes for each watcher when idle and for each change, and processor time.
func measureFanOut(r *report) error {
	folder, err := os.MkdirTemp("", "capacity-keys")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	keys, err := makeKeys(folder)
	if err != nil {
		return errors.Trace(err)
	}
	half := r.slope("change in force on all watchers, median", "watcher", "ms")
	most := r.slope("change in force on all watchers, 95th of 100", "watcher", "ms")
	change := r.slope("bytes of one change", "watcher", "bytes")
	idle := r.slope("bytes of an idle watch", "watcher", "bytes/s")
	cpu := r.slope("processor time of one change, server and watchers", "watcher", "µs")
	catchUp := r.slope("whole configuration of 14,000 teams to all at once", "watcher", "ms")
	for _, n := range []int{3, 9, 30, 100} {
		f, first, err := startFanOut(keys, n)
		if err != nil {
			return errors.Trace(err)
		}
		catchUp.add(float64(n), float64(first)/float64(time.Millisecond))
		bytesBefore, cpuBefore := f.conn.bytes.Load(), cpuTime()
		times := f.change(fanOutChanges)
		change.add(float64(n), float64(f.conn.bytes.Load()-bytesBefore)/fanOutChanges)
		cpu.add(float64(n), microseconds(cpuTime()-cpuBefore)/fanOutChanges)
		slices.Sort(times)
		half.add(float64(n), float64(times[len(times)/2])/float64(time.Millisecond))
		most.add(float64(n), float64(times[len(times)*95/100])/float64(time.Millisecond))
		before := f.conn.bytes.Load()
		time.Sleep(idleTime)
		idle.add(float64(n), float64(f.conn.bytes.Load()-before)/idleTime.Seconds())
		f.close()
	}
	return nil
}

func makeKeys(folder string) (*peer.Credentials, error) {
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

// watchService serves watches of one source.
type watchService struct {
	chicoryv1connect.UnimplementedControlServiceHandler
	watches *watch.Server
}

// Watch implements ControlService.
func (s *watchService) Watch(ctx context.Context, req *connect.Request[chicoryv1.WatchRequest], stream *connect.ServerStream[chicoryv1.WatchResponse]) error {
	return s.watches.Watch(ctx, req.Msg, stream.Send)
}

// startFanOut starts a server and n watchers, and returns the time until all had
// the whole configuration.
func startFanOut(keys *peer.Credentials, n int) (*fanOut, time.Duration, error) {
	source, err := newHolder(sampleConfiguration(fanOutTeams, 100))
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	f := &fanOut{conn: &countingConn{PacketConn: udp}, source: source, applied: make(chan time.Time, appliedBuffer)}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewControlServiceHandler(&watchService{watches: watch.NewServer(source)}))
	f.server = peer.ListenOn(f.conn, keys, mux)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
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

// waitApplied waits for n applications and returns the time of the last one.
func (f *fanOut) waitApplied(n int) time.Time {
	var last time.Time
	for range n {
		if at := <-f.applied; at.After(last) {
			last = at
		}
	}
	return last
}

// change puts count changes into force, one after another, and returns the time
// that each took until all watchers had it.
func (f *fanOut) change(count int) []time.Duration {
	var times []time.Duration
	for i := range count {
		current, _ := f.source.Configuration()
		next := proto.CloneOf(current)
		next.Revision++
		next.Teams[i].CallsPerSecond++
		d := config.Diff(current, next)
		start := time.Now()
		_, _ = f.source.ApplyDelta(d)
		times = append(times, f.waitApplied(len(f.holders)).Sub(start))
	}
	return times
}

func (f *fanOut) close() {
	f.stop()
	f.tasks.Wait()
	for _, c := range f.clients {
		_ = c.Close()
	}
	_ = f.server.Close()
}
