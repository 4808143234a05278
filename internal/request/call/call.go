// Package call routes unary calls to transactional services.
//
// A call with an idempotency key is claimed in the replicated ledger before it is
// dispatched, is dispatched at most once, and its outcome is recorded for resends,
// that is, further requests with the same key. docs/design/0004-at-most-once.md
// describes which commit precedes which response. Idempotent calls are retried and
// hedged within the retry budget. All other calls are dispatched at most once.
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

// Ledger is a router's interface to the replicated call ledger.
type Ledger interface {
	// Claim commits a claim before the call is dispatched. After an error the claim
	// may or may not have been committed.
	Claim(ctx context.Context, c *chicoryv1.Claim) (*chicoryv1.ClaimResult, error)
	// Close commits the outcome of a claim and returns the resulting state of the key.
	Close(ctx context.Context, c *chicoryv1.Claim) (chicoryv1.ClaimState, error)
}

// Settings holds the limits of calls. Zero values are replaced by the defaults.
type Settings struct {
	// DefaultTimeout applies when neither the call nor its route sets a timeout.
	DefaultTimeout time.Duration
	// MaxTimeout is the maximum timeout of a call. It must be below the age at which
	// the ledger puts an open claim in doubt.
	MaxTimeout time.Duration
	// MaxPayloadBytes is the maximum size of a call's payload.
	MaxPayloadBytes int
	// MaxRecordedPayloadBytes is the maximum size of a response payload that is
	// recorded in the ledger. It must not exceed the ledger's own limit.
	MaxRecordedPayloadBytes int
	// MaxAttempts is the maximum number of attempts of an idempotent call, including
	// hedged attempts.
	MaxAttempts int
	// ClaimTimeout is the maximum time to wait for the ledger before a dispatch.
	ClaimTimeout time.Duration
	// LateResponseTimeout is how long after the deadline of a call with a key the
	// router still waits for the response, to record it.
	LateResponseTimeout time.Duration
	// MaxUncommittedOutcomes is the maximum number of outcomes that wait to be
	// committed to the ledger. Beyond it, calls with a key are refused.
	MaxUncommittedOutcomes int
}

// Default values of Settings.
const (
	defaultTimeout                 = 5 * time.Second
	defaultMaxTimeout              = 2 * time.Minute
	defaultMaxPayloadBytes         = 1 << 20
	defaultMaxRecordedPayloadBytes = 64 << 10
	defaultMaxAttempts             = 6
	defaultClaimTimeout            = 3 * time.Second
	defaultLateResponseTimeout     = 5 * time.Second
	defaultMaxUncommittedOutcomes  = 10_000
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
	if s.MaxRecordedPayloadBytes == 0 {
		s.MaxRecordedPayloadBytes = defaultMaxRecordedPayloadBytes
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	if s.ClaimTimeout == 0 {
		s.ClaimTimeout = defaultClaimTimeout
	}
	if s.LateResponseTimeout == 0 {
		s.LateResponseTimeout = defaultLateResponseTimeout
	}
	if s.MaxUncommittedOutcomes == 0 {
		s.MaxUncommittedOutcomes = defaultMaxUncommittedOutcomes
	}
	return s
}

// Options holds the dependencies and settings of a Service. All fields except
// Settings are required.
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

// Service serves calls of callers. It is safe for concurrent use.
type Service struct {
	opts      Options
	latencies *pace.LatencyTracker
	inFlight  inFlightCalls
	// uncommitted is the number of outcomes that wait to be committed.
	uncommitted atomic.Int64

	// ctx is cancelled at the end of Drain. Outcomes are committed under it.
	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex // guards draining and, through beginCall, additions to tasks
	draining bool
	// tasks counts accepted calls and outcomes that are not committed yet.
	tasks sync.WaitGroup
}

// New returns a Service that is ready to accept calls.
func New(opts Options) *Service {
	opts.Settings = opts.Settings.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		opts:      opts,
		latencies: pace.NewLatencyTracker(),
		inFlight:  inFlightCalls{byKey: map[callKey]*inFlightCall{}},
		ctx:       ctx,
		stop:      stop,
	}
}

// Call serves one call. The returned error is a *fault.Error, whose Ran field says
// whether the call ran. For a call with a key, Ran covers all calls with that key.
func (s *Service) Call(ctx context.Context, req *chicoryv1.CallRequest) (*chicoryv1.CallResponse, error) {
	if !s.beginCall() {
		return nil, errorBeforeClaim(req, fault.New(fault.Draining, "the router is shutting down"))
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
		return s.callWithKey(ctx, c)
	default:
		return s.callOnce(ctx, c)
	}
}

// beginCall adds an accepted call to tasks. It returns false while the service
// drains.
func (s *Service) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.tasks.Add(1)
	return true
}

// Drain refuses new calls, completes the accepted ones and commits their outcomes.
// If ctx ends first, Drain abandons the uncommitted outcomes, whose claims are then
// in doubt, and returns ctx's error.
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
