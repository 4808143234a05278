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

// The processor time of a hop is that of a process of its own, while engine and
// callers run in other ones. scripts/bench-hops.sh starts the three roles.
const (
	roleEngine  = "engine"
	roleHops    = "hops"
	roleCallers = "callers"
)

// hopAddresses are where the callers' role finds the other roles.
type hopAddresses struct {
	engine, forwarder, router, cpu string
}

// runRole is the main function of one role. The engine and the hops print their
// addresses and serve until they are told to end.
func runRole(role string, at hopAddresses, o costOptions) error {
	switch role {
	case roleEngine:
		return serveEngine(o)
	case roleHops:
		return serveHops(at.engine)
	case roleCallers:
		return callHops(at, o)
	}
	return errors.Errorf("there is no role %q", role)
}

func serveEngine(o costOptions) error {
	r, _, err := standin.Listen(standin.Options{
		Address: "127.0.0.1:0", Version: "v1", TokenGap: o.gap, Capacity: 2 * o.streams, Seed: o.seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Println(r.Address())
	waitForEnd()
	return nil
}

// serveHops serves the bare forwarder, the router and this process's processor time.
func serveHops(engine string) error {
	f, err := startForwarder(engine)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.close()
	r, err := routerOf(engine)
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
	waitForEnd()
	return nil
}

func waitForEnd() {
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	<-end
}

// callHops measures the least processor time per token of the bare forwarder and of
// the router, and prints the bar.
func callHops(at hopAddresses, o costOptions) error {
	var forward, router time.Duration
	for range o.rounds {
		for _, x := range []struct {
			hop     hop
			address string
			least   *time.Duration
		}{{hopForwarder, at.forwarder, &forward}, {hopRouter, at.router, &router}} {
			used, err := callHop(x.hop, x.address, at.cpu, o)
			if err != nil {
				return errors.Trace(err)
			}
			if *x.least == 0 || used < *x.least {
				*x.least = used
			}
		}
	}
	share := float64(forward) / float64(router)
	fmt.Printf("hop cpu_per_token forwarder=%v router=%v tokens_per_core_share=%.2f\n", forward, router, share)
	fmt.Println(bar{"tokens_per_core_of_forwarder", fmt.Sprintf("%.2f", share), fmt.Sprintf("%.2f", minForwardShare), share >= minForwardShare})
	return nil
}

// callHop runs all streams through one hop and returns its processor time per token.
func callHop(h hop, address, cpu string, o costOptions) (time.Duration, error) {
	before, err := askCPU(cpu)
	if err != nil {
		return 0, errors.Trace(err)
	}
	cl := newCaller()
	var wait sync.WaitGroup
	for i := range o.streams {
		wait.Go(func() {
			if tokens, _, err := cl.read(h, address, i, o.tokens); err != nil || tokens != int64(o.tokens) {
				fmt.Fprintf(os.Stderr, "stream %d: %d tokens, %v\n", i, tokens, err)
			}
		})
	}
	wait.Wait()
	after, err := askCPU(cpu)
	return (after - before) / time.Duration(o.streams*o.tokens), errors.Trace(err)
}

// askCPU returns the processor time that the hops' process has used.
func askCPU(address string) (time.Duration, error) {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	n, err := strconv.ParseInt(string(b), 10, 64)
	return time.Duration(n), errors.Trace(err)
}

// routerOf starts a router with one engine.
func routerOf(engine string) (*router, error) {
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
	return startRouter(holder, &roles{holder: holder}, wayResupply, nil, generation.DefaultSettings())
}
