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

// Sizes of the measurement of the router's own overhead.
const (
	hopPayloadBytes = 512
	hopWorkers      = 8
	hopCalls        = 1000
	hopWarmUpCalls  = 200
	hopStreams      = 8
	hopTokens       = 300
)

// path is a connection path from the client to the target: direct, through the forwarder
// or through the router.
type path struct {
	name      string
	call      func() error
	generate  func() (tokens int, err error)
	latencies []time.Duration
}

// unitCost is the cost of one unit of work in this process, including the client and the
// target.
type unitCost struct {
	cpu    time.Duration
	allocs float64
}

// measureHop compares the router with a plain forwarder and with a direct connection. Calls
// alternate between the three paths, so that other load on the machine affects all of
// them equally.
func measureHop(r *report, _ uint64, length time.Duration) {
	c := newCluster(1, standin.Options{CallTime: time.Microsecond, TokenGap: time.Millisecond, Capacity: 1000},
		chicoryv1.ServiceKind_SERVICE_KIND_MODEL)
	defer c.close()
	f := newFullRouter(c, 0, 1, admission.LimitShared)
	defer f.close()
	address := c.replicas[0].Address()
	routerServer := serve(routerHandler(c, f))
	defer func() { _ = routerServer.server.Close() }()
	forwarderServer := serve(&forwarder{target: address, client: h2cClient()})
	defer func() { _ = forwarderServer.server.Close() }()
	time.Sleep(warmUp)
	paths := []*path{
		targetPath("direct", address),
		targetPath("bare-hop", forwarderServer.address),
		callerPath("router", routerServer.address),
	}
	interleaveCalls(paths, length)
	costs := map[string]unitCost{}
	for _, p := range paths {
		perCall := measureCost(hopWorkers, hopCalls/hopWorkers, func() float64 {
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
	forwarderAdded := percentile(paths[1].latencies, 0.5) - direct
	routerAdded := percentile(paths[2].latencies, 0.5) - direct
	fmt.Printf("hop added_p50 bare=%s router=%s added_cpu bare=%s router=%s\n", forwarderAdded, routerAdded,
		costs["bare-hop"].cpu-costs["direct"].cpu, costs["router"].cpu-costs["direct"].cpu)
	r.add("added-p50-of-bare-hop", float64(routerAdded)/float64(forwarderAdded), 1.5, false)
}

// interleaveCalls alternates between the paths, with one call at a time, and records the
// latencies.
func interleaveCalls(paths []*path, length time.Duration) {
	start := time.Now()
	for i := 0; time.Since(start) < length; i++ {
		for _, p := range paths {
			begin := time.Now()
			must(p.call())
			if i >= hopWarmUpCalls {
				p.latencies = append(p.latencies, time.Since(begin))
			}
		}
	}
}

// measureCost runs work repeatedly in several workers and returns the CPU time and the
// allocations per unit of work. work returns the number of units that it has done.
func measureCost(workers, repeats int, work func() float64) unitCost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	var mu sync.Mutex // guards units
	units := 0.0
	var tasks sync.WaitGroup
	for range workers {
		tasks.Go(func() {
			for range repeats {
				u := work()
				mu.Lock()
				units += u
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	cpuUsed := cpuTime() - cpu
	runtime.ReadMemStats(&after)
	return unitCost{
		cpu:    time.Duration(float64(cpuUsed) / units),
		allocs: float64(after.Mallocs-before.Mallocs) / units,
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	must(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// loopbackServer is a server and its address as IP:port.
type loopbackServer struct {
	server  *http.Server
	address string
}

// serve starts an HTTP/2 server without TLS on the loopback interface.
func serve(h http.Handler) loopbackServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: p}
	go func() { _ = s.Serve(ln) }()
	return loopbackServer{s, ln.Addr().String()}
}

// h2cClient returns an HTTP/2 client without TLS.
func h2cClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p, DisableCompression: true}}
}

// routerHandler returns the handler for the callers of a router.
func routerHandler(c *cluster, f *fullRouter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewCallerServiceHandler(
		caller.NewService(c.holder, f.generations, f.calls, func() bool { return true }, f.log)))
	return mux
}

// uncompressed is an option for clients that request responses without compression, so
// that its cost affects no path.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// targetPath returns a path that uses the protocol of targets, directly or through the
// forwarder.
func targetPath(name, address string) *path {
	transactions := chicoryv1connect.NewTransactionServiceClient(h2cClient(), "http://"+address, uncompressed)
	engine := chicoryv1connect.NewEngineServiceClient(h2cClient(), "http://"+address, uncompressed)
	payload := make([]byte, hopPayloadBytes)
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

// callerPath returns a path that uses the protocol of callers, through the router.
func callerPath(name, address string) *path {
	client := chicoryv1connect.NewCallerServiceClient(h2cClient(), "http://"+address, uncompressed)
	payload := make([]byte, hopPayloadBytes)
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
