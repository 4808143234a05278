package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Roles of the processes that measure the CPU time of the hops. The hops run in their
// own process, so that the engine and the callers don't add to their CPU time.
// scripts/bench-hops.sh starts the three processes.
const (
	roleEngine  = "engine"
	roleHops    = "hops"
	roleCallers = "callers"
)

// hopAddresses holds the addresses at which a role reaches the other roles. cpu serves the
// CPU time of the hops.
type hopAddresses struct {
	engine, forwarder, router, cpu string
}

// runRole runs one role. The engine and the hops print their addresses and serve until
// they receive SIGTERM or SIGINT.
func runRole(role string, addresses hopAddresses, o costOptions) error {
	switch role {
	case roleEngine:
		return serveEngine(o)
	case roleHops:
		return serveHops(addresses.engine)
	case roleCallers:
		return measureHops(addresses, o)
	}
	return errors.Errorf("unknown role %q", role)
}

func serveEngine(o costOptions) error {
	r, _, err := standin.Listen(standin.Options{
		Address: "127.0.0.1:0", Version: "v1", TokenGap: o.tokenGap, Capacity: 2 * o.streams, Seed: o.seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Println(r.Address())
	waitForSignal()
	return nil
}

// serveHops serves the forwarder, the router and the CPU time of this process.
func serveHops(engine string) error {
	f, err := startForwarder(engine)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.close()
	r, err := startSingleEngineRouter(engine)
	if err != nil {
		return errors.Trace(err)
	}
	defer r.close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, cpuTime().Nanoseconds())
		}))
	}()
	fmt.Println(f.address, r.address, ln.Addr())
	waitForSignal()
	return nil
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

// measureHops measures the CPU time per token of the forwarder and of the router, each
// the lowest of all rounds, and prints the criterion.
func measureHops(addresses hopAddresses, o costOptions) error {
	var forwarder, router time.Duration
	for range o.rounds {
		for _, h := range []struct {
			hop     hop
			address string
			lowest  *time.Duration
		}{{hopForwarder, addresses.forwarder, &forwarder}, {hopRouter, addresses.router, &router}} {
			cpuPerToken, err := measureHopCPU(h.hop, h.address, addresses.cpu, o)
			if err != nil {
				return errors.Trace(err)
			}
			if *h.lowest == 0 || cpuPerToken < *h.lowest {
				*h.lowest = cpuPerToken
			}
		}
	}
	ratio := float64(forwarder) / float64(router)
	fmt.Printf("hop cpu_per_token forwarder=%v router=%v tokens_per_core_share=%.2f\n", forwarder, router, ratio)
	fmt.Println(criterion{"tokens_per_core_of_forwarder", fmt.Sprintf("%.2f", ratio), fmt.Sprintf("%.2f", minThroughputShare), ratio >= minThroughputShare})
	return nil
}

// measureHopCPU runs all streams through one hop and returns its CPU time per token.
func measureHopCPU(h hop, address, cpuAddress string, o costOptions) (time.Duration, error) {
	before, err := fetchCPUTime(cpuAddress)
	if err != nil {
		return 0, errors.Trace(err)
	}
	cl := newCaller()
	var wait sync.WaitGroup
	for i := range o.streams {
		wait.Go(func() {
			if tokens, _, err := cl.readStream(h, address, i, o.tokens); err != nil || tokens != int64(o.tokens) {
				fmt.Fprintf(os.Stderr, "stream %d: received %d tokens, error: %v\n", i, tokens, err)
			}
		})
	}
	wait.Wait()
	after, err := fetchCPUTime(cpuAddress)
	return (after - before) / time.Duration(o.streams*o.tokens), errors.Trace(err)
}

// fetchCPUTime returns the CPU time that the process of the hops has used.
func fetchCPUTime(address string) (time.Duration, error) {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	n, err := strconv.ParseInt(string(body), 10, 64)
	return time.Duration(n), errors.Trace(err)
}

// startSingleEngineRouter starts a router whose only target is the given engine.
func startSingleEngineRouter(engine string) (*router, error) {
	holder := &config.Holder{}
	_, err := holder.ApplyFull(&chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "model", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL}},
		Routes:   []*chicoryv1.Route{{Name: route, Service: "model", Version: "v1"}},
		Targets:  []*chicoryv1.Target{{Address: engine, Service: "model", Version: "v1"}},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return startRouter(holder, &stubPolicies{holder: holder}, strategyResupply, nil, generation.DefaultSettings())
}
