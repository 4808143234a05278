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

// hop is the component between callers and the engine.
type hop int

const (
	hopDirect hop = iota
	hopForwarder
	hopRouter
)

// resourceUsage is the resource usage of the streams through one hop.
type resourceUsage struct {
	tokens     int64
	tokenBytes int64
	// callerBytes is the traffic between the callers and the hop, journalBytes that
	// between the router and the journal.
	callerBytes  int64
	journalBytes int64
	cpu          time.Duration
	// memory is the heap and stack memory in use while all streams are open, in bytes.
	memory int64
}

// costOptions configures a cost measurement.
type costOptions struct {
	streams  int
	tokens   int
	tokenGap time.Duration
	seed     uint64
	rounds   int
}

// caller reads streams with the generated RPC clients, without resumption, and discards
// their text.
type caller struct {
	client  *http.Client
	network faultNetwork
}

func newCaller() *caller {
	c := &caller{}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	c.client = &http.Client{Transport: &http.Transport{Protocols: p, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.network.dial(ctx, network, address)
		}}}
	return c
}

// uncompressed is an option for clients that request responses without compression.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// runCost measures one hop with a given recovery strategy. All streams run at the same
// time.
func runCost(h hop, s strategy, o costOptions) (resourceUsage, error) {
	c, err := startCluster(clusterOptions{
		engines: 1, routers: 1, strategy: s, tokenGap: o.tokenGap, capacity: 2 * o.streams, seed: o.seed,
		settings: generation.DefaultSettings(),
	})
	if err != nil {
		return resourceUsage{}, errors.Trace(err)
	}
	defer c.close()
	f, err := startForwarder(c.engines[0].Address())
	if err != nil {
		return resourceUsage{}, errors.Trace(err)
	}
	defer f.close()
	address := map[hop]string{hopDirect: c.engines[0].Address(), hopForwarder: f.address, hopRouter: c.routers[0].address}[h]
	cl := newCaller()
	defer cl.network.closeConns(true)
	return measureStreams(c, cl, h, address, o)
}

// measureStreams runs all streams over one hop. It measures memory after three quarters
// of their duration, while all are open, and excludes the garbage collections that this
// takes from the CPU time.
func measureStreams(c *cluster, cl *caller, h hop, address string, o costOptions) (resourceUsage, error) {
	var u resourceUsage
	var mu sync.Mutex
	var wait sync.WaitGroup
	runtime.GC()
	memoryBefore := memoryInUse()
	start := cpuTime()
	var lastErr error
	for i := range o.streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			tokens, bytes, err := cl.readStream(h, address, i, o.tokens)
			mu.Lock()
			defer mu.Unlock()
			u.tokens += tokens
			u.tokenBytes += bytes
			if err != nil {
				lastErr = err
			}
		}()
	}
	time.Sleep(time.Duration(o.tokens) * o.tokenGap * 3 / 4)
	cpu := cpuTime()
	runtime.GC()
	runtime.GC()
	u.memory = memoryInUse() - memoryBefore
	gcTime := cpuTime() - cpu
	wait.Wait()
	u.cpu = cpuTime() - start - gcTime
	u.callerBytes = cl.network.traffic.total.Load()
	if j := c.routers[0].journal; j != nil {
		time.Sleep(2 * batchPeriod)
		u.journalBytes = j.traffic.total.Load()
	}
	return u, lastErr
}

// readStream reads one generation and returns the number and size of its tokens.
func (c *caller) readStream(h hop, address string, i, limit int) (tokens, bytes int64, err error) {
	count := func(list []string) {
		for _, t := range list {
			tokens++
			bytes += int64(len(t))
		}
	}
	url := "http://" + address
	if h == hopRouter {
		stream, err := chicoryv1connect.NewCallerServiceClient(c.client, url, uncompressed).
			Generate(context.Background(), connect.NewRequest(benchRequest(i, limit)))
		if err != nil {
			return 0, 0, err
		}
		for stream.Receive() {
			count(stream.Msg().GetChunk().GetTokens())
		}
		return tokens, bytes, stream.Err()
	}
	stream, err := chicoryv1connect.NewEngineServiceClient(c.client, url, uncompressed).
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

// memoryInUse returns the size of the heap and stacks in use, in bytes.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
