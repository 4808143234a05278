// Package call carries short calls to transactional services.
//
// A call with a key is claimed in the replicated ledger before it is dispatched,
// dispatched once, and its outcome is recorded; see docs/design/0004-at-most-once.md
// for what is committed before what is answered. Idempotent calls are retried and
// hedged within the retry budget. Other calls are dispatched once.
package call

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Ledger is the replicated call ledger as a router sees it.
type Ledger interface {
	// Claim commits a claim before its dispatch. After an error it is not known
	// whether the claim was committed.
	Claim(ctx context.Context, c *chicoryv1.Claim) (*chicoryv1.ClaimResult, error)
	// Close commits the end of a claim and returns the state that the key has then.
	Close(ctx context.Context, c *chicoryv1.Claim) (chicoryv1.ClaimState, error)
}

// Settings bound calls. Zero values get the defaults.
type Settings struct {
	// DefaultTimeout holds when neither the call nor its route has one.
	DefaultTimeout time.Duration
	// MaxTimeout bounds the timeout of a call. It must be below the ledger's
	// open limit.
	MaxTimeout time.Duration
	// MaxPayloadBytes bounds the body of a call.
	MaxPayloadBytes int
	// MaxRecordedBytes bounds a recorded answer. It must not be above the ledger's
	// bound.
	MaxRecordedBytes int
	// MaxAttempts bounds the attempts of an idempotent call, hedges included.
	MaxAttempts int
	// ClaimTimeout bounds the wait for the ledger before a dispatch.
	ClaimTimeout time.Duration
	// AnswerGrace is how long a late answer of a call with a key is waited for
	// beyond the deadline, to record it.
	AnswerGrace time.Duration
	// MaxUncommitted bounds the outcomes that wait for the ledger. Beyond it calls
	// with a key are refused.
	MaxUncommitted int
}

// Defaults of Settings.
const (
	defaultTimeout          = 5 * time.Second
	defaultMaxTimeout       = 2 * time.Minute
	defaultMaxPayloadBytes  = 1 << 20
	defaultMaxRecordedBytes = 64 << 10
	defaultMaxAttempts      = 6
	defaultClaimTimeout     = 3 * time.Second
	defaultAnswerGrace      = 5 * time.Second
	defaultMaxUncommitted   = 10_000
)

func (s Settings) withDefaults() Settings {
	if s.DefaultTimeout == 0 {
		s.DefaultTimeout = defaultTimeout
	}
	if s.MaxTimeout == 0 {
		s.MaxTimeout = defaultMaxTimeout
	}
	if s.MaxPayloadBytes == 0 {
		s.MaxPayloadBytes = defaultMaxPayloadBytes
	}
	if s.MaxRecordedBytes == 0 {
		s.MaxRecordedBytes = defaultMaxRecordedBytes
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	if s.ClaimTimeout == 0 {
		s.ClaimTimeout = defaultClaimTimeout
	}
	if s.AnswerGrace == 0 {
		s.AnswerGrace = defaultAnswerGrace
	}
	if s.MaxUncommitted == 0 {
		s.MaxUncommitted = defaultMaxUncommitted
	}
	return s
}

// Options are what a Service needs. All are required but Settings.
type Options struct {
	Holder           *config.Holder
	Pool             *target.Pool
	Picker           request.Picker
	Admitter         request.Admitter
	Chooser          request.VersionChooser
	Budget           request.RetryBudget
	Recorder         request.Recorder
	Ledger           Ledger
	RouterID         string
	Incarnation      string
	AvailabilityZone string
	Logger           *logging.Logger
	Settings         Settings
}

// Service serves calls. It is safe for concurrent use.
type Service struct {
	opts      Options
	latencies *pace.Latencies
	flights   flights
	// uncommitted counts outcomes that wait for the ledger.
	uncommitted atomic.Int64

	// ctx ends with the process: outcomes are committed under it.
	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex // guards draining and the growth of tasks
	draining bool
	// tasks are calls that were accepted and outcomes that are not committed.
	tasks sync.WaitGroup
}

// New returns a service that accepts calls.
func New(opts Options) *Service {
	opts.Settings = opts.Settings.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		opts:      opts,
		latencies: pace.NewLatencies(),
		flights:   flights{byKey: map[flightKey]*flight{}},
		ctx:       ctx,
		stop:      stop,
	}
}

// Call serves one call. Its error is a *fault.Error, which says whether the call
// ran; for a call with a key that statement is about the key.
func (s *Service) Call(ctx context.Context, req *chicoryv1.CallRequest) (*chicoryv1.CallResponse, error) {
	if !s.enter() {
		return nil, beforeClaim(req, fault.New(fault.Draining, "the router is shutting down"))
	}
	defer s.tasks.Done()
	c, err := s.prepare(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.work.Deadline)
	defer cancel()
	switch {
	case c.isIdempotent():
		return s.callIdempotent(ctx, c)
	case req.GetKey() != "":
		return s.callClaimed(ctx, c)
	default:
		return s.callOnce(ctx, c)
	}
}

// enter counts an accepted call. It reports false while the service drains.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.tasks.Add(1)
	return true
}

// Drain refuses new calls, finishes those that were accepted and commits their
// outcomes. When ctx ends first, it gives up the outcomes that are not committed
// and returns ctx's error: their claims are then in doubt.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	defer s.stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
