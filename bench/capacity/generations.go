package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/caller"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
	"github.com/chicoryswitch/chicoryswitch/internal/request/routing"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/share"
)

const (
	// streamTokenGap is the stand-in engine's time between two tokens.
	streamTokenGap  = 37 * time.Millisecond
	tokensPerStream = 80
	// memorySampleToken is the number of messages that each stream has received when
	// memory is read.
	memorySampleToken = 30
)

// uncancelledContext returns the context of requests that are never cancelled.
func uncancelledContext() context.Context { return context.Background() }

// measureGenerations measures a router's memory by number of open generations and its
// CPU time by number of tokens. The cost of the same streams without a router is
// subtracted.
func measureGenerations(r *report) error {
	memory := r.slope("open generation, router and both its connections", "open generation", "bytes")
	cpu := r.slope("processor time of a router", "token", "µs")
	for _, streams := range []int{100, 300, 900} {
		direct, err := runStreams(streams, false)
		if err != nil {
			return errors.Trace(err)
		}
		routed, err := runStreams(streams, true)
		if err != nil {
			return errors.Trace(err)
		}
		memory.add(float64(streams), routed.memoryBytes-direct.memoryBytes)
		cpu.add(float64(streams*tokensPerStream), microseconds(routed.cpu-direct.cpu))
	}
	return nil
}

// streamCost is the memory and the CPU time that streams used in this process.
type streamCost struct {
	memoryBytes float64
	cpu         time.Duration
}

// runStreams runs concurrent streams, through a router or directly from the engine,
// and returns their cost.
func runStreams(streams int, routed bool) (streamCost, error) {
	engine, server, err := standin.Listen(standin.Options{
		Address: "127.0.0.1:0", Version: "v1", Capacity: streams, TokenGap: streamTokenGap, Seed: 1,
	})
	if err != nil {
		return streamCost{}, errors.Trace(err)
	}
	defer func() {
		engine.Close()
		_ = server.Close()
	}()
	stream := directStream(engine.Address())
	if routed {
		router, stop, err := startRouter(engine.Address())
		if err != nil {
			return streamCost{}, errors.Trace(err)
		}
		defer stop()
		stream = routedStream(router)
	}
	return measureStreams(streams, stream)
}

// streamFunc streams one generation and calls onMessage after each message.
type streamFunc func(onMessage func()) error

// measureStreams runs concurrent streams and returns their cost. Memory is read once
// every stream has received memorySampleToken messages or has ended.
func measureStreams(streams int, stream streamFunc) (streamCost, error) {
	var tasks, sampled sync.WaitGroup
	sampled.Add(streams)
	errs := make(chan error, streams)
	memoryBefore, cpuBefore := liveHeapAndStackBytes(), cpuTime()
	for range streams {
		tasks.Go(func() {
			n := 0
			err := stream(func() {
				if n++; n == memorySampleToken {
					sampled.Done()
				}
			})
			if n < memorySampleToken {
				sampled.Done()
			}
			if err != nil {
				errs <- err
			}
		})
	}
	sampled.Wait()
	cost := streamCost{memoryBytes: liveHeapAndStackBytes() - memoryBefore}
	tasks.Wait()
	cost.cpu = cpuTime() - cpuBefore
	close(errs)
	return cost, <-errs
}

// directStream returns a function that streams from the engine at address.
func directStream(address string) streamFunc {
	pool := target.NewPool(nil)
	return func(onMessage func()) error {
		stream, err := pool.Clients(address).Engine.Generate(uncancelledContext(), connect.NewRequest(&chicoryv1.EngineServiceGenerateRequest{
			GenerationId: newID(), Attempt: 1, Prompt: "measure", MaxTokens: tokensPerStream,
		}))
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
			onMessage()
		}
		return stream.Err()
	}
}

// routedStream returns a function that streams through the router at address.
func routedStream(address string) streamFunc {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	httpClient := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	client := chicoryv1connect.NewCallerServiceClient(httpClient, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
	return func(onMessage func()) error {
		stream, err := client.Generate(uncancelledContext(), connect.NewRequest(&chicoryv1.GenerateRequest{
			Team: "team-00000", Route: "route-1", Prompt: "measure", MaxTokens: tokensPerStream,
		}))
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
			onMessage()
		}
		return stream.Err()
	}
}

// startRouter starts a router with the given engine as its only target and returns
// its address and a function that stops it.
func startRouter(engine string) (address string, stop func(), err error) {
	c := sampleConfiguration(1, 0)
	c.Teams[0] = &chicoryv1.Team{Name: c.Teams[0].GetName()}
	c.Targets = []*chicoryv1.Target{{Address: engine, Service: "drafts", Version: "v1", AvailabilityZone: "zone-1"}}
	h, err := newHolder(c)
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	service, err := newGenerationService(h)
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewCallerServiceHandler(
		caller.NewService(h, service, nil, func() bool { return true }, logging.Discard())))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), func() { _ = server.Close() }, nil
}

// newGenerationService returns a router's generation service with default settings.
func newGenerationService(h *config.Holder) (*generation.Service, error) {
	picker := routing.NewPicker(routing.Options{
		Holder: h, Zone: "zone-1", Loads: observe.NewTable(observe.Defaults()), Logger: logging.Discard(), Settings: routing.Defaults(),
	})
	return generation.New(generation.Options{
		Holder: h, Pool: target.NewPool(nil), Picker: picker,
		Admitter: newAdmitter(h, 1),
		Chooser:  share.NewChooser(h, nil), Budget: retry.NewBudget(retry.Options{Settings: retry.Defaults()}),
		Recorder: evidence.NewCollector(), TokenKey: []byte("0123456789abcdef0123456789abcdef"),
		RouterID: "r1", AvailabilityZone: "zone-1", Logger: logging.Discard(), Settings: generation.DefaultSettings(),
	})
}
