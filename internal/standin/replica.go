// Package standin is a small model engine and transactional service for tests
// and the demo. Its faults are switched at its interface. It stands in for the
// outside systems only by their protocol and is no part of the product's path.
package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// Options describe one replica. Zero values get the defaults below.
type Options struct {
	// Address is IP:port and names the replica in reports.
	Address string
	Version string
	// Capacity is the number of requests that run at once; more are queued.
	Capacity int
	// TokenGap is the time between tokens.
	TokenGap time.Duration
	// PrefillPerToken is the time that one uncached prompt or prefix token costs.
	PrefillPerToken time.Duration
	// CallTime is the service time of a call.
	CallTime time.Duration
	// CacheEntries is how many prompts the prefix cache holds.
	CacheEntries int
	// Seed starts the replica's random numbers.
	Seed uint64
	// OnDie is called when the fault "die" is switched on.
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

// Replica is one stand-in target. It is safe for concurrent use.
type Replica struct {
	opts  Options
	slots *slots
	cache *prefixCache
	done  chan struct{}

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	faults    *chicoryv1.Faults
	thaw      chan struct{} // closed while not frozen
	attempts  map[attemptKey]*attempt
	cancelled map[string]uint32 // generation to the highest cancelled attempt
	counts    counters
	keys      map[teamKey]*keyRecord
	fencing   uint64
	version   string
	report    *chicoryv1.LoadResponse
	reported  time.Time
	lastCall  string
	closed    bool
	tasks     sync.WaitGroup
}

// counters are totals since the start.
type counters struct {
	calls, generations, tokens, cancelled, prefilled uint64
}

// teamKey names a call with a key; two teams may use the same key.
type teamKey struct {
	team, key string
}

// keyRecord is what a replica knows of one key.
type keyRecord struct {
	arrivals uint32
	ran      bool
	payload  []byte
}

// NewReplica returns a healthy replica.
func NewReplica(opts Options) *Replica {
	opts = opts.withDefaults()
	thaw := make(chan struct{})
	close(thaw)
	return &Replica{
		opts:      opts,
		slots:     newSlots(opts.Capacity),
		cache:     newPrefixCache(opts.CacheEntries),
		done:      make(chan struct{}),
		rng:       rand.New(rand.NewPCG(opts.Seed, 1)),
		faults:    &chicoryv1.Faults{},
		thaw:      thaw,
		attempts:  map[attemptKey]*attempt{},
		cancelled: map[string]uint32{},
		keys:      map[teamKey]*keyRecord{},
		version:   opts.Version,
	}
}

// Close ends all work of the replica and waits for its tasks.
func (r *Replica) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

// Handler returns the replica's services: engine, transactions, target and faults.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewEngineServiceHandler(&engineService{r}))
	mux.Handle(chicoryv1connect.NewTransactionServiceHandler(&transactionService{r}))
	mux.Handle(chicoryv1connect.NewTargetServiceHandler(&targetService{r}))
	mux.Handle(chicoryv1connect.NewFaultServiceHandler(&faultService{r}))
	return mux
}

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f *chicoryv1.Faults) {
	if f.GetDie() && r.opts.OnDie != nil {
		r.opts.OnDie()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wasFrozen := r.faults.GetFreeze()
	r.faults = f
	if f.GetFreeze() && !wasFrozen {
		r.thaw = make(chan struct{})
	}
	if !f.GetFreeze() && wasFrozen {
		close(r.thaw)
	}
}

// waitThaw blocks while the replica is frozen. It returns false when the replica
// was closed.
func (r *Replica) waitThaw() bool {
	for {
		r.mu.Lock()
		thaw := r.thaw
		r.mu.Unlock()
		select {
		case <-thaw:
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

// affects reports whether errors and slowness hit a request of the route now.
func (r *Replica) affects(f *chicoryv1.Faults, route string) bool {
	if f.GetOnlyRoute() != "" && f.GetOnlyRoute() != route {
		return false
	}
	return f.GetOnlyAboveRunning() == 0 || r.slots.runningNow() > int(f.GetOnlyAboveRunning())
}

// slowed returns d as the faults stretch it.
func (r *Replica) slowed(d time.Duration, route string) time.Duration {
	f := r.currentFaults()
	if f.GetSlowFactor() == 0 || !r.affects(f, route) {
		return d
	}
	return time.Duration(float64(d) * f.GetSlowFactor())
}

// draw reports true for permille of its calls.
func (r *Replica) draw(permille uint32) bool {
	if permille == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint32N(1000) < permille
}

// sleep waits for d and reports false when done is closed first.
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

// Counts returns the counters; withKey counts the calls that arrived with key.
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
