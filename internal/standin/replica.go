// Package standin simulates a model engine and a transactional service for tests,
// benchmarks and the demo. It implements only the protocol of the real systems; its
// faults are set through FaultService. It is no part of the product's request path.
package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// Options configures a replica. Zero fields get the defaults below.
type Options struct {
	// Address is the IP:port that identifies the replica in reports.
	Address string
	Version string
	// Capacity is the maximum number of concurrent requests; further ones are queued.
	Capacity int
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// PrefillPerToken is the prefill time of one uncached token of the prompt or the
	// prefix.
	PrefillPerToken time.Duration
	// CallTime is the service time of a call.
	CallTime time.Duration
	// CacheEntries is the number of prompts that the prefix cache holds.
	CacheEntries int
	// Seed is the seed of the replica's random number generator.
	Seed uint64
	// OnDie is called when the fault "die" is set.
	OnDie func()
}

// Defaults of a replica.
const (
	defaultCapacity        = 64
	defaultTokenGap        = 37 * time.Millisecond
	defaultPrefillPerToken = 100 * time.Microsecond
	defaultCallTime        = 2 * time.Millisecond
	defaultCacheEntries    = 256
)

func (o Options) withDefaults() Options {
	if o.Capacity == 0 {
		o.Capacity = defaultCapacity
	}
	if o.TokenGap == 0 {
		o.TokenGap = defaultTokenGap
	}
	if o.PrefillPerToken == 0 {
		o.PrefillPerToken = defaultPrefillPerToken
	}
	if o.CallTime == 0 {
		o.CallTime = defaultCallTime
	}
	if o.CacheEntries == 0 {
		o.CacheEntries = defaultCacheEntries
	}
	return o
}

// Replica is one simulated target. It is safe for concurrent use.
type Replica struct {
	opts  Options
	slots *slots
	cache *prefixCache
	done  chan struct{}

	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	faults     *chicoryv1.Faults
	unfrozen   chan struct{} // closed while the replica is not frozen
	attempts   map[attemptKey]*attempt
	cancelled  map[string]uint32 // highest cancelled attempt by generation
	counts     counters
	keys       map[teamKey]*keyRecord
	fencing    uint64
	version    string
	report     *chicoryv1.LoadResponse
	reportedAt time.Time
	lastCall   string
	closed     bool
	tasks      sync.WaitGroup
}

// counters are totals since the replica was created.
type counters struct {
	calls, generations, tokens, cancelled, prefilled uint64
}

// teamKey identifies calls by team and key, because two teams may use the same key.
type teamKey struct {
	team, key string
}

// keyRecord is the state of one key: how often it arrived, and the result of its call.
type keyRecord struct {
	arrivals uint32
	ran      bool
	payload  []byte
}

// NewReplica returns a replica without faults.
func NewReplica(opts Options) *Replica {
	opts = opts.withDefaults()
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &Replica{
		opts:      opts,
		slots:     newSlots(opts.Capacity),
		cache:     newPrefixCache(opts.CacheEntries),
		done:      make(chan struct{}),
		rng:       rand.New(rand.NewPCG(opts.Seed, 1)),
		faults:    &chicoryv1.Faults{},
		unfrozen:  unfrozen,
		attempts:  map[attemptKey]*attempt{},
		cancelled: map[string]uint32{},
		keys:      map[teamKey]*keyRecord{},
		version:   opts.Version,
	}
}

// Close stops all work of the replica and waits for its goroutines.
func (r *Replica) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

// Handler returns the handler of the replica's engine, transaction, target and fault
// services.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewEngineServiceHandler(&engineService{r}))
	mux.Handle(chicoryv1connect.NewTransactionServiceHandler(&transactionService{r}))
	mux.Handle(chicoryv1connect.NewTargetServiceHandler(&targetService{r}))
	mux.Handle(chicoryv1connect.NewFaultServiceHandler(&faultService{r}))
	return mux
}

// SetFaults replaces the replica's faults.
func (r *Replica) SetFaults(f *chicoryv1.Faults) {
	if f.GetDie() && r.opts.OnDie != nil {
		r.opts.OnDie()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wasFrozen := r.faults.GetFreeze()
	r.faults = f
	if f.GetFreeze() && !wasFrozen {
		r.unfrozen = make(chan struct{})
	}
	if !f.GetFreeze() && wasFrozen {
		close(r.unfrozen)
	}
}

// waitUnfrozen blocks while the replica is frozen. It returns false if the replica is
// closed before that ends.
func (r *Replica) waitUnfrozen() bool {
	for {
		r.mu.Lock()
		unfrozen := r.unfrozen
		r.mu.Unlock()
		select {
		case <-unfrozen:
		case <-r.done:
			return false
		}
		r.mu.Lock()
		frozen := r.faults.GetFreeze()
		r.mu.Unlock()
		if !frozen {
			return true
		}
	}
}

func (r *Replica) currentFaults() *chicoryv1.Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// affects reports whether the error and slowness faults apply to a request of the route
// now.
func (r *Replica) affects(f *chicoryv1.Faults, route string) bool {
	if f.GetOnlyRoute() != "" && f.GetOnlyRoute() != route {
		return false
	}
	return f.GetOnlyAboveRunning() == 0 || r.slots.runningCount() > int(f.GetOnlyAboveRunning())
}

// slowed returns d multiplied by the slow factor if that fault applies to the route.
func (r *Replica) slowed(d time.Duration, route string) time.Duration {
	f := r.currentFaults()
	if f.GetSlowFactor() == 0 || !r.affects(f, route) {
		return d
	}
	return time.Duration(float64(d) * f.GetSlowFactor())
}

// chance returns true with a probability of permille/1000.
func (r *Replica) chance(permille uint32) bool {
	if permille == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint32N(1000) < permille
}

// sleep waits for d. It returns false if one of the channels, of which it takes one or
// two, is closed first.
func sleep(d time.Duration, done ...<-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	var second <-chan struct{}
	if len(done) > 1 {
		second = done[1]
	}
	select {
	case <-t.C:
		return true
	case <-done[0]:
		return false
	case <-second:
		return false
	}
}

// Counts returns the replica's counters. The field with_key counts the calls of all teams
// that arrived with the key.
func (r *Replica) Counts(key string) *chicoryv1.ArrivalsResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := uint32(0)
	for _, a := range r.attempts {
		if a.isRunning() {
			running++
		}
	}
	resp := &chicoryv1.ArrivalsResponse{
		Calls:           r.counts.calls,
		Generations:     r.counts.generations,
		Tokens:          r.counts.tokens,
		Cancelled:       r.counts.cancelled,
		PrefilledTokens: r.counts.prefilled,
		Running:         map[string]uint32{r.opts.Address: running},
	}
	for id, k := range r.keys {
		if id.key == key {
			resp.WithKey += k.arrivals
		}
	}
	return resp
}
