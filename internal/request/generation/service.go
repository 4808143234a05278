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

// Options are the parts that a Service uses.
type Options struct {
	Holder   *config.Holder
	Pool     *target.Pool
	Picker   request.Picker
	Admitter request.Admitter
	Chooser  request.VersionChooser
	Budget   request.RetryBudget
	Recorder request.Recorder
	// TokenKey is shared by all routers; at least 16 bytes.
	TokenKey         []byte
	RouterID         string
	AvailabilityZone string
	Logger           *logging.Logger
	// Metrics gets the counters of the service; nil means a registry of its own.
	Metrics  metrics.Registry
	Settings Settings
}

// SendFunc gives one chunk to the caller. An error means that the caller is gone.
type SendFunc func(*chicoryv1.GenerationChunk) error

// Service serves generations. It is safe for concurrent use.
type Service struct {
	opts     Options
	codec    *tokenCodec
	counters *counters

	mu        sync.Mutex // guards the fields below
	draining  bool
	open      map[string]*openRun
	abandoned map[string]*abandonment

	// tasks are the open generations and cancellations in the background.
	tasks sync.WaitGroup
}

// openRun is a generation that is being streamed here.
type openRun struct {
	cancel context.CancelCauseFunc
}

// Reasons for which a run is ended from outside.
var (
	errTakenOver = errors.New("caller came back on another connection")
	errCancelled = errors.New("caller cancelled")
)

// New returns a service. It fails when the token key is too short.
func New(opts Options) (*Service, error) {
	codec, err := newTokenCodec(opts.TokenKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Service{
		opts:      opts,
		codec:     codec,
		counters:  newCounters(opts.Metrics),
		open:      map[string]*openRun{},
		abandoned: map[string]*abandonment{},
	}, nil
}

// Generate streams a new generation to send until it ends. The request's team
// must have been verified.
func (s *Service) Generate(ctx context.Context, req *chicoryv1.GenerateRequest, send SendFunc) error {
	r, err := s.newRun(req, send)
	if err != nil {
		return fault.Of(err)
	}
	s.opts.Budget.OnRequest()
	return s.serve(ctx, r, r.begin)
}

// Resume continues a generation at the caller's offset. The request's team must
// have been verified.
func (s *Service) Resume(ctx context.Context, req *chicoryv1.ResumeRequest, send SendFunc) error {
	r, err := s.resumedRun(req, send)
	if err != nil {
		return fault.Of(err)
	}
	return s.serve(ctx, r, r.rejoin)
}

// serve admits r and drives it from its first source to its end.
func (s *Service) serve(ctx context.Context, r *run, first func(context.Context) (source, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	entry := &openRun{cancel: cancel}
	if err := s.enter(r, entry); err != nil {
		return fault.Of(err)
	}
	defer s.leave(r.id, entry)
	ctx, stop := context.WithDeadline(ctx, r.deadline)
	defer stop()
	release, err := s.opts.Admitter.Admit(ctx, r.work())
	if err != nil {
		if r.attempt.address != "" {
			s.abandon(r.attempt.address, r.id, r.attempt.number)
		}
		return fault.Of(err)
	}
	err = r.drive(ctx, first)
	release(promptTokens(r.prompt) + r.prefix.count)
	r.logEnd(err)
	return err
}

// enter registers an open generation. An older run of the same generation ends:
// its caller came back.
func (s *Service) enter(r *run, entry *openRun) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return fault.New(fault.Draining, "router is shutting down")
	}
	if old := s.open[r.id]; old != nil {
		old.cancel(errTakenOver)
	}
	if a := s.abandoned[r.id]; a != nil && a.number == r.attempt.number {
		s.forget(r.id, a)
	}
	s.open[r.id] = entry
	s.tasks.Add(1)
	s.counters.open.Inc(1)
	return nil
}

// leave removes a generation unless a newer run has taken its place.
func (s *Service) leave(id string, run *openRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == run {
		delete(s.open, id)
	}
	s.counters.open.Dec(1)
	s.tasks.Done()
}

// Drain refuses new generations with the kind Draining and waits until the open
// ones have ended or ctx ends.
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
