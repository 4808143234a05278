package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
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
	return st.judge(ctx, run, from, end)
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

// judge decides what follows an engine that did not complete the stream.
func (st *stream) judge(ctx context.Context, run *placement.Run, from *chicoryv1.ListedTarget, end runEnd) (over bool, err error) {
	cause := context.Cause(ctx)
	st.logEnded(run, from, end, cause)
	address := run.Target.GetAddress()
	switch {
	case end.ending == notRun && from != nil:
		// The copy is gone; the engine itself is well, and the one that was to keep the
		// next copy has none either.
		st.refused++
		st.backup = nil
		return false, nil
	case end.ending == notRun:
		st.refused++
		st.backup = nil
		if end.status == http.StatusMisdirectedRequest {
			run.MarkStale()
		}
		st.tried = append(st.tried, address)
		return false, nil
	case end.ending == answered:
		st.sent++
		st.backup = nil
		st.tried = append(st.tried, address)
		return false, nil
	case end.ending == notSent:
		st.refused++
		st.backup = nil
	default:
		st.sent++
		if end.events == 0 {
			st.backup = nil // the copy begins with the first event
		}
	}
	st.tried = append(st.tried, address)
	if ctx.Err() == nil || errors.Is(cause, pace.ErrSilent) {
		st.s.opts.Pool.Drop(address)
		run.MarkLost()
	}
	return false, nil
}

// run sends the request to the engine and passes its events on.
func (st *stream) run(ctx context.Context, cancel context.CancelCauseFunc, run *placement.Run, d Dispatch) runEnd {
	watch := pace.NewWatchdog(cancel, st.firstEventLimit(d))
	defer watch.Pause()
	go st.probe(ctx, cancel, run, d)
	x, err := st.s.opts.Pool.Send(ctx, run.Target.GetAddress(), st.s.target(st.a, d))
	if err != nil {
		if http1.IsNotSent(err) {
			return runEnd{ending: notSent, err: err}
		}
		return runEnd{ending: lost, err: err}
	}
	go st.followLoss(ctx, cancel, run)
	answer, reply, err := st.s.readAnswer(x, st.a.ID)
	if err != nil {
		return runEnd{ending: lost, err: err}
	}
	if reply.Slots > 0 {
		run.Stated(reply.Running)
	}
	if !reply.Signed || answer.Status != http.StatusOK {
		return st.refusal(answer, reply)
	}
	return st.follow(answer, reply, run, watch)
}

// followLoss gives the engine up when another run found it lost before this one
// got an event.
func (st *stream) followLoss(ctx context.Context, cancel context.CancelCauseFunc, run *placement.Run) {
	select {
	case <-run.Lost:
		if !run.HasBegun() {
			cancel(errLostElsewhere)
		}
	case <-ctx.Done():
	}
}

var errLostElsewhere = errors.New("another run found the engine lost")

// refusal reads an answer that is no stream.
func (st *stream) refusal(answer *http1.Answer, reply Reply) runEnd {
	body, err := answer.ReadAll(st.s.opts.Settings.MaxAnswerBytes)
	if err != nil {
		answer.Abandon()
		return runEnd{ending: lost, status: answer.Status, err: err}
	}
	answer.Finish()
	end := runEnd{ending: endingOf(answer.Status, reply), status: answer.Status}
	if end.ending == answered && !st.begun {
		st.failure = &attempt{ending: answered, status: answer.Status, header: answer.Header, body: body}
	}
	return end
}

// follow passes the events on until the stream ends.
func (st *stream) follow(answer *http1.Answer, reply Reply, run *placement.Run, watch *pace.Watchdog) runEnd {
	events := newEventReader(answer)
	end := runEnd{ending: lost, status: answer.Status}
	before := time.Now()
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			answer.Finish()
			end.over = st.complete(answer)
			return end
		}
		if err != nil {
			answer.Abandon()
			end.err = err
			return end
		}
		now := time.Now()
		if end.events == 0 {
			run.PromptRead()
			st.logBegun(run, reply, now)
		} else {
			st.gaps.Add(now.Sub(before))
		}
		before = now
		end.events++
		if err := st.pass(answer, e); err != nil {
			answer.Abandon()
			end.over, end.err = callerLeft(err), err
			return end
		}
		watch.Expect(st.gaps.SilenceBound(st.bounds(), 0))
	}
}

// pass writes one event to the caller, unless the caller has it already.
func (st *stream) pass(answer *http1.Answer, e event) error {
	if e.id != 0 && e.id <= st.last {
		return nil
	}
	if e.id > st.last+1 && (st.begun || st.last > 0) {
		return errors.Errorf("event %d follows event %d", e.id, st.last)
	}
	st.begin(answer)
	if e.id != 0 {
		st.last = e.id
	}
	st.passed++
	if _, err := st.w.Write(e.raw); err != nil {
		return &BrokenOff{Reason: "write to the caller: " + err.Error()}
	}
	if err := http.NewResponseController(st.w).Flush(); err != nil {
		return &BrokenOff{Reason: "write to the caller: " + err.Error()}
	}
	return nil
}

// callerLeft reports whether err is of the caller's connection.
func callerLeft(err error) bool {
	var b *BrokenOff
	return errors.As(err, &b)
}

// begin writes the head of the answer with the first event: until then the request
// can go to another engine and get that one's.
func (st *stream) begin(answer *http1.Answer) {
	if st.begun {
		return
	}
	st.begun = true
	since(st.s.metrics.firstEvent, st.a.Arrived)
	answer.Header.Del("Content-Length")
	copyHeader(st.w.Header(), answer.Header)
	st.w.WriteHeader(answer.Status)
}

// complete ends the answer to the caller.
func (st *stream) complete(answer *http1.Answer) bool {
	st.begin(answer)
	st.s.opts.Logger.Info(logging.RequestAnswered, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "events": st.passed, "engines": st.sent + 1,
		"ms": time.Since(st.a.Arrived).Milliseconds(),
	})
	return true
}

// firstEventBound is the time without an event after which the engine is asked
// whether it is alive.
func (st *stream) firstEventBound(d Dispatch) time.Duration {
	s := st.s.opts.Settings
	if d.ContinueFrom != "" {
		return s.FirstEvent
	}
	return s.FirstEvent + time.Duration(float64(st.size.Prompt)/s.PromptRate*float64(time.Second))
}

// firstEventLimit is the longest wait for the first event, however alive the engine is.
func (st *stream) firstEventLimit(d Dispatch) time.Duration {
	s := st.s.opts.Settings
	if d.ContinueFrom != "" {
		return s.FirstEvent
	}
	return st.firstEventBound(d) + time.Duration(s.MaxProbes)*s.ProbeInterval
}

// probe asks the engine whether it works on the request while no event comes, and
// gives it up if it doesn't.
func (st *stream) probe(ctx context.Context, cancel context.CancelCauseFunc, run *placement.Run, d Dispatch) {
	s := st.s.opts.Settings
	for wait := st.firstEventBound(d); pause.For(ctx, wait) && !run.HasBegun(); wait = s.ProbeInterval {
		probeCtx, stop := context.WithTimeout(ctx, s.ProbeTimeout)
		report, err := st.s.opts.Prober.Report(probeCtx, run.Target.GetAddress(), st.a.ID)
		stop()
		if ctx.Err() != nil || run.HasBegun() {
			return
		}
		alive := err == nil && report.mayHold()
		st.s.opts.Logger.Info(logging.EngineProbed, logging.Fields{
			"request": st.a.ID, "target": run.Target.GetAddress(), "alive": alive, "reason": err,
			"holds": report.Holds, "generating": report.Generating, "running": report.Running, "waiting": report.Waiting,
			"ms": time.Since(st.placedAt).Milliseconds(),
		})
		if !alive {
			cancel(pace.ErrSilent)
			return
		}
	}
}

// bounds limits the learned silence by what the route's callers accept.
func (st *stream) bounds() pace.Bounds {
	s := st.s.opts.Settings
	gap := st.a.Route.MaxEventGap
	if gap == 0 {
		gap = s.DefaultEventGap
	}
	return pace.Bounds{
		Min: time.Duration(s.MinSilenceShare * float64(gap)),
		Max: time.Duration(s.MaxSilenceShare * float64(gap)),
	}
}

func (st *stream) logPlaced(run *placement.Run, d Dispatch) {
	event := logging.StreamPlaced
	if st.sent+st.refused > 0 {
		event = logging.StreamResumed
		st.s.metrics.resumed.Inc(1)
	}
	st.s.opts.Logger.Info(event, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"instance": run.Target.GetInstance(), "backup": d.BackupTo, "from": d.ContinueFrom,
		"last_event": st.last, "prompt_tokens": st.size.Prompt, "tried": len(st.tried),
	})
}

func (st *stream) logBegun(run *placement.Run, reply Reply, now time.Time) {
	st.s.opts.Logger.Info(logging.StreamBegun, logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"prompt_tokens": st.size.Prompt, "running": reply.Running, "waiting": reply.Waiting,
		"ms": now.Sub(st.placedAt).Milliseconds(), "last_event": st.last,
	})
}

func (st *stream) logEnded(run *placement.Run, from *chicoryv1.ListedTarget, end runEnd, cause error) {
	fields := logging.Fields{
		"request": st.a.ID, "route": st.a.Route.Name, "target": run.Target.GetAddress(),
		"ending": string(end.ending), "status": end.status, "events": end.events, "last_event": st.last,
		"copy": from != nil, "ms": time.Since(st.a.Arrived).Milliseconds(),
	}
	if end.err != nil {
		fields["reason"] = end.err
	}
	if cause != nil {
		fields["cause"] = cause
	}
	st.s.opts.Logger.Warn(logging.AttemptEnded, fields)
}
