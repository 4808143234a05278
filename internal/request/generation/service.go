package generation

import (
	"context"
	"sync"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Options are the dependencies and settings of a Service.
type Options struct {
	Holder   *config.Holder
	Pool     *target.Pool
	Picker   request.Picker
	Admitter request.Admitter
	Chooser  request.VersionChooser
	Budget   request.RetryBudget
	Recorder request.Recorder
	// TokenKey is the secret key of resume tokens and proofs. All routers share it. It
	// has at least 16 bytes.
	TokenKey         []byte
	RouterID         string
	AvailabilityZone string
	Logger           *logging.Logger
	// Metrics is the registry of the service's counters; nil uses a new one.
	Metrics  metrics.Registry
	Settings Settings
}

// SendFunc sends one chunk to the caller. An error means that the caller disconnected.
type SendFunc func(*chicoryv1.GenerationChunk) error

// Service serves generation requests. It is safe for concurrent use.
type Service struct {
	opts     Options
	codec    *tokenCodec
	counters *counters

	mu             sync.Mutex // guards the fields below
	draining       bool
	open           map[string]*openRun
	pendingCancels map[string]*pendingCancel

	// tasks counts the open generations, and the scheduled and running cancellations.
	tasks sync.WaitGroup
}

// openRun is a run that this router is streaming.
type openRun struct {
	cancel context.CancelCauseFunc
}

// Causes with which the context of a run is cancelled.
var (
	errTakenOver = errors.New("caller resumed on another connection")
	errCancelled = errors.New("caller cancelled")
)

// New returns a service. It fails if the token key is too short.
func New(opts Options) (*Service, error) {
	codec, err := newTokenCodec(opts.TokenKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Service{
		opts:           opts,
		codec:          codec,
		counters:       newCounters(opts.Metrics),
		open:           map[string]*openRun{},
		pendingCancels: map[string]*pendingCancel{},
	}, nil
}

// Generate starts a generation and streams it to send until it ends. The caller of
// Generate must have authenticated the request's team.
func (s *Service) Generate(ctx context.Context, req *chicoryv1.GenerateRequest, send SendFunc) error {
	r, err := s.newRun(req, send)
	if err != nil {
		return fault.Of(err)
	}
	s.opts.Budget.OnRequest()
	return s.serve(ctx, r, r.startFirstAttempt)
}

// Resume continues a generation at the offset of the request. The caller of Resume must
// have authenticated the request's team.
func (s *Service) Resume(ctx context.Context, req *chicoryv1.ResumeRequest, send SendFunc) error {
	r, err := s.newResumedRun(req, send)
	if err != nil {
		return fault.Of(err)
	}
	return s.serve(ctx, r, r.attachToCurrentAttempt)
}

// serve admits r and streams it from its first source to its end.
func (s *Service) serve(ctx context.Context, r *run, first func(context.Context) (source, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	entry := &openRun{cancel: cancel}
	if err := s.register(r, entry); err != nil {
		return fault.Of(err)
	}
	defer s.unregister(r.id, entry)
	ctx, stop := context.WithDeadline(ctx, r.deadline)
	defer stop()
	release, err := s.opts.Admitter.Admit(ctx, r.work())
	if err != nil {
		if r.attempt.address != "" {
			s.scheduleCancel(r.attempt.address, r.id, r.attempt.number)
		}
		return fault.Of(err)
	}
	err = r.stream(ctx, first)
	release(promptTokens(r.prompt) + r.prefix.count)
	r.logEnd(err)
	return err
}

// register adds an open run. An older run of the same generation on this router is
// cancelled, because its caller has resumed on a new connection.
func (s *Service) register(r *run, entry *openRun) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return fault.New(fault.Draining, "router is shutting down")
	}
	if old := s.open[r.id]; old != nil {
		old.cancel(errTakenOver)
	}
	if p := s.pendingCancels[r.id]; p != nil && p.attempt == r.attempt.number {
		s.removePendingCancel(r.id, p)
	}
	s.open[r.id] = entry
	s.tasks.Add(1)
	s.counters.open.Inc(1)
	return nil
}

// unregister removes a run from the open ones unless a newer run of its generation has
// replaced it.
func (s *Service) unregister(id string, entry *openRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == entry {
		delete(s.open, id)
	}
	s.counters.open.Dec(1)
	s.tasks.Done()
}

// Drain refuses new requests with the kind Draining and waits until the open
// generations and cancellations have ended, or ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
