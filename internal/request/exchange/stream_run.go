package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

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
	if end.ending != answered || st.begun {
		return end
	}
	st.failure = &attempt{ending: answered, status: answer.Status, header: answer.Header, body: body}
	if !st.failure.failed() {
		// Every engine would say the same of the request.
		st.failure.passOn(st.w)
		end.over = true
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
