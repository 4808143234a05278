package generation

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// TestMain fixes the seed of the property tests. The environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

// fakeDeps implements the dependencies of a Service: it admits every request and picks
// targets in turn.
type fakeDeps struct {
	holder *config.Holder

	mu         sync.Mutex // guards the fields below
	nextTarget int
	// retryWait is the wait that the retry budget returns; 0 allows the retry.
	retryWait time.Duration
	// admitErr is the error that admission returns.
	admitErr     error
	observations []request.Observation
	// chosenVersion is the version of new requests; empty means the route's.
	chosenVersion string
}

func (f *fakeDeps) Admit(context.Context, request.Work) (func(int), error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return func(int) {}, f.admitErr
}

func (f *fakeDeps) Choose(route *chicoryv1.Route, _ string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chosenVersion != "" {
		return f.chosenVersion
	}
	return route.GetVersion()
}

func (f *fakeDeps) Pick(work request.Work, exclude []string) (request.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.holder.Current().Targets(work.Route.GetService())
	for range targets {
		t := targets[f.nextTarget%len(targets)]
		f.nextTarget++
		if t.GetVersion() == work.Version && !contains(exclude, t.GetAddress()) {
			return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}, nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target")
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (f *fakeDeps) OnRequest() {}

func (f *fakeDeps) Allow(request.RetryKind) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryWait == 0, f.retryWait
}

func (f *fakeDeps) Record(o request.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, o)
}

// router is a Service with its own connections to the engines.
type router struct {
	*Service
	network *network
	pool    *target.Pool
	deps    *fakeDeps
}

// trackedRuns returns how many runs and scheduled cancellations the router holds.
func (r *router) trackedRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open) + len(r.pendingCancels)
}

const (
	testTeam  = "celeste"
	testRoute = "digest"
)

// testEnv holds the engines and routers of one test.
type testEnv struct {
	engines []*engine
	holder  *config.Holder
	routers []*router
}

// newTestEnv starts one engine for each version, and n routers.
func newTestEnv(t testing.TB, n int, versions ...string) *testEnv {
	env := &testEnv{holder: &config.Holder{}}
	c := &chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "model", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL}},
		Routes:   []*chicoryv1.Route{{Name: testRoute, Service: "model", Version: versions[0]}},
	}
	for i, v := range versions {
		address := net.JoinHostPort("10.0.0."+string(rune('1'+i)), "9000")
		env.engines = append(env.engines, startEngine(standin.Options{Address: address, Version: v, Seed: uint64(i + 1)}))
		c.Targets = append(c.Targets, &chicoryv1.Target{Address: address, Service: "model", Version: v})
	}
	_, err := env.holder.ApplyFull(c)
	assert.NilError(t, err)
	for range n {
		env.routers = append(env.routers, env.newRouter(t, DefaultSettings()))
	}
	return env
}

func (env *testEnv) newRouter(t testing.TB, s Settings) *router {
	n := &network{engines: map[string]*engine{}}
	for _, e := range env.engines {
		n.engines[e.address] = e
	}
	deps := &fakeDeps{holder: env.holder}
	pool := target.NewPool(n.dial)
	service, err := New(Options{
		Holder: env.holder, Pool: pool, Picker: deps, Admitter: deps, Chooser: deps,
		Budget: deps, Recorder: deps, TokenKey: []byte("0123456789abcdef"),
		Logger: logging.Discard(), Settings: s,
	})
	assert.NilError(t, err)
	return &router{Service: service, network: n, pool: pool, deps: deps}
}

// close stops the routers and engines. A synctest bubble can't end while goroutines run.
func (env *testEnv) close() {
	for _, r := range env.routers {
		_ = r.Drain(context.Background())
		r.network.cut(true)
		r.pool.Close()
	}
	for _, e := range env.engines {
		e.kill()
	}
}

func testRequest(tokens uint32) *chicoryv1.GenerateRequest {
	return &chicoryv1.GenerateRequest{Team: testTeam, Route: testRoute, Prompt: "notes of the day", MaxTokens: tokens}
}

// receivedText holds what a caller received.
type receivedText struct {
	tokens       []string
	resumeToken  string
	proof        uint32
	finishReason chicoryv1.FinishReason
	// chunkTimes are the arrival times of the chunks with tokens.
	chunkTimes []time.Time
	// onChunk is called after each chunk with the number of tokens received so far.
	onChunk func(int)
}

func (r *receivedText) receive(c *chicoryv1.GenerationChunk) error {
	if int(c.GetOffset()) != len(r.tokens) {
		return errors.Errorf("chunk at offset %d after %d tokens", c.GetOffset(), len(r.tokens))
	}
	r.tokens = append(r.tokens, c.GetTokens()...)
	r.proof = c.GetProof()
	r.finishReason = c.GetFinishReason()
	if len(c.GetTokens()) > 0 {
		r.chunkTimes = append(r.chunkTimes, time.Now())
	}
	if c.GetResumeToken() != "" {
		r.resumeToken = c.GetResumeToken()
	}
	if r.onChunk != nil {
		r.onChunk(len(r.tokens))
	}
	return nil
}

func (r *receivedText) resumeRequest(original *chicoryv1.GenerateRequest) *chicoryv1.ResumeRequest {
	return &chicoryv1.ResumeRequest{
		Team: testTeam, ResumeToken: r.resumeToken, Offset: uint64(len(r.tokens)),
		Original: original, Received: r.tokens, Proof: r.proof,
	}
}

// longestGap returns the longest time between two consecutive chunks.
func (r *receivedText) longestGap() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(r.chunkTimes); i++ {
		longest = max(longest, r.chunkTimes[i].Sub(r.chunkTimes[i-1]))
	}
	return longest
}

// checkComplete checks that all tokens were received and belong to one generation.
func checkComplete(t testing.TB, received *receivedText, tokens int) {
	t.Helper()
	assert.NilError(t, standin.CheckTokens(received.tokens))
	assert.Equal(t, len(received.tokens), tokens)
}
