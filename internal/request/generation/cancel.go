package generation

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// maxCancelTries is how many times a cancellation is sent to an engine that doesn't respond.
const maxCancelTries = 3

// cancelMode says whether a cancellation also ends an attempt that a stream is reading.
type cancelMode int

const (
	cancelAlways cancelMode = iota
	// cancelIfDetached doesn't cancel an attempt that a stream reads: the caller may have resumed
	// through another router.
	cancelIfDetached
)

// pendingCancel is the scheduled cancellation of an attempt whose caller disconnected.
type pendingCancel struct {
	address string
	attempt uint32
	timer   *time.Timer
}

// Cancel ends a generation and cancels its attempt at the engine. It returns once the
// engine has confirmed, or after the cancel timeout; the cancellation then continues
// in the background.
func (s *Service) Cancel(ctx context.Context, req *chicoryv1.CancelRequest) error {
	state, err := s.codec.open(req.GetResumeToken(), req.GetTeam())
	if err != nil {
		return fault.Of(err)
	}
	id := state.GetGenerationId()
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		return fault.New(fault.Draining, "router is shutting down")
	}
	if run := s.open[id]; run != nil {
		run.cancel(errCancelled)
	}
	if p := s.pendingCancels[id]; p != nil {
		s.removePendingCancel(id, p)
		s.cancelAtEngine(p.address, id, p.attempt, cancelAlways)
	}
	done := s.cancelAtEngine(state.GetTarget(), id, state.GetAttempt(), cancelAlways)
	s.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Cancelled, "caller went away")
	case <-time.After(s.opts.Settings.CancelTimeout.Std()):
		return nil
	}
}

// cancelAtEngine cancels attempt and all earlier ones in the background and closes
// the returned channel when it is done. A frozen engine processes the cancellation when
// it resumes.
func (s *Service) cancelAtEngine(address, id string, attempt uint32, when cancelMode) <-chan struct{} {
	done := make(chan struct{})
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer close(done)
		for range maxCancelTries {
			if s.sendCancel(address, id, attempt, when) {
				return
			}
		}
	}()
	return done
}

// sendCancel sends one cancellation. It returns false if it timed out and should be
// sent again, then over a new connection.
func (s *Service) sendCancel(address, id string, attempt uint32, when cancelMode) bool {
	timeout := s.opts.Settings.CancelTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	clients := s.opts.Pool.Clients(address)
	_, err := clients.Engine.Cancel(ctx, connect.NewRequest(&chicoryv1.EngineServiceCancelRequest{
		GenerationId: id,
		Attempt:      attempt,
		OnlyDetached: when == cancelIfDetached,
	}))
	if err == nil {
		s.counters.cancelled.Inc(1)
		return true
	}
	if ctx.Err() != nil {
		s.opts.Pool.ReplaceStale(address, clients)
		return false
	}
	return true
}

// scheduleCancel cancels an attempt at its engine after the grace period, unless the
// caller resumes through this router before then or a stream reads the attempt at the
// end of the period.
func (s *Service) scheduleCancel(address, id string, attempt uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks.Add(1)
	if old := s.pendingCancels[id]; old != nil {
		if old.attempt != attempt {
			s.cancelAtEngine(old.address, id, old.attempt, cancelIfDetached)
		}
		s.removePendingCancel(id, old)
	}
	p := &pendingCancel{address: address, attempt: attempt}
	s.pendingCancels[id] = p
	p.timer = time.AfterFunc(s.opts.Settings.CallerGrace.Std(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pendingCancels[id] == p {
			s.cancelAtEngine(address, id, attempt, cancelIfDetached)
			s.removePendingCancel(id, p)
		}
	})
}

// removePendingCancel stops a scheduled cancellation. The caller must hold mu.
func (s *Service) removePendingCancel(id string, p *pendingCancel) {
	p.timer.Stop()
	delete(s.pendingCancels, id)
	s.tasks.Done()
}
