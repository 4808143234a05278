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
	"github.com/chicoryswitch/chicoryswitch/internal/drawn"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// TestMain fixes the seed of drawn tests; SEED draws anew.
func TestMain(m *testing.M) {
	os.Exit(drawn.Main(m))
}

// fakeRoles admit everything and pick targets in turn.
type fakeRoles struct {
	holder *config.Holder

	mu   sync.Mutex // guards the fields below
	next int
	// wait is the answer of the budget; 0 allows.
	wait time.Duration
	// refuse is what admission answers, if anything.
	refuse error
	seen   []request.Observation
	// version is what new requests get; empty is the route's.
	version string
}

func (f *fakeRoles) Admit(context.Context, request.Work) (func(int), error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return func(int) {}, f.refuse
}

func (f *fakeRoles) Choose(route *chicoryv1.Route, _ string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version != "" {
		return f.version
	}
	return route.GetVersion()
}

func (f *fakeRoles) Pick(w request.Work, exclude []string) (request.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.holder.Current().Targets(w.Route.GetService())
	for range targets {
		t := targets[f.next%len(targets)]
		f.next++
		if t.GetVersion() == w.Version && !contains(exclude, t.GetAddress()) {
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

func (f *fakeRoles) OnRequest() {}

func (f *fakeRoles) Allow(request.RetryKind) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wait == 0, f.wait
}

func (f *fakeRoles) Record(o request.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, o)
}

// router is one Service with its own connections.
type router struct {
	*Service
	network *network
	pool    *target.Pool
	roles   *fakeRoles
}

// kept returns how many generations the router knows, open or abandoned.
func (r *router) kept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open) + len(r.abandoned)
}

const (
	testTeam  = "celeste"
	testRoute = "digest"
)

// world is a set of engines and routers for one test.
type world struct {
	engines []*engine
	holder  *config.Holder
	routers []*router
}

// newWorld starts engines of the versions given and n routers.
func newWorld(t testing.TB, n int, versions ...string) *world {
	w := &world{holder: &config.Holder{}}
	c := &chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "model", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL}},
		Routes:   []*chicoryv1.Route{{Name: testRoute, Service: "model", Version: versions[0]}},
	}
	for i, v := range versions {
		address := net.JoinHostPort("10.0.0."+string(rune('1'+i)), "9000")
		w.engines = append(w.engines, startEngine(standin.Options{Address: address, Version: v, Seed: uint64(i + 1)}))
		c.Targets = append(c.Targets, &chicoryv1.Target{Address: address, Service: "model", Version: v})
	}
	_, err := w.holder.ApplyFull(c)
	assert.NilError(t, err)
	for range n {
		w.routers = append(w.routers, w.newRouter(t, DefaultSettings()))
	}
	return w
}

func (w *world) newRouter(t testing.TB, s Settings) *router {
	n := &network{engines: map[string]*engine{}}
	for _, e := range w.engines {
		n.engines[e.address] = e
	}
	roles := &fakeRoles{holder: w.holder}
	pool := target.NewPool(n.dial)
	service, err := New(Options{
		Holder: w.holder, Pool: pool, Picker: roles, Admitter: roles, Chooser: roles,
		Budget: roles, Recorder: roles, TokenKey: []byte("0123456789abcdef"),
		Logger: logging.Discard(), Settings: s,
	})
	assert.NilError(t, err)
	return &router{Service: service, network: n, pool: pool, roles: roles}
}

// close ends everything, so that a bubble can end.
func (w *world) close() {
	for _, r := range w.routers {
		_ = r.Drain(context.Background())
		r.network.cut(true)
		r.pool.Close()
	}
	for _, e := range w.engines {
		e.kill()
	}
}

func testRequest(tokens uint32) *chicoryv1.GenerateRequest {
	return &chicoryv1.GenerateRequest{Team: testTeam, Route: testRoute, Prompt: "notes of the day", MaxTokens: tokens}
}

// text collects what a caller received.
type text struct {
	tokens []string
	token  string
	proof  uint32
	finish chicoryv1.FinishReason
	// times are when each chunk came.
	times []time.Time
	// on is called after each chunk with the number of tokens.
	on func(int)
}

func (x *text) take(c *chicoryv1.GenerationChunk) error {
	if int(c.GetOffset()) != len(x.tokens) {
		return errors.Errorf("chunk at offset %d after %d tokens", c.GetOffset(), len(x.tokens))
	}
	x.tokens = append(x.tokens, c.GetTokens()...)
	x.proof = c.GetProof()
	x.finish = c.GetFinishReason()
	if len(c.GetTokens()) > 0 {
		x.times = append(x.times, time.Now())
	}
	if c.GetResumeToken() != "" {
		x.token = c.GetResumeToken()
	}
	if x.on != nil {
		x.on(len(x.tokens))
	}
	return nil
}

func (x *text) resumeRequest(original *chicoryv1.GenerateRequest) *chicoryv1.ResumeRequest {
	return &chicoryv1.ResumeRequest{
		Team: testTeam, ResumeToken: x.token, Offset: uint64(len(x.tokens)),
		Original: original, Received: x.tokens, Proof: x.proof,
	}
}

// longestGap returns the longest time between two chunks.
func (x *text) longestGap() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(x.times); i++ {
		longest = max(longest, x.times[i].Sub(x.times[i-1]))
	}
	return longest
}

func checkWhole(t testing.TB, x *text, tokens int) {
	t.Helper()
	assert.NilError(t, standin.CheckText(x.tokens))
	assert.Equal(t, len(x.tokens), tokens)
}
