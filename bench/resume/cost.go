package main

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
)

// hop is what stands between callers and the engine while nothing fails.
type hop int

const (
	hopDirect hop = iota
	hopForwarder
	hopRouter
)

// usage is what streams through one hop took.
type usage struct {
	tokens     int64
	tokenBytes int64
	// wire are the bytes between the callers and the hop; journal those of the journal.
	wire    int64
	journal int64
	cpu     time.Duration
	// memory is heap and stacks while all streams are open, in bytes.
	memory int64
}

// costOptions are the sizes of a cost run.
type costOptions struct {
	streams int
	tokens  int
	gap     time.Duration
	seed    uint64
	rounds  int
}

// caller reads streams of the plain protocol, without keeping their text.
type caller struct {
	client  *http.Client
	network network
}

func newCaller() *caller {
	c := &caller{}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	c.client = &http.Client{Transport: &http.Transport{Protocols: p, DisableCompression: true,
		DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			return c.network.dial(ctx, kind, address)
		}}}
	return c
}

var plain = connect.WithAcceptCompression("gzip", nil, nil)

// runCost measures one hop. All streams are open at once; memory is read in
// their middle.
func runCost(h hop, w way, o costOptions) (usage, error) {
	c, err := startCluster(clusterOptions{
		engines: 1, routers: 1, way: w, gap: o.gap, capacity: 2 * o.streams, seed: o.seed,
		settings: generation.DefaultSettings(),
	})
	if err != nil {
		return usage{}, errors.Trace(err)
	}
	defer c.close()
	f, err := startForwarder(c.engines[0].Address())
	if err != nil {
		return usage{}, errors.Trace(err)
	}
	defer f.close()
	address := map[hop]string{hopDirect: c.engines[0].Address(), hopForwarder: f.address, hopRouter: c.routers[0].address}[h]
	cl := newCaller()
	defer cl.network.cut(true)
	return measure(c, cl, h, address, o)
}

func measure(c *cluster, cl *caller, h hop, address string, o costOptions) (usage, error) {
	var u usage
	var mu sync.Mutex
	var wait sync.WaitGroup
	runtime.GC()
	before := memoryInUse()
	start := cpuTime()
	var firstErr error
	for i := range o.streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			tokens, bytes, err := cl.read(h, address, i, o.tokens)
			mu.Lock()
			defer mu.Unlock()
			u.tokens += tokens
			u.tokenBytes += bytes
			if err != nil {
				firstErr = err
			}
		}()
	}
	time.Sleep(time.Duration(o.tokens) * o.gap * 3 / 4)
	cpu := cpuTime()
	runtime.GC()
	runtime.GC()
	u.memory = memoryInUse() - before
	collected := cpuTime() - cpu
	wait.Wait()
	u.cpu = cpuTime() - start - collected
	u.wire = cl.network.traffic.bytes.Load()
	if j := c.routers[0].journal; j != nil {
		time.Sleep(2 * batchPeriod)
		u.journal = j.traffic.bytes.Load()
	}
	return u, firstErr
}

// read reads one generation and returns its tokens and their bytes.
func (c *caller) read(h hop, address string, i, limit int) (tokens, bytes int64, err error) {
	count := func(list []string) {
		for _, t := range list {
			tokens++
			bytes += int64(len(t))
		}
	}
	url := "http://" + address
	if h == hopRouter {
		stream, err := chicoryv1connect.NewCallerServiceClient(c.client, url, plain).
			Generate(context.Background(), connect.NewRequest(benchRequest(i, limit)))
		if err != nil {
			return 0, 0, err
		}
		for stream.Receive() {
			count(stream.Msg().GetChunk().GetTokens())
		}
		return tokens, bytes, stream.Err()
	}
	stream, err := chicoryv1connect.NewEngineServiceClient(c.client, url, plain).
		Generate(context.Background(), connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
			GenerationId: benchRequest(i, limit).GetRequestId(), Attempt: 1, Team: team, Route: route,
			Prompt: prompt(i), MaxTokens: uint32(limit),
		}))
	if err != nil {
		return 0, 0, err
	}
	for stream.Receive() {
		count(stream.Msg().GetChunk().GetTokens())
	}
	return tokens, bytes, stream.Err()
}

// memoryInUse returns heap and stacks in use, in bytes.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
