package generation

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// cancelTries is how often a cancellation is sent to an engine that does not answer.
const cancelTries = 3

// cancelMode says whether a cancellation also ends an attempt that is being read.
type cancelMode int

const (
	always cancelMode = iota
	// ifDetached spares an attempt that the caller follows through another router.
	ifDetached
)

// abandonment is the engine's work for a generation whose caller went away.
type abandonment struct {
	address string
	number  uint32
	timer   *time.Timer
}

// Cancel ends a generation and frees its engine's work. It returns when the
// engine confirmed, or after the cancel timeout; then it goes on in the background.
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
	if a := s.abandoned[id]; a != nil {
		s.forget(id, a)
		s.cancelAtEngine(a.address, id, a.number, always)
	}
	done := s.cancelAtEngine(state.GetTarget(), id, state.GetAttempt(), always)
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

// cancelAtEngine cancels all attempts up to number in the background. The
// returned channel closes at the end. An engine that is frozen finds the
// cancellation when it goes on.
func (s *Service) cancelAtEngine(address, id string, number uint32, when cancelMode) <-chan struct{} {
	done := make(chan struct{})
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer close(done)
		for range cancelTries {
			if s.sendCancel(address, id, number, when) {
				return
			}
		}
	}()
	return done
}

// sendCancel reports whether there is nothing more to do.
func (s *Service) sendCancel(address, id string, number uint32, when cancelMode) bool {
	timeout := s.opts.Settings.CancelTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	clients := s.opts.Pool.Clients(address)
	_, err := clients.Engine.Cancel(ctx, connect.NewRequest(&chicoryv1.EngineServiceCancelRequest{
		GenerationId: id,
		Attempt:      number,
		OnlyDetached: when == ifDetached,
	}))
	if err == nil {
		s.counters.cancelled.Inc(1)
		return true
	}
	if ctx.Err() != nil {
		s.opts.Pool.Fresh(address, clients)
		return false
	}
	return true
}

// abandon cancels the engine's work after the grace period unless the caller
// comes back to this router before.
func (s *Service) abandon(address, id string, number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks.Add(1)
	if old := s.abandoned[id]; old != nil {
		if old.number != number {
			s.cancelAtEngine(old.address, id, old.number, ifDetached)
		}
		s.forget(id, old)
	}
	a := &abandonment{address: address, number: number}
	s.abandoned[id] = a
	a.timer = time.AfterFunc(s.opts.Settings.CallerGrace.Std(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.abandoned[id] == a {
			s.cancelAtEngine(address, id, number, ifDetached)
			s.forget(id, a)
		}
	})
}

// forget drops an abandonment. The caller holds mu.
func (s *Service) forget(id string, a *abandonment) {
	a.timer.Stop()
	delete(s.abandoned, id)
	s.tasks.Done()
}
