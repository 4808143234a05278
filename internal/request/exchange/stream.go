package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// stream is one stream on its way to the caller, over one or more engines.
type stream struct {
	s    *Service
	a    *Admitted
	w    http.ResponseWriter
	size placement.Size

	// last is the last event that the caller has; begun says that the answer has begun.
	last  int
	begun bool
	// passed counts events that were passed on.
	passed int
	gaps   pace.Gaps
	// placedAt is when the request went to the present engine.
	placedAt time.Time

	// backup is the engine that keeps a copy of the run's memory, nil if none does.
	backup *chicoryv1.ListedTarget
	tried  []string
	// sent counts the engines that may have run the request, refused those that did not.
	sent, refused int
	// failure is the last failure that an engine answered before the stream began.
	failure *attempt
}

// serveStream passes a stream of events on. When its engine is lost, it goes on at
// the engine that keeps a copy of the run's memory, or at any other.
func (s *Service) serveStream(ctx context.Context, w http.ResponseWriter, a *Admitted) error {
	st := &stream{s: s, a: a, w: w, size: a.Size, last: a.LastEvent}
	if st.size == (placement.Size{}) {
		st.size = s.opts.Settings.DefaultSize
	}
	for {
		run, from, err := st.place()
		if err != nil {
			return st.end(ctx, err)
		}
		over, err := st.attempt(ctx, run, from)
		if over {
			return err
		}
		if ctx.Err() != nil {
			return st.end(ctx, givenUp(ctx, st.sent > 0))
		}
		if err := st.mayGoOn(ctx); err != nil {
			return st.end(ctx, err)
		}
	}
}

// place returns where the stream goes on, and the engine whose copy it goes on from.
func (st *stream) place() (*placement.Run, *chicoryv1.ListedTarget, error) {
	if from := st.backup; from != nil {
		st.backup = nil
		if run := st.s.opts.Engines.Continue(from, st.a.Prompt, st.size); run != nil {
			return run, from, nil
		}
	}
	want := placement.Want{Service: st.a.Service.Name, Size: st.size, Prompt: st.a.Prompt, Exclude: st.tried}
	run, err := st.s.opts.Engines.Place(want)
	if err != nil && len(st.tried) > 0 {
		want.Exclude = nil
		run, err = st.s.opts.Engines.Place(want)
	}
	return run, nil, err
}

// mayGoOn decides whether another engine is tried.
func (st *stream) mayGoOn(ctx context.Context) error {
	resumable := st.a.Route.Repetition == declared.Resumable
	switch {
	case st.sent > 0 && !resumable:
		return fault.New(fault.OutcomeUnknown, "the engine was lost and route %q may not be resumed", st.a.Route.Name)
	case st.sent >= st.a.maxAttempts():
		return fault.New(fault.OutcomeUnknown, "%d engines were lost", st.sent)
	case st.refused >= st.s.opts.Settings.MaxRefusals:
		return st.s.noTarget(st.a, st.refused)
	}
	for {
		ok, wait := st.s.opts.Budget(st.a.Service.Name).Allow(request.ResumeGeneration)
		if ok {
			return nil
		}
		if !pause.For(ctx, wait) {
			return givenUp(ctx, st.sent > 0)
		}
	}
}

// end ends a stream that can't go on.
func (st *stream) end(ctx context.Context, err error) error {
	switch {
	case st.begun:
		st.s.metrics.broke.Inc(1)
		return &BrokenOff{Reason: err.Error()}
	case st.failure != nil && ctx.Err() == nil:
		st.failure.passOn(st.w)
		return nil
	case st.sent > 0 && fault.Is(err, fault.NoTarget):
		return fault.New(fault.OutcomeUnknown, "%d engines were lost and there is no other", st.sent)
	}
	return fault.Of(err)
}

// attempt runs the stream at one engine. over says that the answer is complete, or
// that err is final.
func (st *stream) attempt(ctx context.Context, run *placement.Run, from *chicoryv1.ListedTarget) (over bool, err error) {
	defer run.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	st.placedAt = time.Now()
	d := Dispatch{Instance: run.Target.GetInstance(), LastEvent: st.last}
	if from != nil {
		d.ContinueFrom = from.GetAddress()
	}
	if st.keepsBackups() {
		keeper, release := st.s.opts.Engines.Backup(run, st.tried)
		defer release()
		d.BackupTo = keeper.GetAddress()
		st.backup = keeper
	}
	st.logPlaced(run, d)
	end := st.run(ctx, cancel, run, d)
	if end.over {
		return true, end.err
	}
	st.logEnded(run, from, end, context.Cause(ctx))
	st.count(run, from, end)
	if wasLost(ctx, end) {
		st.s.opts.Pool.Drop(run.Target.GetAddress())
		run.MarkLost()
	}
	return false, nil
}

func (st *stream) keepsBackups() bool {
	engine := st.a.Service.Engine
	return engine != nil && engine.KeepsBackups && st.a.Route.Repetition == declared.Resumable
}

// runEnd says how the stream ended at one engine.
type runEnd struct {
	// over: the stream is complete, or its caller is gone.
	over   bool
	ending ending
	events int
	status int
	err    error
}

// count takes in how the stream ended at one engine: what was sent, what is not tried
// again, and whether a copy is left to go on from.
func (st *stream) count(run *placement.Run, from *chicoryv1.ListedTarget, end runEnd) {
	if end.ending == lost || end.ending == answered {
		st.sent++
	} else {
		st.refused++
	}
	// The copy begins with the first event.
	if end.ending != lost || end.events == 0 {
		st.backup = nil
	}
	if end.status == http.StatusMisdirectedRequest {
		run.MarkStale()
	}
	if end.ending == notRun && from != nil {
		return // the copy is gone; the engine itself is well
	}
	st.tried = append(st.tried, run.Target.GetAddress())
}

// wasLost reports whether the engine itself was lost, and not the caller or the time.
func wasLost(ctx context.Context, end runEnd) bool {
	if end.ending != lost && end.ending != notSent {
		return false
	}
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), pace.ErrSilent)
}
