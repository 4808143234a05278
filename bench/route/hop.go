package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/caller"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// Sizes of the measurement of the router itself.
const (
	hopPayload = 512
	hopWorkers = 8
	hopBatch   = 1000
	hopWarmUp  = 200
	hopStreams = 8
	hopTokens  = 300
)

// path is one way from the client to the target.
type path struct {
	name      string
	call      func() error
	generate  func() (tokens int, err error)
	latencies []time.Duration
}

// cost is what one unit of work took in this process, client and target included.
type cost struct {
	cpu    time.Duration
	allocs float64
}

// measureHop compares the router with one bare forwarding hop and with no hop.
// Calls of the three paths take turns, so that other work on the machine is the
// same for all.
func measureHop(r *report, _ uint64, length time.Duration) {
	c := newCluster(1, standin.Options{CallTime: time.Microsecond, TokenGap: time.Millisecond, Capacity: 1000},
		chicoryv1.ServiceKind_SERVICE_KIND_MODEL)
	defer c.close()
	f := newFullRouter(c, 0, 1, admission.LimitShared)
	defer f.close()
	address := c.replicas[0].Address()
	routerServer := serve(routerHandler(c, f))
	defer func() { _ = routerServer.server.Close() }()
	hopServer := serve(&forwarder{target: address, client: h2cClient()})
	defer func() { _ = hopServer.server.Close() }()
	time.Sleep(warmUp)
	paths := []*path{
		targetPath("direct", address),
		targetPath("bare-hop", hopServer.address),
		callerPath("router", routerServer.address),
	}
	takeTurns(paths, length)
	costs := map[string]cost{}
	for _, p := range paths {
		perCall := measureCost(hopWorkers, hopBatch/hopWorkers, func() float64 {
			must(p.call())
			return 1
		})
		perKiloToken := measureCost(hopStreams, 1, func() float64 {
			tokens, err := p.generate()
			must(err)
			return float64(tokens) / 1000
		})
		costs[p.name] = perCall
		fmt.Printf("hop path=%s calls=%d p50=%s p99=%s cpu_per_call=%s allocs_per_call=%.0f cpu_per_1000_tokens=%s allocs_per_1000_tokens=%.0f\n",
			p.name, len(p.latencies), percentile(p.latencies, 0.5), percentile(p.latencies, 0.99),
			perCall.cpu, perCall.allocs, perKiloToken.cpu, perKiloToken.allocs)
	}
	direct := percentile(paths[0].latencies, 0.5)
	hop := percentile(paths[1].latencies, 0.5) - direct
	router := percentile(paths[2].latencies, 0.5) - direct
	fmt.Printf("hop added_p50 bare=%s router=%s added_cpu bare=%s router=%s\n", hop, router,
		costs["bare-hop"].cpu-costs["direct"].cpu, costs["router"].cpu-costs["direct"].cpu)
	r.add("added-p50-of-bare-hop", float64(router)/float64(hop), 1.5, false)
}

// takeTurns calls over each path in turn, one call at a time.
func takeTurns(paths []*path, length time.Duration) {
	start := time.Now()
	for i := 0; time.Since(start) < length; i++ {
		for _, p := range paths {
			begin := time.Now()
			must(p.call())
			if i >= hopWarmUp {
				p.latencies = append(p.latencies, time.Since(begin))
			}
		}
	}
}

// measureCost runs work, which returns its units, in workers and returns the
// processor time and allocations per unit.
func measureCost(workers, times int, work func() float64) cost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	var mu sync.Mutex // guards units
	units := 0.0
	var tasks sync.WaitGroup
	for range workers {
		tasks.Go(func() {
			for range times {
				u := work()
				mu.Lock()
				units += u
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	used := processorTime() - cpu
	runtime.ReadMemStats(&after)
	return cost{
		cpu:    time.Duration(float64(used) / units),
		allocs: float64(after.Mallocs-before.Mallocs) / units,
	}
}

// processorTime returns what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	must(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// listening is a server and its IP:port.
type listening struct {
	server  *http.Server
	address string
}

// serve starts a server over HTTP/2 without TLS on loopback.
func serve(h http.Handler) listening {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: p}
	go func() { _ = s.Serve(ln) }()
	return listening{s, ln.Addr().String()}
}

// h2cClient returns a client over HTTP/2 without TLS.
func h2cClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p, DisableCompression: true}}
}

// routerHandler is the router's side towards callers.
func routerHandler(c *cluster, f *fullRouter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewCallerServiceHandler(
		caller.NewService(c.holder, f.generations, f.calls, func() bool { return true }, f.log)))
	return mux
}

// plain asks for answers without compression, so that no path pays for it.
var plain = connect.WithAcceptCompression("gzip", nil, nil)

// targetPath speaks the target's protocol, directly or through the bare hop.
func targetPath(name, address string) *path {
	transactions := chicoryv1connect.NewTransactionServiceClient(h2cClient(), "http://"+address, plain)
	engine := chicoryv1connect.NewEngineServiceClient(h2cClient(), "http://"+address, plain)
	payload := make([]byte, hopPayload)
	return &path{
		name: name,
		call: func() error {
			_, err := transactions.Invoke(context.Background(), connect.NewRequest(&chicoryv1.InvokeRequest{
				CallId: "c", Team: smallTeam, Method: "lookup", Payload: payload, Idempotent: true,
				Route: routeName, Version: versionName,
			}))
			return err
		},
		generate: func() (int, error) {
			stream, err := engine.Generate(context.Background(), connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
				GenerationId: fmt.Sprint(name, time.Now().UnixNano()), Attempt: 1, Route: routeName, MaxTokens: hopTokens,
			}))
			if err != nil {
				return 0, err
			}
			defer func() { _ = stream.Close() }()
			tokens := 0
			for stream.Receive() {
				tokens += len(stream.Msg().GetChunk().GetTokens())
			}
			return tokens, stream.Err()
		},
	}
}

// callerPath speaks the callers' protocol to the router.
func callerPath(name, address string) *path {
	client := chicoryv1connect.NewCallerServiceClient(h2cClient(), "http://"+address, plain)
	payload := make([]byte, hopPayload)
	return &path{
		name: name,
		call: func() error {
			_, err := client.Call(context.Background(), connect.NewRequest(&chicoryv1.CallRequest{
				Team: smallTeam, Route: routeName, Method: "lookup", Payload: payload, Idempotent: true,
			}))
			return err
		},
		generate: func() (int, error) {
			stream, err := client.Generate(context.Background(), connect.NewRequest(&chicoryv1.GenerateRequest{
				Team: smallTeam, Route: routeName, Prompt: name, MaxTokens: hopTokens,
			}))
			if err != nil {
				return 0, err
			}
			defer func() { _ = stream.Close() }()
			tokens := 0
			for stream.Receive() {
				tokens += len(stream.Msg().GetChunk().GetTokens())
			}
			return tokens, stream.Err()
		},
	}
}
